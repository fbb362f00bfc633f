package ownership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// startRetryPause is the pause before a start without a reply is retried.
	startRetryPause = 50 * time.Millisecond
	// maxStartRetries bounds the retries of a start. The lease doesn't bound them, because a server that answers polls
	// keeps it indefinitely.
	maxStartRetries = 20
)

// attachedEntry returns the entry of an attached host and the fence for a command, or ErrNotOwner.
func (t *Table) attachedEntry(host ident.HostID) (*entry, backend.Fence, error) {
	s := t.shard(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[host]
	if e == nil || !e.attached {
		return nil, backend.Fence{}, fmt.Errorf("%s: %w", host, ErrNotOwner)
	}
	return e, e.fence, nil
}

// startableEntry returns the entry of a host that may take new work. ErrNotOwner, backend.ErrLeaving and
// backend.ErrLeaseLapsed mean that nothing was sent.
func (t *Table) startableEntry(host ident.HostID) (*entry, backend.Fence, error) {
	e, fence, err := t.attachedEntry(host)
	if err != nil {
		return nil, fence, err
	}
	now := t.config.Now()
	e.lock.Lock()
	defer e.lock.Unlock()
	switch {
	case e.leaving || e.listLeaving:
		return nil, fence, fmt.Errorf("%s: %w", host, backend.ErrLeaving)
	case !now.Before(e.validUntil):
		return nil, fence, fmt.Errorf("%s: %w", host, backend.ErrLeaseLapsed)
	}
	return e, fence, nil
}

// Start sends the attempt to an owned backend server. After an error the task is certain not to run, except for
// backend.ErrUnknownOutcome, which a Stop resolves, and backend.ErrDuplicate. After a lost reply the command is
// retried under the same fence only: a restarted backend server refuses that fence, while under a newer one it would
// run the attempt a second time.
func (t *Table) Start(ctx context.Context, host ident.HostID, task backend.Task) error {
	e, fence, err := t.startableEntry(host)
	if err != nil {
		return err
	}
	err = e.server.Start(ctx, fence, task)
	for n := 0; n < maxStartRetries && errors.Is(err, backend.ErrUnknownOutcome) && t.waitForStartRetry(ctx, e); n++ {
		retryErr := e.server.Start(ctx, fence, task)
		if retryErr == nil || errors.Is(retryErr, backend.ErrDuplicate) || errors.Is(retryErr, backend.ErrStopped) {
			err = retryErr
		}
		// Any other refusal says nothing about the first command.
		if !errors.Is(retryErr, backend.ErrUnknownOutcome) && !errors.Is(retryErr, backend.ErrUnreachable) {
			break
		}
	}
	return t.handleCommandError(e, fence, err)
}

// waitForStartRetry waits before a start is retried. It returns false if ctx ended, or if the entry was removed or its
// lease may have lapsed, because the command would only be refused then.
func (t *Table) waitForStartRetry(ctx context.Context, e *entry) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(startRetryPause):
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	return !e.removed && t.config.Now().Before(e.validUntil)
}

// Stop ends an attempt; backend.StopNeverStarted means that the attempt never ran and never will.
func (t *Table) Stop(ctx context.Context, host ident.HostID, attempt ident.AttemptID) (backend.StopState, error) {
	e, fence, err := t.attachedEntry(host)
	if err != nil {
		return "", err
	}
	state, err := e.server.Stop(ctx, fence, attempt)
	return state, t.handleCommandError(e, fence, err)
}

// Checkpoint saves and ends an attempt, or returns backend.ErrUnsupported.
func (t *Table) Checkpoint(ctx context.Context, host ident.HostID, attempt ident.AttemptID) error {
	e, fence, err := t.attachedEntry(host)
	if err != nil {
		return err
	}
	return t.handleCommandError(e, fence, e.server.Checkpoint(ctx, fence, attempt))
}

// Throttle limits an attempt to a share of its demand in percent, or returns backend.ErrUnsupported.
func (t *Table) Throttle(ctx context.Context, host ident.HostID, attempt ident.AttemptID, percent int) error {
	e, fence, err := t.attachedEntry(host)
	if err != nil {
		return err
	}
	return t.handleCommandError(e, fence, e.server.Throttle(ctx, fence, attempt, percent))
}

