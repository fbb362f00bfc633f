// Package wire holds the messages between daemons.
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

// ProbeRequest asks a member whether it is alive, or whether it reaches the target.
type ProbeRequest struct {
	Sender
	Target      ident.MemberID    `json:"target,omitempty"`
	Incarnation ident.Incarnation `json:"target-incarnation,omitempty"`
}

// ProbeReply names the answering member.
type ProbeReply struct{ Sender }

// TeamUsage is the running amount of one team on one member.
type TeamUsage struct {
	Team    ident.TeamID    `json:"t"`
	Running int             `json:"n"`
	Used    resource.Vector `json:"u"`
}

// DataCentreCapacity is the free capacity of a member in one data centre: in total and on its emptiest host.
type DataCentreCapacity struct {
	DataCentre  ident.DataCentre `json:"dc"`
	Region      ident.Region     `json:"region"`
	Free        resource.Vector  `json:"total"`
	LargestFree resource.Vector  `json:"largest"`
	Capacity    resource.Vector  `json:"capacity"`
	LargestHost resource.Vector  `json:"largest-host"` // capacity of the largest host when empty
}

// Summary is what a member tells its peers about its load. Teams holds changes only, unless Full is set. It is sent in
// the binary form of summary.go.
type Summary struct {
	Sender
	Full        bool
	Teams       []TeamUsage
	DataCentres []DataCentreCapacity
	Backlog     int
	Version     ident.Version
}

// SummaryReply tells whether the receiver needs a full summary.
type SummaryReply struct {
	WantFull bool          `json:"want-full,omitempty"`
	Version  ident.Version `json:"version"`
}

// ForwardRequest asks the owner of backend servers to start a task.
type ForwardRequest struct {
	Sender
	Task               backend.Task   `json:"task"`
	Kind               string         `json:"kind"`
	Urgent             bool           `json:"urgent,omitempty"`
	Preempt            bool           `json:"preempt,omitempty"` // no daemon is known to have room, so lower work may give way
	Hops               int            `json:"hops"`
	AllocationReserved bool           `json:"part,omitempty"` // the sender has reserved a part of the limit, which the task may use
	Avoid              []ident.HostID `json:"avoid,omitempty"`
}

// ForwardReply says whether the task was taken. Refused means that it never starts here.
type ForwardReply struct {
	Accepted       bool         `json:"taken"`
	AllocationUsed bool         `json:"part,omitempty"` // the task uses the sender's part
	Host           ident.HostID `json:"host,omitempty"`
	Reason         string       `json:"reason,omitempty"`
}

// ResultPush delivers the result of an attempt to its origin.
type ResultPush struct {
	Sender
	Host   ident.HostID   `json:"host"`
	Result backend.Result `json:"result"`
}

// ResultReply confirms that the origin keeps the result (or has no use for it), so that it may be acknowledged.
type ResultReply struct {
	Accepted bool `json:"kept"`
}

// QueryRequest asks what a member knows of an attempt.
type QueryRequest struct {
	Sender
	Attempt ident.AttemptID `json:"attempt"`
}

// QueryReply is authoritative only if Complete is set: every owned server was attached at Epoch or above.
type QueryReply struct {
	Known            bool         `json:"known"`
	Host             ident.HostID `json:"host,omitempty"`
	Complete         bool         `json:"complete"`
	Epoch            ident.Epoch  `json:"epoch"`
	PendingAdoptions int          `json:"adopting,omitempty"` // adopted tasks whose part of a limit has not been moved yet
}

// CancelRequest asks the owner of a server to stop an attempt.
type CancelRequest struct {
	Sender
	Attempt ident.AttemptID `json:"attempt"`
	Host    ident.HostID    `json:"host"`
}

// CancelReply says what the stop found.
type CancelReply struct {
	State backend.StopState `json:"state"`
	Known bool              `json:"known"`
}

// AdoptOriginRequest asks for the attempts of a dead origin and redirects their results to the sender.
type AdoptOriginRequest struct {
	Sender
	Origin ident.MemberID `json:"origin"`
	Jobs   []ident.JobID  `json:"jobs"`
}

// AdoptedAttempt is an attempt found for an adopting origin.
type AdoptedAttempt struct {
	Attempt ident.AttemptID `json:"attempt"`
	Job     ident.JobID     `json:"job"`
	Index   int             `json:"index"`
	Host    ident.HostID    `json:"host"`
}

// AdoptOriginReply lists the attempts; it is authoritative only if Complete is set.
type AdoptOriginReply struct {
	Attempts []AdoptedAttempt `json:"attempts,omitempty"`
	Complete bool             `json:"complete"`
	Epoch    ident.Epoch      `json:"epoch"`
}

// FindRequest asks for the attempt of a request, running or finished, on the servers that the receiver owns.
type FindRequest struct {
	Sender
	ClaimKey
}

// FindReply carries the result when the attempt has finished and its result wasn't acknowledged.
type FindReply struct {
	Known    bool            `json:"known"`
	Host     ident.HostID    `json:"host,omitempty"`
	Result   *backend.Result `json:"result,omitempty"`
	Complete bool            `json:"complete"`
	Epoch    ident.Epoch     `json:"epoch"`
}

// GangReserveRequest asks a member to hold room for up to Tasks tasks of an all-at-once job.
type GangReserveRequest struct {
	Sender
	Gang   string          `json:"gang"`
	Team   ident.TeamID    `json:"team"`
	Demand resource.Vector `json:"demand"`
	Tasks  int             `json:"tasks"`
	Expiry backend.Millis  `json:"expiry-ms"`
	Avoid  []ident.HostID  `json:"avoid,omitempty"`
}

