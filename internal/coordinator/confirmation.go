package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// isolationTimeout is how long a leader goes on from the last moment at which certainly no other daemon led. The successor counts
	// on sched.Options.LeaderOverlap, 2 s; the rest covers clocks that are 2 % apart.
	isolationTimeout = 1900 * time.Millisecond
	// confirmationInterval is the pause between checks of the store's replies.
	confirmationInterval = 250 * time.Millisecond
	// storeSilence is how long the store may be silent before the peers are asked, and queryInterval the pause between queries.
	storeSilence  = time.Second
	queryInterval = 500 * time.Millisecond
	// maxSuspension is how long an unconfirmed leader keeps its term, in which it sends no commands, so that it resumes with its
	// state if nobody has taken over. Its answers about jobs are too old after that.
	maxSuspension = 10 * time.Second
	// presenceDrift is how much faster than this daemon's clock the store's may run.
	presenceDrift = 0.02
)

// errUnconfirmed reports that this daemon couldn't rule out for long that another one leads.
var errUnconfirmed = errors.New("other daemons may have taken over")

// peerEvidence is what a leader without the store knows of the daemons that may have taken over: all that have, or lately had, a
// presence record. Others show only at the servers, see serversReachedAt. A daemon that says that it doesn't lead wasn't the leader when it was asked. It is used by one goroutine.
type peerEvidence struct {
	answeredAt map[ident.MemberID]time.Time // when the latest query that the daemon answered was sent
	learned    map[ident.MemberID]string    // addresses of daemons that only peers know
}

func newPeerEvidence() peerEvidence {
	return peerEvidence{answeredAt: map[ident.MemberID]time.Time{}, learned: map[ident.MemberID]string{}}
}

