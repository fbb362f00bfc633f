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

// ServerGroup is a number of equal backend servers in racks of one data centre.
type ServerGroup struct {
	Region     ident.Region
	DataCentre ident.DataCentre
	Prefix     string
	Count      int
	PerRack    int
	Capacity   resource.Vector
}

// Config describes a cell.
type Config struct {
	Groups        []ServerGroup
	Listen        string // address of the store; empty means a free port on loopback
	HostListDelay time.Duration
	Seed          uint64
	Worker        func(c *worker.Config) // adjusts each backend server; nil leaves the defaults
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

func (cell *Cell) serve(address string, h http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
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

// StoreURL returns the URL of the store and the host list.
func (cell *Cell) StoreURL() string { return cell.storeURL }

// SetHostState changes the state of a host in the platform's list.
func (cell *Cell) SetHostState(id ident.HostID, state platform.HostState) {
	for i := range cell.Hosts {
		if cell.Hosts[i].ID == id {
			cell.Hosts[i].State = state
		}
	}
	cell.KV.SetHosts(cell.Hosts)
}

// Close ends all stand-ins.
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
