package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

const (
	// renewalsPerTTL is the number of renewals of the presence lease within its time to live, and leaderRenewalsPerTTL that of a leader.
	// The leader's renewals also tell it whether the store answers, see sched.Options.StoreAnsweredAt.
	renewalsPerTTL       = 4
	leaderRenewalsPerTTL = 8
)

// presence keeps this daemon's presence record in the store under a lease.
type presence struct {
	config      Config
	incarnation string
	now         func() time.Time

	mu            sync.Mutex
	lease         platform.LeaseID
	revision      platform.Revision // of the presence record
	present       platform.Revision // of the key in the store when it was last seen, 0 without it; the condition of the next write
	lastRenewed   time.Time         // when the last successful renewal was sent
	lastAnswered  time.Time         // when the last reply to a successful call came
	leading       bool              // this daemon leads, see leaderRenewalsPerTTL
	minRTT        time.Duration     // shortest round trip of a renewal
	leaving       bool
	lastSucceeded bool // whether the last attempt succeeded
}

func newPresence(c Config, incarnation string) *presence {
	return &presence{config: c, incarnation: incarnation, now: time.Now}
}

// renewedAt returns when the last successful renewal was sent.
func (p *presence) renewedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastRenewed
}

// lastRenewal returns the revision of the presence record and when the last successful renewal of its lease was sent, or false if the
// record isn't written.
func (p *presence) lastRenewal() (platform.Revision, time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision, p.lastRenewed, p.lease != 0
}

// precondition returns the precondition that this daemon's presence record is unchanged, or false if it is not recorded.
func (p *presence) precondition() (platform.Precondition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return platform.Precondition{Key: presencePrefix + string(p.config.Member), Revision: p.revision}, p.lease != 0
}

// storeLatency returns the shortest round trip of a renewal so far.
func (p *presence) storeLatency() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.minRTT
}

// run writes the record and renews its lease. Renewals may overlap, so that a slow store still receives one in each
// interval.
func (p *presence) run(ctx context.Context) error {
	inFlight := semaphore.NewWeighted(leaderRenewalsPerTTL)
	var group sync.WaitGroup
	for ctx.Err() == nil {
		// A renewal may take as long for a leader as for others.
		started, interval, shortest := p.now(), p.renewalInterval(), p.config.PresenceTTL/renewalsPerTTL
		if !p.hasLease() {
			p.logTransition(ctx, p.attempt(ctx, maxWriteTimeout))
		} else if inFlight.TryAcquire(1) {
			group.Go(func() {
				defer inFlight.Release(1)
				p.logTransition(ctx, p.attempt(ctx, p.config.StoreTimeout.Timeout(shortest, p.config.PresenceTTL)))
			})
		}
		sleep(ctx, interval-p.now().Sub(started))
	}
	group.Wait()
	return nil
}

// renewalInterval returns the pause between renewals.
func (p *presence) renewalInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leading {
		return p.config.PresenceTTL / leaderRenewalsPerTTL
	}
	return p.config.PresenceTTL / renewalsPerTTL
}

// setLeading notes whether this daemon leads.
func (p *presence) setLeading(leading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leading = leading
}

// answeredAt returns when the latest reply of the store came. Its time counts, not that of the call, so that a slow store isn't taken for a
// silent one.
func (p *presence) answeredAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastAnswered
}

// noteAnswer notes that the store has answered another call of this daemon.
func (p *presence) noteAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswered = p.now()
}

// hasLease reports whether the record is written, as far as this daemon knows.
func (p *presence) hasLease() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease != 0
}

// attempt makes one attempt within a timeout. The timeout is longer for writing the record than for a renewal, since a slow
// store must not keep a daemon out of the cell.
func (p *presence) attempt(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.renewOrCreate(ctx)
}

