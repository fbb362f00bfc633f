package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

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

// Guards against servers and proxies that stay when a cell can't be started.
func TestCellThatFailsToStart(t *testing.T) {
	dir := t.TempDir()
	o := Options{Binary: filepath.Join(dir, "missing"), Profile: ProfileMixed, Daemons: 1, Servers: 1}
	if _, err := newCell(o, dir, 1); err == nil {
		t.Fatal("a cell was started without the program")
	}
	var settings struct {
		Advice   string
		Platform struct{ Address string }
	}
	if _, err := toml.DecodeFile(filepath.Join(dir, "d0.toml"), &settings); err != nil {
		t.Fatal(err)
	}
	for name, address := range map[string]string{"advisor": settings.Advice, "store": settings.Platform.Address} {
		if c, err := net.Dial("tcp", address); err == nil {
			t.Errorf("the %s at %s still accepts connections", name, address)
			_ = c.Close()
		}
	}
}
