package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

// Guards against a soak that hangs: a change of the configuration and a fault of the store waited for each other's lock.
func TestConfigurationChangesDuringStoreFault(t *testing.T) {
	c := &cell{
		store: txstore.New(time.Now), random: rand.New(rand.NewPCG(1, 5)), keys: map[string][]string{},
		daemons: make([]*process, 1),
	}
	end := c.startFault(plannedFault{Fault: storeLossy})
	var group sync.WaitGroup
	for range 2000 {
		group.Go(func() { c.logError(c.writeConfig()) })
		group.Go(func() { _, _ = c.store.Get(context.Background(), "k") })
	}
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		end()
	case <-time.After(10 * time.Second):
		t.Fatal("deadlock")
	}
}
