package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

const (
	// minDirectTimeout and maxOwnTry bound the time limit of a call to the store, after which a peer is asked.
	minDirectTimeout = 500 * time.Millisecond
	maxDirectTimeout = 1500 * time.Millisecond
)

// transact changes job records. Its error wraps platform.ErrUnknownOutcome if the change may have taken effect.
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

// callStore makes a call to the store itself and, where the store doesn't answer this daemon, through a peer. The outcome is
// unknown if either way's is.
func callStore[T any](ctx context.Context, g *Gateway, direct, relayed func(context.Context) (T, error)) (T, error) {
	var (
		result    T
		directErr error
	)
	if silence, unreachable := g.storeUnreachable(); unreachable {
		directErr = fmt.Errorf("store silent for %s: %w", silence, platform.ErrUnavailable)
	} else {
		directCtx, cancel := context.WithTimeout(ctx, g.config.StoreTimeout.Limit(minDirectTimeout, maxDirectTimeout))
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

// completed reports whether a call to the store was carried out, so that there is nothing to gain from another way.
func completed(err error) bool {
	return err == nil || !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknownOutcome)
}
