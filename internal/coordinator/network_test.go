package coordinator_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// storeSite is the place of the store, which is never cut off.
	storeSite = ident.DataCentre("store")
	// networkStoreTimeout and networkCommandTimeout bound the calls to the store and the commands to servers.
	networkStoreTimeout   = 1200 * time.Millisecond
	networkCommandTimeout = 450 * time.Millisecond
)

// cutNetwork connects data centres that can be cut off from each other. Inside a data centre all paths stay open.
type cutNetwork struct {
	mu        sync.Mutex
	cutOff    map[ident.DataCentre]bool
	changed   chan struct{}               // closed at the next change
	addresses map[string]ident.DataCentre // of the daemons
}

func newCutNetwork() *cutNetwork {
	return &cutNetwork{
		cutOff: map[ident.DataCentre]bool{}, changed: make(chan struct{}), addresses: map[string]ident.DataCentre{},
	}
}

// setCutOff cuts a data centre off from all others and the store, or connects it again.
func (n *cutNetwork) setCutOff(dc ident.DataCentre, cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[dc] = cutOff
	close(n.changed)
	n.changed = make(chan struct{})
}

// path reports whether two data centres reach each other, and returns a channel that is closed at the next change.
func (n *cutNetwork) path(a, b ident.DataCentre) (open bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a == b || !n.cutOff[a] && !n.cutOff[b], n.changed
}

func (n *cutNetwork) open(a, b ident.DataCentre) bool {
	open, _ := n.path(a, b)
	return open
}

// await waits until two data centres reach each other and reports whether the context still lasts.
func (n *cutNetwork) await(ctx context.Context, a, b ident.DataCentre) bool {
	for {
		open, changed := n.path(a, b)
		if open {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// addDaemon notes where the daemon with a peer address is.
func (n *cutNetwork) addDaemon(address string, dc ident.DataCentre) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses[address] = dc
}

// dialFrom returns a function that opens connections of a daemon to its peers. What is written during a cut arrives after it.
func (n *cutNetwork) dialFrom(from ident.DataCentre) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to, known := n.addresses[address]
		n.mu.Unlock()
		if !known || !n.await(ctx, from, to) {
			return nil, context.DeadlineExceeded
		}
		remote, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		local, relayed := net.Pipe()
		go n.relay(remote, relayed, from, to)
		go n.relay(relayed, remote, from, to)
		return local, nil
	}
}

// relay copies one direction of a connection, and closes both ends when one of them ends.
func (n *cutNetwork) relay(target, source net.Conn, from, to ident.DataCentre) {
	defer target.Close()
	defer source.Close()
	buffer := make([]byte, 32<<10)
	for {
		size, err := source.Read(buffer)
		if !n.await(context.Background(), from, to) {
			return
		}
		if _, writeErr := target.Write(buffer[:size]); writeErr != nil || err != nil {
			return
		}
	}
}

// callAcross makes a call between data centres that fails with an error if there is no path. It may be carried out when there is one
// again.
func callAcross[T any](
	ctx context.Context, n *cutNetwork, from, to ident.DataCentre, failure error, call func(context.Context) (T, error),
) (T, error) {
	var none T
	if n.open(from, to) {
		if reply, err := call(ctx); n.open(from, to) {
			return reply, err
		}
		<-ctx.Done() // the reply is lost
		return none, failure
	}
	if rand.N(2) == 0 {
		go func() {
			late := context.WithoutCancel(ctx)
			if n.await(late, from, to) {
				_, _ = call(late)
			}
		}()
	}
	<-ctx.Done()
	return none, failure
}

// serverClient returns a client of a daemon in a data centre for servers whose data centres a function returns.
func (n *cutNetwork) serverClient(
	client coordinator.ServerClient, from ident.DataCentre, siteOf func(sched.ServerID) ident.DataCentre,
) coordinator.ServerClient {
	limited := client
	limited.Start = func(ctx context.Context, f sched.FencingToken, cmd sched.StartCommand) (time.Duration, error) {
		ctx, cancel := context.WithTimeout(ctx, networkCommandTimeout)
		defer cancel()
		return callAcross(ctx, n, from, siteOf(cmd.Server.ID), coordinator.ErrNoResponse, func(ctx context.Context) (time.Duration, error) {
			return client.Start(ctx, f, cmd)
		})
	}
	limited.Stop = func(ctx context.Context, f sched.FencingToken, cmd sched.StopCommand) (time.Duration, error) {
		ctx, cancel := context.WithTimeout(ctx, networkCommandTimeout)
		defer cancel()
		return callAcross(ctx, n, from, siteOf(cmd.Server.ID), coordinator.ErrNoResponse, func(ctx context.Context) (time.Duration, error) {
			return client.Stop(ctx, f, cmd)
		})
	}
	limited.Poll = func(ctx context.Context, f sched.FencingToken, cmd sched.PollCommand) (sched.Inventory, error) {
		return callAcross(ctx, n, from, siteOf(cmd.Server.ID), coordinator.ErrNoResponse, func(ctx context.Context) (sched.Inventory, error) {
			return client.Poll(ctx, f, cmd)
		})
	}
	return limited
}

// distantStore is the store as a daemon in a data centre reaches it.
type distantStore struct {
	platform.TransactionalStore
	network *cutNetwork
	from    ident.DataCentre
}

func storeCall[T any](ctx context.Context, s distantStore, failure error, wait time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+networkStoreTimeout)
	defer cancel()
	return callAcross(ctx, s.network, s.from, storeSite, failure, call)
}

func (s distantStore) Get(ctx context.Context, key string) (platform.Item, error) {
	return storeCall(ctx, s, platform.ErrUnavailable, 0, func(ctx context.Context) (platform.Item, error) {
		return s.TransactionalStore.Get(ctx, key)
	})
}

func (s distantStore) Range(ctx context.Context, prefix, after string) (platform.Page, error) {
	return storeCall(ctx, s, platform.ErrUnavailable, 0, func(ctx context.Context) (platform.Page, error) {
		return s.TransactionalStore.Range(ctx, prefix, after)
	})
}

func (s distantStore) Transact(ctx context.Context, t platform.Transaction) (platform.Revision, error) {
	return storeCall(ctx, s, platform.ErrUnknownOutcome, 0, func(ctx context.Context) (platform.Revision, error) {
		return s.TransactionalStore.Transact(ctx, t)
	})
}

func (s distantStore) Watch(
	ctx context.Context, prefix string, after platform.Revision, wait time.Duration,
) ([]platform.Event, platform.Revision, error) {
	type reply struct {
		events []platform.Event
		next   platform.Revision
	}
	r, err := storeCall(ctx, s, platform.ErrUnavailable, wait, func(ctx context.Context) (reply, error) {
		events, next, err := s.TransactionalStore.Watch(ctx, prefix, after, wait)
		return reply{events, next}, err
	})
	return r.events, r.next, err
}

func (s distantStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return storeCall(ctx, s, platform.ErrUnknownOutcome, 0, func(ctx context.Context) (platform.LeaseID, error) {
		return s.TransactionalStore.GrantLease(ctx, ttl)
	})
}

func (s distantStore) RenewLease(ctx context.Context, id platform.LeaseID) error {
	_, err := storeCall(ctx, s, platform.ErrUnavailable, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.TransactionalStore.RenewLease(ctx, id)
	})
	return err
}
