package coordinator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// evacuationWatchTimeout is the longest duration of a watch call for evacuation requests. It is short, as a request has to take effect
	// within seconds also if the reply to a call is lost.
	evacuationWatchTimeout = time.Second
	// evacuationWatchPause bounds the rate of watch calls, as a store may answer at once.
	evacuationWatchPause = 50 * time.Millisecond
	// evacuationReadInterval is the pause between reads of the requests through peers.
	evacuationReadInterval = 250 * time.Millisecond
	// maxReadingPeers bounds the peers that a read asks; some of them may not reach the store either.
	maxReadingPeers = 3
)

// evacuationSource is how the leader learned of a change of the evacuation requests.
type evacuationSource string

const (
	sourceLoad  evacuationSource = "load" // read before the first start of the term
	sourceWatch evacuationSource = "watch"
	sourcePeer  evacuationSource = "peer"
)

// evacuationRequest is the latest known state of the key that requests the evacuation of a data centre.
type evacuationRequest struct {
	present  bool
	revision platform.Revision // of the latest known change; a peer's reply that there is no key has none
	changes  uint64            // incremented by each known change
}

// evacuations are the latest known evacuation requests. The term's mutex guards requests. The set of evacuated data centres can be read
// without it. The zero value has no requests.
type evacuations struct {
	requests  map[ident.DataCentre]evacuationRequest
	evacuated atomic.Pointer[map[ident.DataCentre]bool]
}

// publish makes the present requests visible to includes.
func (e *evacuations) publish() {
	set := map[ident.DataCentre]bool{}
	for id, r := range e.requests {
		if r.present {
			set[id] = true
		}
	}
	e.evacuated.Store(&set)
}

// includes reports whether a data centre is evacuated.
func (e *evacuations) includes(id ident.DataCentre) bool { return e.current()[id] }

// current returns the set of evacuated data centres, which must not be changed.
func (e *evacuations) current() map[ident.DataCentre]bool {
	if set := e.evacuated.Load(); set != nil {
		return *set
	}
	return nil
}

// set applies a change of a key unless a later one is known. A reply to a watch may arrive after a later read through a peer.
func (e *evacuations) set(id ident.DataCentre, present bool, revision platform.Revision) {
	r := e.requests[id]
	if id == "" {
		return // the prefix itself names no data centre
	}
	if revision != 0 && revision < r.revision {
		return
	}
	if e.requests == nil {
		e.requests = map[ident.DataCentre]evacuationRequest{}
	}
	e.requests[id] = evacuationRequest{present, max(revision, r.revision), r.changes + 1}
}

// replace applies a read of all keys at a revision.
func (e *evacuations) replace(present map[ident.DataCentre]platform.Revision, at platform.Revision) {
	for id, r := range e.requests {
		if _, ok := present[id]; !ok && r.present {
			e.set(id, false, at)
		}
	}
	for id, revision := range present {
		e.set(id, true, revision)
	}
}

// evacuationOf returns the data centre that a key under the prefix names.
func (t *term) evacuationOf(key string) ident.DataCentre {
	return ident.DataCentre(strings.TrimPrefix(key, t.config.EvacuationPrefix))
}

// evacuationItems returns the data centres that items name. Their values have no meaning.
func (t *term) evacuationItems(items []platform.Item) map[ident.DataCentre]platform.Revision {
	present := make(map[ident.DataCentre]platform.Revision, len(items))
	for _, it := range items {
		present[t.evacuationOf(it.Key)] = it.Revision
	}
	return present
}

// changeEvacuations changes the known requests, passes them to the scheduler and logs the data centres whose state changes.
func (t *term) changeEvacuations(source evacuationSource, change func(*evacuations)) {
	type transition struct {
		id        ident.DataCentre
		evacuated bool
		revision  platform.Revision
		state     sched.EvacuationState
	}
	var transitions []transition
	t.update(func(now time.Time, s *sched.Scheduler) {
		before := t.evacuations.current()
		change(&t.evacuations)
		t.evacuations.publish()
		after := t.evacuations.current()
		if maps.Equal(before, after) {
			return
		}
		s.SetEvacuated(now, after)
		for _, id := range slices.Sorted(maps.Keys(t.evacuations.requests)) {
			if before[id] != after[id] {
				transitions = append(transitions, transition{id, after[id], t.evacuations.requests[id].revision, s.EvacuationState(id)})
			}
		}
	})
	for _, c := range transitions {
		message := "data centre evacuated"
		if !c.evacuated {
			message = "evacuation of the data centre ended"
		}
		t.config.Log.Info(message, "data-centre", string(c.id), "source", string(source), "revision", uint64(c.revision),
			"servers", c.state.Servers, "runs", c.state.Runs, "long-running", c.state.LongRunning, "epoch", uint64(t.leader.Epoch),
			"store-age", t.coordinator.now().Sub(t.coordinator.LastStoreContact()).String())
	}
}

// evacuationWatch tells whether the store answers the watch of the requests.
type evacuationWatch struct {
	mu  sync.Mutex
	due time.Time // when the reply to the watch call in flight is due, or when the first call since the latest reply failed
}

// answered notes that the store has answered a call, and that another one follows.
func (w *evacuationWatch) answered(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = now.Add(evacuationWatchTimeout)
}

// failed notes that a call has failed.
func (w *evacuationWatch) failed(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.due) {
		w.due = now
	}
}

// overdue returns for how long the store has left the watch unanswered, or has answered it with errors.
func (w *evacuationWatch) overdue(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(now.Sub(w.due), 0)
}

