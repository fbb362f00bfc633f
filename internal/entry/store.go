package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

const (
	// minDirectTimeout and maxDirectTimeout bound the timeout of a direct call to the store, after which it is made through
	// a peer.
	minDirectTimeout = 500 * time.Millisecond
	maxDirectTimeout = 1500 * time.Millisecond
)

// storeUnreachable reports whether the store has not responded for so long that a call is pointless. It also returns the
// time since its last response.
func (g *Gateway) storeUnreachable() (time.Duration, bool) {
	age := g.now().Sub(g.config.Coordinator.LastStoreContact())
	return age, age > g.config.StoreTimeout.Timeout(minStoreSilence, maxStoreSilence)
}

// transact writes job records. Its error wraps platform.ErrUnknownOutcome if the write may have taken effect.
func (g *Gateway) transact(ctx context.Context, t platform.Transaction) error {
	_, err := callStore(ctx, g,
		func(ctx context.Context) (platform.Revision, error) { return g.config.Store.Transact(ctx, t) },
		func(ctx context.Context) (platform.Revision, error) {
			return g.config.Coordinator.RelayTransact(ctx, t)
		})
	return err
}

// get reads a key.
func (g *Gateway) get(ctx context.Context, key string) (platform.Item, error) {
	return callStore(ctx, g,
		func(ctx context.Context) (platform.Item, error) { return g.config.Store.Get(ctx, key) },
		func(ctx context.Context) (platform.Item, error) { return g.config.Coordinator.RelayGet(ctx, key) })
}

// callStore calls the store directly and, if the store does not respond to this daemon, through a peer. The outcome is
// unknown if the outcome of either call is.
func callStore[T any](ctx context.Context, g *Gateway, direct, relayed func(context.Context) (T, error)) (T, error) {
	var (
		result    T
		directErr error
	)
	if silence, unreachable := g.storeUnreachable(); unreachable {
		directErr = fmt.Errorf("no response from the store for %s: %w", silence, platform.ErrUnavailable)
	} else {
		directCtx, cancel := context.WithTimeout(ctx, g.config.StoreTimeout.Timeout(minDirectTimeout, maxDirectTimeout))
		result, directErr = direct(directCtx)
		cancel()
	}
	if completed(directErr) {
		return result, directErr
	}
	result, err := relayed(ctx)
	if completed(err) || errors.Is(err, platform.ErrUnknownOutcome) {
		return result, err
	}
	return result, directErr
}

// completed reports whether the store carried out a call, so that a repetition through a peer is useless.
func completed(err error) bool {
	return err == nil || !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknownOutcome)
}