// GangReserveReply says for how many tasks room is held.
type GangReserveReply struct {
	Reserved int    `json:"held"`
	Reason   string `json:"reason,omitempty"`
}

// GangCommitRequest starts the tasks of a reservation; the number must not exceed what is held.
type GangCommitRequest struct {
	Sender
	Gang  string         `json:"gang"`
	Tasks []backend.Task `json:"tasks"`
}

// GangCommitReply gives the host of each task, in order.
type GangCommitReply struct {
	Accepted bool           `json:"taken"`
	Hosts    []ident.HostID `json:"hosts,omitempty"`
	Reason   string         `json:"reason,omitempty"`
}

// GangCancelRequest frees a reservation.
type GangCancelRequest struct {
	Sender
	Gang string `json:"gang"`
}

// LimitRequest asks a member to give up an unused part of a team's limit.
type LimitRequest struct {
	Sender
	Team   ident.TeamID `json:"team"`
	Amount int          `json:"want"`
}

// LimitReply says how much was given up in the store.
type LimitReply struct {
	Released int `json:"given"`
}

// ClaimKey identifies a non-idempotent request.
type ClaimKey struct {
	Team    ident.TeamID    `json:"team"`
	Request ident.RequestID `json:"request"`
}

// ClaimState is the state of a claim at one holder.
type ClaimState string

// States of a claim.
const (
	ClaimHeld     ClaimState = "held"
	ClaimComplete ClaimState = "complete"
	ClaimReleased ClaimState = "released"
)

// Claim is what a holder keeps about a non-idempotent request.
type Claim struct {
	ClaimKey
	Claimer     ident.MemberID    `json:"claimer"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Nonce       string            `json:"nonce"`
	State       ClaimState        `json:"state"`
	Answer      []byte            `json:"answer,omitempty"` // encoded api.Answer once complete
}

// ClaimRequest acquires, completes, releases or looks up a claim at a holder.
type ClaimRequest struct {
	Sender
	Claim Claim `json:"claim"`
}

// ClaimReply carries the vote and the claim that the holder keeps.
type ClaimReply struct {
	Granted bool `json:"granted"`
	Known   bool `json:"known"`
	Stale   bool `json:"stale,omitempty"` // the holder is at another epoch or has not finished its transfer
	// Uncertain means that an earlier claim of the key may have been lost with its holders.
	Uncertain bool  `json:"uncertain,omitempty"`
	Claim     Claim `json:"claim"`
}

// ClaimTransferRequest asks for the claims that the sender must hold at its epoch, a page at a time.
type ClaimTransferRequest struct {
	Sender
	Cursor string `json:"cursor,omitempty"`
}

// ClaimTransferReply is one page of claims.
type ClaimTransferReply struct {
	Claims []Claim `json:"claims,omitempty"`
	Cursor string  `json:"cursor,omitempty"` // empty on the last page
	// Views and Evidence are on the first page only: the views in which the receiver held claims, and what it knows of
	// earlier losses.
	Views    []ClaimView     `json:"views,omitempty"`
	Evidence []ClaimEvidence `json:"evidence,omitempty"`
}

// ClaimHolder is one incarnation of a member of a claim region.
type ClaimHolder struct {
	Member      ident.MemberID    `json:"m"`
	Incarnation ident.Incarnation `json:"i"`
}

// ClaimView is a claim region at one epoch. Settled lists the members known to have had all earlier claims that they
// must hold in it.
type ClaimView struct {
	Epoch   ident.Epoch   `json:"epoch"`
	Members []ClaimHolder `json:"members"`
	Settled []ClaimHolder `json:"settled,omitempty"`
}

// ClaimEvidence says which members of earlier views handed over their claims; the rest died before.
type ClaimEvidence struct {
	Views     []ClaimView    `json:"views"`
	Answered  []ClaimHolder  `json:"answered"`
	Remaining backend.Millis `json:"remaining-ms"` // until every claim that may be lost has expired
}

// Segment is a named part of the configuration.
type Segment struct {
	Name  string `json:"name"`
	Hash  string `json:"hash"`
	Value []byte `json:"value"`
}

// ConfigPullRequest asks for the index and the segments that differ from the hashes in Have.
type ConfigPullRequest struct {
	Sender
	Version ident.Version `json:"version"`
}

// ConfigPullReply carries the newest index and the segments changed since the asked version.
type ConfigPullReply struct {
	Version  ident.Version `json:"version"`
	Index    []byte        `json:"index,omitempty"` // encoded index with sign-offs; empty when nothing is newer
	Segments []Segment     `json:"segments,omitempty"`
	Removed  []string      `json:"removed,omitempty"`
}

// ConfigVersionRequest asks for the version in force; it serves freshness and acknowledgements.
type ConfigVersionRequest struct{ Sender }

// ConfigVersionReply names the version in force and whether the member confirmed it with the store lately.
type ConfigVersionReply struct {
	Version ident.Version `json:"version"`
}

// JobRequest asks the owner of a job about it.
type JobRequest struct {
	Sender
	Job    ident.JobID  `json:"job,omitempty"`
	Team   ident.TeamID `json:"team,omitempty"`
	Reason string       `json:"reason,omitempty"`
}

// JobReply carries an encoded api.Job, a list of them, or an api.Explanation.
type JobReply struct {
	Found bool   `json:"found"`
	Body  []byte `json:"body,omitempty"`
}