// handleCommandError updates the entry after a refused command and adds the host to the error. A leaving server gets no
// more starts; after a stale epoch or a lapsed lease a poll is sent at once and finds out whether to attach again.
func (t *Table) handleCommandError(e *entry, fence backend.Fence, err error) error {
	if err == nil {
		return nil
	}
	e.lock.Lock()
	if e.fence == fence {
		switch {
		case errors.Is(err, backend.ErrLeaving):
			e.leaving = true
		case errors.Is(err, backend.ErrStaleEpoch), errors.Is(err, backend.ErrLeaseLapsed):
			e.pollNowLocked()
		}
	}
	e.lock.Unlock()
	return fmt.Errorf("%s: %w", e.id, err)
}

// Acknowledge records that the result of an attempt has reached its origin. The acknowledgement is sent with the next
// poll, which follows at once when many are pending. If it is lost with the table, the next owner gets the result again.
func (t *Table) Acknowledge(host ident.HostID, attempt ident.AttemptID) {
	s := t.shard(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[host]
	if e == nil {
		return
	}
	e.acknowledgements = append(e.acknowledgements, attempt)
	if len(e.acknowledgements) == acknowledgementFlushSize {
		e.pollNowLocked()
	}
}

// AllAttached reports whether every owned host is attached at the epoch or a later one, or can have no lease left.
func (t *Table) AllAttached(epoch ident.Epoch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hostsLoaded && t.epoch >= epoch && t.attachedLocked(epoch)
}

// InventoryComplete returns the epoch of the view that the table reflects, and whether this member knows every task of
// its hosts at that epoch. A host that was attached at an older epoch counts if this member was its owner in every view
// since, because then no other member can have attached.
func (t *Table) InventoryComplete() (epoch ident.Epoch, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch, t.hostsLoaded && t.epoch > 0 && t.attachedLocked(t.epoch)
}

func (t *Table) attachedLocked(epoch ident.Epoch) bool {
	allAttached := true
	t.forEachEntry(func(e *entry) {
		known := e.attached && e.confirmedEpoch >= epoch && e.blockedEpoch == 0
		allAttached = allAttached && (e.caretaker || known || e.lapsed)
	})
	return allAttached
}

// OwnedHosts returns the hosts that this member owns, attached or not, in id order.
func (t *Table) OwnedHosts() []ident.HostID {
	var owned []ident.HostID
	t.forEachEntry(func(e *entry) {
		if !e.caretaker {
			owned = append(owned, e.id)
		}
	})
	slices.Sort(owned)
	return owned
}

// HostDump is the state of one host in a Dump.
type HostDump struct {
	Host             ident.HostID  `json:"host"`
	Caretaker        bool          `json:"caretaker,omitempty"`
	Attached         bool          `json:"attached"`
	Fence            backend.Fence `json:"fence"`
	Confirmed        ident.Epoch   `json:"confirmed-epoch"`
	Blocked          ident.Epoch   `json:"blocked-epoch,omitempty"`
	Boot             string        `json:"boot,omitempty"`
	ValidFor         string        `json:"valid-for,omitempty"`
	Lapsed           bool          `json:"lapsed,omitempty"`
	Leaving          bool          `json:"leaving,omitempty"`
	Acknowledgements int           `json:"acknowledgements,omitempty"`
}

// Dump is the table's state in the state dump.
type Dump struct {
	Epoch    ident.Epoch            `json:"epoch"`
	Interval string                 `json:"renewal-interval"`
	Suspects map[ident.MemberID]int `json:"suspects,omitempty"` // consecutive failed probes while the store is down
	Hosts    []HostDump             `json:"hosts"`              // in id order
}

// Dump returns the table's state for the state dump.
func (t *Table) Dump() Dump {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Dump{Epoch: t.epoch, Interval: t.renewalInterval().String(), Suspects: t.failedProbes}
	t.forEachEntry(func(e *entry) {
		h := HostDump{
			Host: e.id, Caretaker: e.caretaker, Attached: e.attached, Fence: e.fence, Confirmed: e.confirmedEpoch,
			Blocked: e.blockedEpoch, Boot: e.boot, Lapsed: e.lapsed, Leaving: e.leaving || e.listLeaving,
			Acknowledgements: len(e.acknowledgements),
		}
		if e.attached {
			h.ValidFor = e.validUntil.Sub(now).Round(time.Millisecond).String()
		}
		d.Hosts = append(d.Hosts, h)
	})
	slices.SortFunc(d.Hosts, func(a, b HostDump) int { return cmp.Compare(a.Host, b.Host) })
	return d
}
