// Package wire defines the messages between daemons.
package wire

import (
	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Method names of the peer protocol.
const (
	MethodProbe         = "member.probe"
	MethodSummary       = "summary.push"
	MethodForward       = "task.forward"
	MethodResult        = "task.answer"
	MethodQuery         = "task.query"
	MethodCancel        = "task.cancel"
	MethodAdoptOrigin   = "task.adopt-origin"
	MethodFind          = "task.find"
	MethodGangReserve   = "gang.reserve"
	MethodGangCommit    = "gang.commit"
	MethodGangCancel    = "gang.cancel"
	MethodLimitRequest  = "limit.request"
	MethodClaimAcquire  = "claim.acquire"
	MethodClaimComplete = "claim.complete"
	MethodClaimRelease  = "claim.release"
	MethodClaimLookup   = "claim.lookup"
	MethodClaimTransfer = "claim.transfer"
	MethodConfigPull    = "config.pull"
	MethodConfigVersion = "config.version"
	MethodJobGet        = "job.get"
	MethodJobCancel     = "job.cancel"
	MethodJobList       = "job.list"
	MethodJobExplain    = "job.explain"
)

// Sender identifies the sending daemon in every message.
type Sender struct {
	Member      ident.MemberID    `json:"member"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Epoch       ident.Epoch       `json:"epoch"`
}

// ProbeRequest asks a member whether it is alive or, if Target is set, whether it can reach the target.
type ProbeRequest struct {
	Sender
	Target            ident.MemberID    `json:"target,omitempty"`
	TargetIncarnation ident.Incarnation `json:"target-incarnation,omitempty"`
}

// ProbeReply names the answering member.
type ProbeReply struct{ Sender }

// TeamUsage contains the running tasks of one team on one member and the resources that they use.
type TeamUsage struct {
	Team    ident.TeamID    `json:"t"`
	Running int             `json:"n"`
	Used    resource.Vector `json:"u"`
}

// DataCentreCapacity is the capacity of a member's hosts in one data centre.
type DataCentreCapacity struct {
	DataCentre  ident.DataCentre `json:"dc"`
	Region      ident.Region     `json:"region"`
	Free        resource.Vector  `json:"total"`   // free on all hosts together
	LargestFree resource.Vector  `json:"largest"` // free on the host with the most free capacity
	Capacity    resource.Vector  `json:"capacity"`
	LargestHost resource.Vector  `json:"largest-host"` // capacity of the largest host when empty
}

// Summary describes the load of a member to its peers. Unless Full is set, Teams contains only the teams whose usage has
// changed. A summary is sent in the binary form defined in summary.go.
type Summary struct {
	Sender
	Full        bool
	Teams       []TeamUsage
	DataCentres []DataCentreCapacity
	Backlog     int
	Version     ident.Version
}

// SummaryReply says whether the receiver needs a full summary.
type SummaryReply struct {
	WantFull bool          `json:"want-full,omitempty"`
	Version  ident.Version `json:"version"`
}

// ForwardRequest asks a member to start a task on one of its backend servers.
type ForwardRequest struct {
	Sender
	Task               backend.Task   `json:"task"`
	Kind               string         `json:"kind"`
	Urgent             bool           `json:"urgent,omitempty"`
	Preempt            bool           `json:"preempt,omitempty"` // no daemon has free capacity: tasks of lower priority may be preempted
	Hops               int            `json:"hops"`
	AllocationReserved bool           `json:"part,omitempty"` // the sender reserved allocation of the team's limit for the task
	Avoid              []ident.HostID `json:"avoid,omitempty"`
}

// ForwardReply says whether the task was accepted. A task that wasn't accepted never starts at the receiver.
type ForwardReply struct {
	Accepted       bool         `json:"taken"`
	AllocationUsed bool         `json:"part,omitempty"` // the task uses the allocation that the sender reserved
	Host           ident.HostID `json:"host,omitempty"`
	Reason         string       `json:"reason,omitempty"`
}

// ResultPush delivers the result of an attempt to the daemon that owns its task.
type ResultPush struct {
	Sender
	Host   ident.HostID   `json:"host"`
	Result backend.Result `json:"result"`
}

// ResultReply confirms that the receiver has stored the result or doesn't need it, so that it may be acknowledged to the
// backend server.
type ResultReply struct {
	Accepted bool `json:"kept"`
}

// QueryRequest asks what a member knows about an attempt.
type QueryRequest struct {
	Sender
	Attempt ident.AttemptID `json:"attempt"`
}

// QueryReply is authoritative only if Complete is set: every backend server that the receiver owns was attached at Epoch
// or later.
type QueryReply struct {
	Known            bool         `json:"known"`
	Host             ident.HostID `json:"host,omitempty"`
	Complete         bool         `json:"complete"`
	Epoch            ident.Epoch  `json:"epoch"`
	PendingAdoptions int          `json:"adopting,omitempty"` // adopted tasks whose allocation isn't transferred yet
}

// CancelRequest asks the owner of a backend server to stop an attempt.
type CancelRequest struct {
	Sender
	Attempt ident.AttemptID `json:"attempt"`
	Host    ident.HostID    `json:"host"`
}

// CancelReply contains the state of the attempt that the stop found, and whether the attempt is known.
type CancelReply struct {
	State backend.StopState `json:"state"`
	Known bool              `json:"known"`
}

// AdoptOriginRequest asks for the attempts of a removed member's jobs and redirects their results to the sender.
type AdoptOriginRequest struct {
	Sender
	Origin ident.MemberID `json:"origin"`
	Jobs   []ident.JobID  `json:"jobs"`
}

// AdoptedAttempt is an attempt of a job that the sender of AdoptOriginRequest takes over.
type AdoptedAttempt struct {
	Attempt ident.AttemptID `json:"attempt"`
	Job     ident.JobID     `json:"job"`
	Index   int             `json:"index"`
	Host    ident.HostID    `json:"host"`
}

// AdoptOriginReply lists the attempts. It is authoritative only if Complete is set, as in QueryReply.
type AdoptOriginReply struct {
	Attempts []AdoptedAttempt `json:"attempts,omitempty"`
	Complete bool             `json:"complete"`
	Epoch    ident.Epoch      `json:"epoch"`
}

// FindRequest asks for the running or finished attempt of a request on the backend servers that the receiver owns.
type FindRequest struct {
	Sender
	ClaimKey
}

// FindReply contains the result if the attempt has finished and its result has not been acknowledged. It is
// authoritative only if Complete is set, as in QueryReply.
type FindReply struct {
	Known    bool            `json:"known"`
	Host     ident.HostID    `json:"host,omitempty"`
	Result   *backend.Result `json:"result,omitempty"`
	Complete bool            `json:"complete"`
	Epoch    ident.Epoch     `json:"epoch"`
}

// GangReserveRequest asks a member to reserve capacity for up to Tasks tasks of an all-at-once job. A reservation that
// isn't committed within TTL expires.
type GangReserveRequest struct {
	Sender
	Gang   string          `json:"gang"`
	Team   ident.TeamID    `json:"team"`
	Demand resource.Vector `json:"demand"`
	Tasks  int             `json:"tasks"`
	TTL    backend.Millis  `json:"expiry-ms"`
	Avoid  []ident.HostID  `json:"avoid,omitempty"`
}

// GangReserveReply contains the number of tasks for which capacity is reserved.
type GangReserveReply struct {
	Reserved int    `json:"held"`
	Reason   string `json:"reason,omitempty"`
}

// GangCommitRequest starts the tasks of a reservation. Their number must not exceed the number reserved.
type GangCommitRequest struct {
	Sender
	Gang  string         `json:"gang"`
	Tasks []backend.Task `json:"tasks"`
}

// GangCommitReply says whether the tasks were accepted and lists the host of each task, in the order of the request.
type GangCommitReply struct {
	Accepted bool           `json:"taken"`
	Hosts    []ident.HostID `json:"hosts,omitempty"`
	Reason   string         `json:"reason,omitempty"`
}

// GangCancelRequest cancels a reservation.
type GangCancelRequest struct {
	Sender
	Gang string `json:"gang"`
}

// LimitRequest asks a member to release an unused part of its allocation of a team's limit.
type LimitRequest struct {
	Sender
	Team   ident.TeamID `json:"team"`
	Amount int          `json:"want"`
}

// LimitReply contains the amount that was released in the store.
type LimitReply struct {
	Released int `json:"given"`
}

// ClaimKey identifies a non-idempotent request.
type ClaimKey struct {
	Team    ident.TeamID    `json:"team"`
	Request ident.RequestID `json:"request"`
}

// ClaimState is the state of a claim at one of its holders.
type ClaimState string

// States of a claim.
const (
	ClaimHeld     ClaimState = "held"
	ClaimComplete ClaimState = "complete"
	ClaimReleased ClaimState = "released"
)

// Claim is the record of a non-idempotent request at one of its holders.
type Claim struct {
	ClaimKey
	Claimer     ident.MemberID    `json:"claimer"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Nonce       string            `json:"nonce"`
	State       ClaimState        `json:"state"`
	// Answer is set once the claim is complete: an encoded api.Answer, or a reference to the job of the request.
	Answer []byte `json:"answer,omitempty"`
}

// ClaimRequest acquires, completes, releases or looks up a claim at a holder.
type ClaimRequest struct {
	Sender
	Claim Claim `json:"claim"`
}

// ClaimReply contains the vote of the holder and the claim that it keeps.
type ClaimReply struct {
	Granted bool `json:"granted"`
	Known   bool `json:"known"`
	Stale   bool `json:"stale,omitempty"` // the holder is at another epoch or has not finished its transfer
	// Uncertain means that an earlier claim of the key may have been lost with its holders.
	Uncertain bool  `json:"uncertain,omitempty"`
	Claim     Claim `json:"claim"`
}

// ClaimTransferRequest asks for a page of the claims that the sender must hold at its epoch.
type ClaimTransferRequest struct {
	Sender
	Cursor string `json:"cursor,omitempty"`
}

// ClaimTransferReply is one page of claims.
type ClaimTransferReply struct {
	Claims []Claim `json:"claims,omitempty"`
	Cursor string  `json:"cursor,omitempty"` // empty on the last page
	// Views and Evidence are set only on the first page. They are the views in which the replying member held claims, and
	// what it knows about earlier losses of claims.
	Views    []ClaimView     `json:"views,omitempty"`
	Evidence []ClaimEvidence `json:"evidence,omitempty"`
}

// ClaimHolder is one incarnation of a member of a claim region.
type ClaimHolder struct {
	Member      ident.MemberID    `json:"m"`
	Incarnation ident.Incarnation `json:"i"`
}

// ClaimView is the membership of a claim region at one epoch. Settled lists the members known to have received all
// earlier claims that they must hold in this view.
type ClaimView struct {
	Epoch   ident.Epoch   `json:"epoch"`
	Members []ClaimHolder `json:"members"`
	Settled []ClaimHolder `json:"settled,omitempty"`
}

// ClaimEvidence lists the members of earlier views that transferred their claims. All other members of these views were
// lost before they could.
type ClaimEvidence struct {
	Views     []ClaimView    `json:"views"`
	Answered  []ClaimHolder  `json:"answered"`
	Remaining backend.Millis `json:"remaining-ms"` // time until every claim that may be lost has expired
}

// Segment is a named part of the configuration and the hash of its value.
type Segment struct {
	Name  string `json:"name"`
	Hash  string `json:"hash"`
	Value []byte `json:"value"`
}

// ConfigPullRequest asks for the current index and the segments that have changed since Version.
type ConfigPullRequest struct {
	Sender
	Version ident.Version `json:"version"`
}

// ConfigPullReply contains the current index and the segments that have changed since the requested version.
type ConfigPullReply struct {
	Version  ident.Version `json:"version"`
	Index    []byte        `json:"index,omitempty"` // encoded index with its sign-offs; empty if there is no newer version
	Segments []Segment     `json:"segments,omitempty"`
	Removed  []string      `json:"removed,omitempty"`
}

// ConfigVersionRequest asks for the active version, to confirm that the configuration is current and to count the members
// that acknowledge a version.
type ConfigVersionRequest struct{ Sender }

// ConfigVersionReply contains the active version, or 0 until the member has confirmed once since its start that its
// configuration is current.
type ConfigVersionReply struct {
	Version ident.Version `json:"version"`
}

// JobRequest asks the owner of a job for it or to cancel it, or asks a member for the jobs that it owns of a team.
type JobRequest struct {
	Sender
	Job    ident.JobID  `json:"job,omitempty"`
	Team   ident.TeamID `json:"team,omitempty"`
	Reason string       `json:"reason,omitempty"`
}

// JobReply contains an encoded api.Job, a list of them, or an api.Explanation.
type JobReply struct {
	Found bool   `json:"found"`
	Body  []byte `json:"body,omitempty"`
}