// watchEvacuations applies changes of the evacuation requests until the context ends.
func (t *term) watchEvacuations(ctx context.Context, w *evacuationWatch, at platform.Revision) error {
	prefix := t.config.EvacuationPrefix
	for ctx.Err() == nil {
		var items []platform.Item
		events, next, err := t.config.Store.Watch(ctx, prefix, at, evacuationWatchTimeout)
		lost := errors.Is(err, platform.ErrHistoryLost)
		if lost {
			items, next, err = platform.RangeAll(ctx, t.config.Store, prefix)
		}
		if err != nil {
			t.config.Log.V(1).Info("watch of evacuation requests failed", "error", err.Error())
			w.failed(t.coordinator.now())
			sleep(ctx, watchRetryDelay)
			continue
		}
		at = next
		w.answered(t.coordinator.now())
		switch {
		case lost:
			t.changeEvacuations(sourceWatch, func(e *evacuations) { e.replace(t.evacuationItems(items), next) })
		case len(events) > 0:
			t.changeEvacuations(sourceWatch, func(e *evacuations) {
				for _, event := range events {
					e.set(t.evacuationOf(event.Key), !event.Deleted, event.Revision)
				}
			})
		}
		sleep(ctx, evacuationWatchPause)
	}
	return ctx.Err()
}

// readEvacuationsThroughPeers reads the requests for all known data centres through peers while the store doesn't answer this daemon: it
// may refuse individual daemons, and still accept requests.
func (t *term) readEvacuationsThroughPeers(ctx context.Context, w *evacuationWatch) error {
	reading := false
	for ; ctx.Err() == nil; sleep(ctx, evacuationReadInterval) {
		overdue := w.overdue(t.coordinator.now())
		if overdue <= storeSilence {
			reading = false
			continue
		}
		read, known := t.readEvacuations(ctx)
		if !reading {
			t.config.Log.Info("evacuation requests read through peers", "silence", overdue.String(), "data-centres", known, "read", read)
		}
		reading = true
	}
	return ctx.Err()
}

// peerRead is what a peer has read of an evacuation request.
type peerRead struct {
	id       ident.DataCentre
	present  bool
	revision platform.Revision
	changes  uint64 // of the request before the read
	err      error
}

// readEvacuations reads the requests for the known data centres through maxReadingPeers peers at once. It returns how many it has read,
// and how many there are.
func (t *term) readEvacuations(ctx context.Context) (read, known int) {
	t.mu.Lock()
	changes := map[ident.DataCentre]uint64{} // of each request
	for _, id := range t.scheduler.DataCentres() {
		changes[id] = t.evacuations.requests[id].changes
	}
	for id, r := range t.evacuations.requests {
		if r.present {
			changes[id] = r.changes
		}
	}
	t.mu.Unlock()
	peers := slices.Collect(maps.Values(t.coordinator.peerAddresses()))
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxReadingPeers)]
	results := make(chan []peerRead, len(peers))
	for _, address := range peers {
		go func() { results <- t.readThrough(ctx, address, changes) }()
	}
	done := map[ident.DataCentre]bool{}
	for range peers {
		for _, r := range <-results {
			if r.err != nil {
				t.config.Log.V(1).Info("read of an evacuation request failed", "data-centre", string(r.id), "error", r.err.Error())
				continue
			}
			done[r.id] = true
		}
	}
	return len(done), len(changes)
}

// readThrough reads the requests for some data centres through a peer and applies them.
func (t *term) readThrough(ctx context.Context, address string, ids map[ident.DataCentre]uint64) []peerRead {
	ctx, cancel := context.WithTimeout(ctx, minRelayTimeout)
	defer cancel()
	results := make(chan peerRead, len(ids))
	for id, changes := range ids {
		go func() {
			r := peerRead{id: id, changes: changes}
			r.present, r.revision, r.err = t.readRequestThrough(ctx, address, id)
			results <- r
		}()
	}
	reads := make([]peerRead, 0, len(ids))
	for range ids {
		reads = append(reads, <-results)
	}
	t.changeEvacuations(sourcePeer, func(e *evacuations) {
		for _, r := range reads {
			switch {
			case r.err != nil:
			case r.present:
				e.set(r.id, true, r.revision)
			case e.requests[r.id].changes == r.changes: // otherwise the key may have been written after the read
				e.set(r.id, false, 0)
			}
		}
	})
	return reads
}

// readRequestThrough reads the request for a data centre through a peer.
func (t *term) readRequestThrough(ctx context.Context, address string, id ident.DataCentre) (bool, platform.Revision, error) {
	key := t.config.EvacuationPrefix + string(id)
	reply, err := peer.CallAddress[getRequest, relayReply](ctx, t.config.Peer, address, methodGet, getRequest{key})
	if err == nil {
		err = reply.err()
	}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return false, 0, nil
	case err != nil:
		return false, 0, fmt.Errorf("read %s through a peer: %w", key, err)
	case len(reply.Items) != 1:
		return false, 0, fmt.Errorf("read %s through a peer: %d items", key, len(reply.Items))
	}
	return true, reply.Items[0].Revision, nil
}

// withheldStart returns ErrNotSent for a start that may have waited until its data centre was evacuated or its server had restarted.
func (t *term) withheldStart(cmd *sched.StartCommand, decided time.Time) error {
	switch {
	case t.evacuations.includes(cmd.Server.DataCentre):
		return fmt.Errorf("data centre evacuated: %w", ErrNotSent)
	case t.isStartOutdated(cmd, decided):
		return errStartOutdated
	}
	return nil
}

// startContext returns the context for the start of a run. A start that has waited for a connection is sent only while withheldStart finds
// nothing against it and the leader is confirmed.
func (t *term) startContext(cmd *sched.StartCommand, decided time.Time) context.Context {
	if t.serverCtx == nil {
		return t.serverContext()
	}
	return WithSendCheck(t.ctx, func() bool { return t.mayCommand() && t.withheldStart(cmd, decided) == nil })
}
