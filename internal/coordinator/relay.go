package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

// Methods by which a daemon that can't reach the store calls it through a peer.
const (
	methodTransact = "cell.transact"
	methodGet      = "cell.get"
	methodLease    = "cell.lease"
)

const (
	// minRelayTimeout and maxRelayTimeout bound the timeout of a store call through a peer.
	minRelayTimeout = 700 * time.Millisecond
	maxRelayTimeout = 2 * time.Second
	// maxRelaySilence is the time without a response from the store after which a daemon refuses to relay calls to it.
	maxRelaySilence = time.Second
)

// relayOutcome is the outcome of a relayed store call.
type relayOutcome string

const (
	outcomeDone        relayOutcome = "done"
	outcomeConflict    relayOutcome = "conflict"
	outcomeNotFound    relayOutcome = "not-found"
	outcomeUnavailable relayOutcome = "unavailable"
	outcomeUnknown     relayOutcome = "unknown"
)

type (
	transactRequest struct {
		Transaction platform.Transaction `json:"transaction"`
	}
	getRequest struct {
		Key string `json:"key"`
	}
	leaseRequest struct {
		TTL time.Duration `json:"ttl"`
	}
	relayReply struct {
		Outcome  relayOutcome      `json:"outcome"`
		Lease    platform.LeaseID  `json:"lease,omitempty"`
		Revision platform.Revision `json:"revision,omitempty"`
		Items    []platform.Item   `json:"items,omitempty"`
	}
)

// err returns the error that the store would have returned for the outcome.
func (r relayReply) err() error {
	switch r.Outcome {
	case outcomeDone:
		return nil
	case outcomeConflict:
		return &platform.ConflictError{Items: r.Items}
	case outcomeNotFound:
		return platform.ErrNotFound
	case outcomeUnavailable:
		return fmt.Errorf("through a peer: %w", platform.ErrUnavailable)
	case outcomeUnknown:
	}
	return fmt.Errorf("through a peer: %w", platform.ErrUnknownOutcome)
}

// replyFor returns the reply for the error of a store call.
func replyFor(err error) relayReply {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return relayReply{Outcome: outcomeDone}
	case errors.As(err, &conflict):
		return relayReply{Outcome: outcomeConflict, Items: conflict.Items}
	case errors.Is(err, platform.ErrNotFound):
		return relayReply{Outcome: outcomeNotFound}
	case errors.Is(err, platform.ErrUnavailable):
		return relayReply{Outcome: outcomeUnavailable}
	}
	return relayReply{Outcome: outcomeUnknown}
}

// registerRelayHandlers registers the handlers for peers that can't reach the store. They may write job records only and
// delete nothing.
func (c *Coordinator) registerRelayHandlers() {
	storeUnreachable := func() bool { return c.now().Sub(c.LastStoreContact()) > maxRelaySilence }
	peer.Handle(c.config.Peer, methodTransact, func(ctx context.Context, r transactRequest) (relayReply, error) {
		for _, w := range r.Transaction.Writes {
			if !strings.HasPrefix(w.Key, jobPrefix) {
				return relayReply{}, fmt.Errorf("key %q is not the key of a job", w.Key)
			}
		}
		if storeUnreachable() || len(r.Transaction.Deletes) > 0 {
			return relayReply{Outcome: outcomeUnavailable}, nil
		}
		rev, err := c.config.Store.Transact(ctx, r.Transaction)
		reply := replyFor(err)
		reply.Revision = rev
		return reply, nil
	})
	peer.Handle(c.config.Peer, methodGet, func(ctx context.Context, r getRequest) (relayReply, error) {
		if storeUnreachable() {
			return relayReply{Outcome: outcomeUnavailable}, nil
		}
		item, err := c.config.Store.Get(ctx, r.Key)
		reply := replyFor(err)
		if err == nil {
			reply.Items = []platform.Item{item}
		}
		return reply, nil
	})
	peer.Handle(c.config.Peer, methodLease, func(ctx context.Context, r leaseRequest) (relayReply, error) {
		if storeUnreachable() {
			return relayReply{Outcome: outcomeUnavailable}, nil
		}
		lease, err := c.config.Store.GrantLease(ctx, r.TTL)
		reply := replyFor(err)
		reply.Lease = lease
		return reply, nil
	})
}

// relay makes a store call through the leader, or through a random peer if no other daemon leads.
func relay[Req any](ctx context.Context, c *Coordinator, method string, r Req) (relayReply, error) {
	address := ""
	if l, ok := c.Leader(); ok && l.Incarnation != c.incarnation {
		address = l.Address
	} else if peers := c.peerAddresses(); len(peers) > 0 {
		skip := rand.IntN(len(peers))
		for _, a := range peers {
			if address = a; skip == 0 {
				break
			}
			skip--
		}
	}
	if address == "" {
		return relayReply{}, fmt.Errorf("no peer: %w", platform.ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.StoreTimeout.Timeout(minRelayTimeout, maxRelayTimeout))
	defer cancel()
	reply, err := peer.CallAddress[Req, relayReply](ctx, c.config.Peer, address, method, r)
	if err == nil {
		err = reply.err()
	} else if peer.NotDelivered(err) {
		err = fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	} else {
		err = fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, err)
	}
	return reply, err
}

// RelayTransact writes job records through a peer.
func (c *Coordinator) RelayTransact(ctx context.Context, t platform.Transaction) (platform.Revision, error) {
	r, err := relay(ctx, c, methodTransact, transactRequest{t})
	return r.Revision, err
}

// RelayGet reads a key through a peer.
func (c *Coordinator) RelayGet(ctx context.Context, key string) (platform.Item, error) {
	r, err := relay(ctx, c, methodGet, getRequest{key})
	if err == nil && len(r.Items) == 1 {
		return r.Items[0], nil
	}
	if err == nil {
		err = platform.ErrUnknownOutcome
	}
	return platform.Item{}, err
}

// RelayGrantLease grants a lease for job records through a peer.
func (c *Coordinator) RelayGrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	r, err := relay(ctx, c, methodLease, leaseRequest{ttl})
	return r.Lease, err
}
