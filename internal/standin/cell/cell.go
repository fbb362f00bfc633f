// Package cell builds a small cell of stand-ins on loopback: the platform's store and host list, and backend servers.
package cell

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/worker"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// anyPort is a free port on loopback.
const anyPort = "127.0.0.1:0"

// Group is a number of equal backend servers in racks of one data centre.
type Group struct {
	Region     ident.Region
	DataCentre ident.DataCentre
	Prefix     string
	Count      int
	PerRack    int
	Capacity   resource.Vector
}

// Config describes a cell.
type Config struct {
	Groups  []Group
	Listen  string // address of the store; empty means a free port on loopback
	HostLag time.Duration
	Seed    uint64
	Worker  func(c *worker.Config) // adjusts each backend server; nil leaves the defaults
}

// Cell is a running set of stand-ins.
type Cell struct {
	KV      *kv.Server
	Workers map[ident.HostID]*worker.Worker
	Ledger  *worker.Ledger
	Hosts   []platform.Host

	storeURL string
	servers  []*http.Server
	cancel   context.CancelFunc
	group    errgroup.Group
}

// Start opens the ports of all stand-ins.
func Start(c Config) (*Cell, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Cell{
		KV: kv.New(kv.Config{HostLag: c.HostLag, Seed: c.Seed}), Workers: map[ident.HostID]*worker.Worker{},
		Ledger: worker.NewLedger(), cancel: cancel,
	}
	address, err := s.serve(cmp.Or(c.Listen, anyPort), s.KV.Handler())
	if err != nil {
		s.Close()
		return nil, err
	}
	s.storeURL = "http://" + address
	s.group.Go(func() error { return s.KV.Run(ctx) })
	for _, g := range c.Groups {
		if err := s.add(c, g); err != nil {
			s.Close()
			return nil, err
		}
	}
	s.KV.SetHosts(s.Hosts)
	return s, nil
}

func (s *Cell) add(c Config, g Group) error {
	for i := range g.Count {
		id := ident.HostID(fmt.Sprintf("%s-%02d", g.Prefix, i))
		config := worker.Config{Host: id, Capacity: g.Capacity, Ledger: s.Ledger, Seed: c.Seed + uint64(i)}
		if c.Worker != nil {
			c.Worker(&config)
		}
		w := worker.New(config)
		address, err := s.serve(anyPort, w.Handler())
		if err != nil {
			return err
		}
		s.Workers[id] = w
		s.Hosts = append(s.Hosts, platform.Host{
			ID: id, Address: address, Region: g.Region, DataCentre: g.DataCentre,
			Rack: ident.Rack(fmt.Sprintf("%s-rack-%d", g.Prefix, i/max(1, g.PerRack))), State: platform.HostLive,
		})
	}
	return nil
}

func (s *Cell) serve(address string, h http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	s.group.Go(func() error {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return l.Addr().String(), nil
}

// StoreURL returns the URL of the store and the host list.
func (s *Cell) StoreURL() string { return s.storeURL }

// SetState changes the state of a host in the platform's list.
func (s *Cell) SetState(id ident.HostID, state platform.HostState) {
	for i := range s.Hosts {
		if s.Hosts[i].ID == id {
			s.Hosts[i].State = state
		}
	}
	s.KV.SetHosts(s.Hosts)
}

// Close ends all stand-ins.
func (s *Cell) Close() {
	s.cancel()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, w := range s.Workers {
		w.Close()
	}
	_ = s.group.Wait()
}
