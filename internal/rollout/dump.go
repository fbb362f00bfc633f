package rollout

import (
	"sync/atomic"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// counters count events since the start of the process.
type counters struct {
	Adopted, Older, Forked, Unsigned, Malformed         atomic.Uint64
	Pulls, VersionCalls, DeltasServed, DeltaBytesServed atomic.Uint64
	StoreReads, StoreFailures, Published, Conflicts     atomic.Uint64
	LostReplies, PartsWritten, PartsCollected           atomic.Uint64
}

// Counts is a snapshot of the counters.
type Counts struct {
	Adopted          uint64 `json:"adopted"`
	Older            uint64 `json:"older-ignored"`
	Forked           uint64 `json:"forked-refused"`
	Unsigned         uint64 `json:"unsigned-refused"`
	Malformed        uint64 `json:"malformed-refused"`
	Pulls            uint64 `json:"pulls"`
	VersionCalls     uint64 `json:"version-calls"`
	DeltasServed     uint64 `json:"deltas-served"`
	DeltaBytesServed uint64 `json:"delta-bytes-served"` // before the transport encoding
	StoreReads       uint64 `json:"store-reads"`
	StoreFailures    uint64 `json:"store-failures"`
	Published        uint64 `json:"published"`
	Conflicts        uint64 `json:"publish-conflicts"`
	LostReplies      uint64 `json:"lost-replies"`
	PartsWritten     uint64 `json:"parts-written"`
	PartsCollected   uint64 `json:"parts-collected"`
}

// Counts returns the counters, for metrics.
func (r *Rollout) Counts() Counts {
	c := &r.counts
	return Counts{
		Adopted: c.Adopted.Load(), Older: c.Older.Load(), Forked: c.Forked.Load(), Unsigned: c.Unsigned.Load(),
		Malformed: c.Malformed.Load(), Pulls: c.Pulls.Load(), VersionCalls: c.VersionCalls.Load(),
		DeltasServed: c.DeltasServed.Load(), DeltaBytesServed: c.DeltaBytesServed.Load(),
		StoreReads: c.StoreReads.Load(), StoreFailures: c.StoreFailures.Load(), Published: c.Published.Load(),
		Conflicts: c.Conflicts.Load(), LostReplies: c.LostReplies.Load(), PartsWritten: c.PartsWritten.Load(),
		PartsCollected: c.PartsCollected.Load(),
	}
}

// PeerState is the version that a peer last reported, for the state dump.
type PeerState struct {
	Version ident.Version `json:"version"`
	AgeMS   int64         `json:"age-ms"`
}

// State is the rollout's state in the state dump. It contains no keys and no key hashes.
type State struct {
	Version      ident.Version                `json:"version"`
	Digest       string                       `json:"digest,omitempty"`
	Writer       ident.MemberID               `json:"writer,omitempty"`
	Published    time.Time                    `json:"published,omitzero"`
	Signers      []string                     `json:"signers,omitempty"` // as listed in the index
	Teams        int                          `json:"teams"`
	Queues       int                          `json:"queues"`
	Segments     []bundle.Entry               `json:"segments,omitempty"`
	Fresh        bool                         `json:"fresh"`
	FreshForMS   int64                        `json:"fresh-for-ms"`
	WasFresh     bool                         `json:"vouched"` // has been fresh at least once since its start
	StoreVersion ident.Version                `json:"store-version"`
	Sources      []ident.MemberID             `json:"sources,omitempty"` // peers to pull from; empty if it reads the store
	Peers        map[ident.MemberID]PeerState `json:"peers,omitempty"`
	Counts       Counts                       `json:"counts"`
}

// Dump returns the rollout's state for the state dump.
func (r *Rollout) Dump() State {
	current, now, until := r.current.Load(), r.config.Now(), r.freshUntil()
	s := State{
		Version: current.version(), Teams: len(current.bundle.Teams), Queues: len(current.bundle.Queues),
		Segments: current.index.Entries, Fresh: now.Before(until), Sources: r.pullSources(), Counts: r.Counts(),
		Peers: make(map[ident.MemberID]PeerState),
	}
	if s.Version > 0 {
		s.Digest, s.Writer, s.Published = current.index.Digest().String(), current.index.Writer, current.index.Published
	}
	if s.Fresh {
		s.FreshForMS = until.Sub(now).Milliseconds()
	}
	for _, o := range current.index.SignOffs {
		s.Signers = append(s.Signers, o.Signer)
	}
	r.confirmations.mutex.Lock()
	defer r.confirmations.mutex.Unlock()
	s.WasFresh, s.StoreVersion = r.confirmations.wasFresh, r.confirmations.storeVersion
	for id, p := range r.confirmations.peers {
		s.Peers[id] = PeerState{Version: p.version, AgeMS: now.Sub(p.asOf).Milliseconds()}
	}
	return s
}