// noLeaderAt returns the latest time at which none of the daemons led. It is zero if one of them never answered.
func (e *peerEvidence) noLeaderAt(peers map[ident.MemberID]string, now time.Time) time.Time {
	oldest := now
	for m := range peers {
		if at := e.answeredAt[m]; at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// monitorLeadership confirms this leader by the store until another daemon leads, a faster host is present, or it is unconfirmed for
// too long.
func (t *term) monitorLeadership(ctx context.Context) error {
	started := t.coordinator.now()
	for ctx.Err() == nil {
		v := t.coordinator.view.get()
		if v.leader.Epoch > t.leader.Epoch {
			return errDeposed
		}
		if m, ok := t.fasterPeer(&v); ok && t.coordinator.now().Sub(started) > minHandoverAge && !t.storeSilent() {
			t.config.Log.Info("handing over to a faster host", "peer", string(m))
			return errHandover
		}
		if err := t.confirmByStore(ctx, &v); err != nil {
			return err
		}
		if t.logSuspension(); t.unconfirmedFor() > maxSuspension {
			return errUnconfirmed
		}
		sleep(ctx, confirmationInterval)
	}
	return ctx.Err()
}

// confirmByPeers confirms this leader by the other daemons while the store is silent.
func (t *term) confirmByPeers(ctx context.Context) error {
	evidence := newPeerEvidence()
	for ctx.Err() == nil {
		if !t.storeSilent() {
			evidence = newPeerEvidence()
		} else if t.queryPeers(ctx, &evidence) > t.leader.Epoch {
			return errDeposed
		}
		sleep(ctx, queryInterval)
	}
	return ctx.Err()
}

// storeSilent reports whether the store hasn't answered this daemon for storeSilence.
func (t *term) storeSilent() bool {
	return t.coordinator.now().Sub(t.coordinator.LastStoreContact()) >= storeSilence
}

// confirmByStore confirms this leader by the store's latest replies. A takeover needs the end of the leader's presence lease, so each
// renewal rules it out until that lease can have ended.
func (t *term) confirmByStore(ctx context.Context, v *cellState) error {
	if v.leaderRevision == t.revision {
		t.confirmByStoreAt(v.confirmedAt, v.confirmedAt)
	}
	now, ttl := t.coordinator.now(), t.config.PresenceTTL
	revision, renewedAt, ok := t.coordinator.presence.lastRenewal()
	if ok && revision == t.presenceRevision && now.Sub(renewedAt) < ttl {
		t.confirmByStoreAt(renewedAt, renewedAt.Add(ttl-time.Duration(presenceDrift*float64(ttl))))
		return nil
	}
	// The lease may have ended, or was created anew. The leader record shows whether another daemon has taken over since.
	getCtx, cancel := context.WithTimeout(ctx, t.config.StoreTimeout.Timeout(minWriteTimeout, maxWriteTimeout))
	defer cancel()
	item, err := t.config.Store.Get(getCtx, leaderKey)
	switch {
	case err != nil:
		t.config.Log.V(1).Info("leader record not read", "error", err.Error())
		return nil
	case item.Revision != t.revision:
		return errDeposed
	}
	t.confirmByStoreAt(now, now)
	if ok {
		t.presenceRevision = revision
	}
	return nil
}

// queryPeers asks all daemons that may have taken over whether they lead, and confirms this leader if all have denied it. It returns
// the highest epoch that any of them knows.
func (t *term) queryPeers(ctx context.Context, e *peerEvidence) ident.Epoch {
	c := t.coordinator
	peers, newest := c.possibleLeaders()
	for m, address := range e.learned {
		if _, known := peers[m]; !known {
			peers[m] = address
		}
	}
	sentAt := c.now() // the daemon may be frozen until it reads the replies
	highest := ident.Epoch(0)
	for m, r := range c.queryEpochs(ctx, peers, newest) {
		highest = max(highest, r.Epoch)
		e.answeredAt[m] = sentAt
		for m, address := range r.Newer {
			if m != t.config.Member {
				e.learned[m] = address
			}
		}
	}
	for m, address := range e.learned {
		peers[m] = address
	}
	if highest <= t.leader.Epoch {
		t.confirm(earlier(e.noLeaderAt(peers, sentAt), t.serversReachedAt(sentAt)))
	}
	return highest
}

// serversReachedAt returns the latest time at which no daemon led that has called more than half of the servers, as far as these tell. Such a
// daemon may be one that nobody on this side of a cut knows.
func (t *term) serversReachedAt(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	half, more := t.scheduler.ServersReachedAt(now, t.storeConfirmedAt)
	switch silence := now.Sub(t.storeConfirmedAt); {
	case silence <= sched.TiedIsolation:
		return half
	case silence <= sched.MaxIsolation:
		return more
	}
	return time.Time{}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// confirmByStoreAt is confirm for a proof by the store that holds until a time. It was asked at askedAt.
func (t *term) confirmByStoreAt(askedAt, until time.Time) {
	t.mu.Lock()
	if askedAt.After(t.storeConfirmedAt) {
		t.storeConfirmedAt = askedAt
	}
	t.mu.Unlock()
	t.confirm(until)
}

// departureMemory is how long a daemon that has lost its presence record counts as one that may return and take over unseen.
const departureMemory = time.Minute

// departure is the end of a daemon's presence record.
type departure struct {
	address string
	at      time.Time // when this daemon saw it
}

// possibleLeaders returns the addresses of the other daemons that have or lately had a presence record, and the highest revision of
// the known presence records.
func (c *Coordinator) possibleLeaders() (map[ident.MemberID]string, platform.Revision) {
	v := c.view.get()
	newest := platform.Revision(0)
	peers := make(map[ident.MemberID]string, len(v.members)+len(v.departed))
	for m, d := range v.departed {
		if v.confirmedAt.Sub(d.at) < departureMemory { // a daemon isn't forgotten while the store can't tell whether it has returned
			peers[m] = d.address
		}
	}
	for m, a := range v.members {
		peers[m] = a.Address
		newest = max(newest, a.revision)
	}
	delete(peers, c.config.Member)
	return peers, newest
}

// epochTimeout bounds the query of a peer's epoch.
const epochTimeout = 400 * time.Millisecond

type (
	epochRequest struct {
		NewerThan platform.Revision `json:"newer-than,omitempty"` // highest revision of the caller's presence records
	}
	epochReply struct {
		Epoch ident.Epoch               `json:"epoch"`           // of the latest leader record that the daemon knows
		Newer map[ident.MemberID]string `json:"newer,omitempty"` // addresses of daemons whose presence record is newer than that
	}
)

// answerEpoch handles a query of a peer. The view of a daemon that leads may not show this yet.
func (c *Coordinator) answerEpoch(_ context.Context, r epochRequest) (epochReply, error) {
	v := c.view.get()
	reply := epochReply{Epoch: max(v.leader.Epoch, c.ownEpoch())}
	if r.NewerThan == 0 {
		return reply, nil // an older daemon, which doesn't use the rest
	}
	for m, a := range v.members {
		if a.revision > r.NewerThan {
			if reply.Newer == nil {
				reply.Newer = map[ident.MemberID]string{}
			}
			reply.Newer[m] = a.Address
		}
	}
	return reply, nil
}

// ownEpoch returns the epoch of this daemon's latest term, or 0 without one.
func (c *Coordinator) ownEpoch() ident.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latestEpoch
}

// queryEpochs asks daemons for the epoch of the latest leader record that they know, and returns the replies.
func (c *Coordinator) queryEpochs(
	ctx context.Context, peers map[ident.MemberID]string, newest platform.Revision,
) map[ident.MemberID]epochReply {
	type answer struct {
		member ident.MemberID
		reply  epochReply
		err    error
	}
	answers := make(chan answer, len(peers))
	ctx, cancel := context.WithTimeout(ctx, epochTimeout)
	defer cancel()
	for m, address := range peers {
		go func() {
			r, err := peer.CallAddress[epochRequest, epochReply](ctx, c.config.Peer, address, methodEpoch, epochRequest{newest})
			answers <- answer{m, r, err}
		}()
	}
	replies := make(map[ident.MemberID]epochReply, len(peers))
	for range peers {
		a := <-answers
		if a.err != nil {
			c.config.Log.V(1).Info("epoch query failed", "peer", string(a.member), "error", a.err.Error())
			continue
		}
		replies[a.member] = a.reply
	}
	return replies
}

// confirm notes that no other daemon led at a time.
func (t *term) confirm(at time.Time) {
	for {
		latest := t.confirmed.Load()
		if !at.After(*latest) || t.confirmed.CompareAndSwap(latest, &at) {
			return
		}
	}
}

func (t *term) unconfirmedFor() time.Duration { return t.coordinator.now().Sub(*t.confirmed.Load()) }

// logSuspension logs when commands stop because another daemon may lead, and when they resume.
func (t *term) logSuspension() {
	age := t.unconfirmedFor()
	suspended := age > isolationTimeout
	if suspended == t.suspended {
		return
	}
	t.suspended = suspended
	message := "commands resumed, no other daemon leads"
	if suspended {
		message = "commands suspended, another daemon may lead"
	}
	now := t.coordinator.now()
	t.config.Log.Info(message, "epoch", uint64(t.leader.Epoch), "confirmation-age", age.String(),
		"store-age", now.Sub(t.coordinator.LastStoreContact()).String(), "servers-age", now.Sub(t.serversReachedAt(now)).String())
}

// confirmationPause is the pause between checks of awaitConfirmation.
const confirmationPause = 20 * time.Millisecond

// awaitConfirmation delays a command while this leader is unconfirmed for longer than isolationTimeout, as after a freeze, and
// reports whether the context still lasts. Another daemon may lead then, and a server that it doesn't reach or that has restarted would
// carry out the command.
func (t *term) awaitConfirmation(ctx context.Context) bool {
	for ctx.Err() == nil && !t.mayCommand() {
		sleep(ctx, confirmationPause)
	}
	return ctx.Err() == nil
}

// mayCommand reports whether this leader is confirmed, so that commands may be sent.
func (t *term) mayCommand() bool { return t.unconfirmedFor() <= isolationTimeout }

// serverContext returns the context for calls to servers. One that has waited for a connection is sent only while the leader is confirmed.
func (t *term) serverContext() context.Context {
	if t.serverCtx == nil {
		return t.ctx
	}
	return t.serverCtx
}
