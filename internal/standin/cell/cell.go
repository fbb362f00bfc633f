// Package cell starts in-memory implementations of the platform's store and host list and of backend servers, and serves
// them over HTTP on loopback.
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

// anyPort is the listen address for a free port on loopback.
const anyPort = "127.0.0.1:0"

// ServerGroup describes backend servers with the same capacity in one data centre.
type ServerGroup struct {
	Region     ident.Region
	DataCentre ident.DataCentre
	Prefix     string // start of the ids of hosts and racks
	Count      int
	PerRack    int             // hosts per rack; 0 counts as 1
	Capacity   resource.Vector // of each server
}

// Config configures a cell.
type Config struct {
	Groups        []ServerGroup
	Listen        string                 // address of the store; empty means a free port on loopback
	HostListDelay time.Duration          // time until a change of the host list becomes visible
	Seed          uint64                 // seed of the probabilistic faults
	Worker        func(c *worker.Config) // adjusts the configuration of each backend server; nil keeps the defaults
}

// Cell is a running store, host list and set of backend servers, without daemons; demo.Cell adds them.
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

// Start starts all servers and publishes the host list.
func Start(c Config) (*Cell, error) {
	ctx, cancel := context.WithCancel(context.Background())
	cell := &Cell{
		KV: kv.New(kv.Config{HostListDelay: c.HostListDelay, Seed: c.Seed}), Workers: map[ident.HostID]*worker.Worker{},
		Ledger: worker.NewLedger(), cancel: cancel,
	}
	address, err := cell.serve(cmp.Or(c.Listen, anyPort), cell.KV.Handler())
	if err != nil {
		cell.Close()
		return nil, err
	}
	cell.storeURL = "http://" + address
	cell.group.Go(func() error { return cell.KV.Run(ctx) })
	for _, group := range c.Groups {
		if err := cell.addServers(c, group); err != nil {
			cell.Close()
			return nil, err
		}
	}
	cell.KV.SetHosts(cell.Hosts)
	return cell, nil
}

// addServers starts the backend servers of a group and adds them to the host list.
func (cell *Cell) addServers(c Config, group ServerGroup) error {
	for i := range group.Count {
		id := ident.HostID(fmt.Sprintf("%s-%02d", group.Prefix, i))
		config := worker.Config{Host: id, Capacity: group.Capacity, Ledger: cell.Ledger, Seed: c.Seed + uint64(i)}
		if c.Worker != nil {
			c.Worker(&config)
		}
		w := worker.New(config)
		address, err := cell.serve(anyPort, w.Handler())
		if err != nil {
			return err
		}
		cell.Workers[id] = w
		cell.Hosts = append(cell.Hosts, platform.Host{
			ID: id, Address: address, Region: group.Region, DataCentre: group.DataCentre,
			Rack: ident.Rack(fmt.Sprintf("%s-rack-%d", group.Prefix, i/max(1, group.PerRack))), State: platform.HostLive,
		})
	}
	return nil
}

// serve starts an HTTP server and returns the address that it listens on.
func (cell *Cell) serve(address string, h http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	cell.servers = append(cell.servers, server)
	cell.group.Go(func() error {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return l.Addr().String(), nil
}

// StoreURL returns the base URL of the store and the host list.
func (cell *Cell) StoreURL() string { return cell.storeURL }

// SetHostState changes the state of a host in the platform's host list.
func (cell *Cell) SetHostState(id ident.HostID, state platform.HostState) {
	for i := range cell.Hosts {
		if cell.Hosts[i].ID == id {
			cell.Hosts[i].State = state
		}
	}
	cell.KV.SetHosts(cell.Hosts)
}

// Close stops all servers and their tasks.
func (cell *Cell) Close() {
	cell.cancel()
	for _, server := range cell.servers {
		_ = server.Close()
	}
	for _, w := range cell.Workers {
		w.Close()
	}
	_ = cell.group.Wait()
}