// logTransition logs when the presence is lost or regained.
func (p *presence) logTransition(ctx context.Context, err error) {
	p.mu.Lock()
	succeededBefore := p.lastSucceeded
	p.lastSucceeded = err == nil
	p.mu.Unlock()
	if err != nil && ctx.Err() == nil && succeededBefore {
		p.config.Log.Info("presence not renewed", "error", err.Error(), "since", p.now().Sub(p.renewedAt()).String())
	}
	if err == nil && !succeededBefore {
		p.config.Log.Info("presence recorded", "member", string(p.config.Member), "incarnation", p.incarnation)
	}
}

// renewOrCreate renews the lease, or creates it together with the record if there is none.
func (p *presence) renewOrCreate(ctx context.Context) error {
	p.mu.Lock()
	lease, leaving := p.lease, p.leaving
	p.mu.Unlock()
	if leaving {
		return nil
	}
	sentAt := p.now()
	if lease == 0 {
		return p.create(ctx)
	}
	err := p.config.Store.RenewLease(ctx, lease)
	if errors.Is(err, platform.ErrNotFound) {
		p.mu.Lock()
		if p.lease == lease {
			p.lease, p.present = 0, 0 // the record has gone with its lease; the next attempt writes it again
		}
		p.mu.Unlock()
	}
	if err != nil {
		return fmt.Errorf("renew presence lease: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswered = p.now()
	if sentAt.After(p.lastRenewed) { // renewals may overlap
		p.lastRenewed = sentAt
	}
	if took := p.now().Sub(sentAt); p.minRTT == 0 || took < p.minRTT {
		p.minRTT = took
	}
	return nil
}

// maxPresenceWrites bounds the writes of an attempt to create the record, as others may write the key as well.
const maxPresenceWrites = 3

// create writes the record under a new lease. It replaces the record of a former incarnation on the same host.
func (p *presence) create(ctx context.Context) error {
	c := p.config
	sentAt := p.now()
	lease, err := c.Store.GrantLease(ctx, c.PresenceTTL)
	if err != nil {
		return fmt.Errorf("grant presence lease: %w", err)
	}
	value, err := json.Marshal(PresenceRecord{
		Member: c.Member, Incarnation: p.incarnation, Address: c.Address, DataCentre: c.DataCentre, Region: c.Region,
		ElectionDelay: c.ElectionDelay,
	})
	if err != nil {
		return fmt.Errorf("encode presence record: %w", err)
	}
	revision, err := p.write(ctx, platform.Write{Key: presencePrefix + string(c.Member), Value: value, Lease: lease})
	if err != nil {
		return fmt.Errorf("write presence record: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease, p.lastRenewed, p.revision, p.lastAnswered = lease, sentAt, revision, p.now()
	return nil
}

// write writes the record on condition that the key is as it was last seen. A write without an answer may be carried out late; without the
// condition it would replace the record by one under a lease that nobody renews.
func (p *presence) write(ctx context.Context, w platform.Write) (platform.Revision, error) {
	var revision platform.Revision
	err := errors.New("not tried")
	for range maxPresenceWrites {
		p.mu.Lock()
		condition := platform.Precondition{Key: w.Key, Revision: p.present}
		p.mu.Unlock()
		revision, err = p.config.Store.Transact(ctx, platform.Transaction{
			Preconditions: []platform.Precondition{condition}, Writes: []platform.Write{w},
		})
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		present := platform.Revision(0)
		for _, it := range conflict.Items {
			if it.Key == w.Key {
				present = it.Revision
			}
		}
		p.mu.Lock()
		p.present = present
		p.mu.Unlock()
	}
	if err != nil {
		return 0, fmt.Errorf("transaction: %w", err)
	}
	p.mu.Lock()
	p.present = revision
	p.mu.Unlock()
	return revision, nil
}

// leave revokes the lease, so that other daemons need not wait for it to expire.
func (p *presence) leave(ctx context.Context) {
	p.mu.Lock()
	lease := p.lease
	p.lease, p.leaving = 0, true
	p.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := p.config.Store.RevokeLease(ctx, lease); err != nil {
		p.config.Log.Info("presence lease not revoked; it will expire", "error", err.Error())
	}
}
