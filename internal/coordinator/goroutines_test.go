package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a new goroutine, with a stack that grows again, for each call to a server.
func TestGoroutinesAreUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g := newGoroutines()
		started := make(chan struct{}, 1)
		for range 100 {
			g.run(ctx, func() { started <- struct{}{} })
			<-started
			synctest.Wait()
			if n := g.idle.Load(); n != 1 {
				t.Fatalf("%d idle goroutines after one function at a time, want 1", n)
			}
		}
	})
}

// Guards against commands that wait for the end of other commands, and against idle goroutines that stay after a burst or a term.
func TestGoroutinesUnderBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst = 3 * maxIdleGoroutines
		ctx, cancel := context.WithCancel(t.Context())
		g := newGoroutines()
		started := time.Now()
		running, release := make(chan struct{}, burst), make(chan struct{})
		for range burst {
			g.run(ctx, func() {
				running <- struct{}{}
				<-release
			})
		}
		for range burst {
			<-running
		}
		if took := time.Since(started); took != 0 {
			t.Errorf("the last function began after %s", took)
		}
		close(release)
		synctest.Wait()
		if n := g.idle.Load(); n != maxIdleGoroutines {
			t.Errorf("%d idle goroutines after a burst, want %d", n, maxIdleGoroutines)
		}
		cancel()
		synctest.Wait()
		if n := g.idle.Load(); n != 0 {
			t.Errorf("%d idle goroutines after the end of the term", n)
		}
	})
}
