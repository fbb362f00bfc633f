// Package demo runs a cell in one process: stand-ins for the platform and the backend servers, and daemons. The demo runs
// every kind of work on three daemons and stops one of them in the meantime.
package demo

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/pflag"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/daemon"
	"github.com/rosemaryspoke/rosemaryspoke/internal/rollout"
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// OperatorToken is the operator token of every daemon in the cell.
	OperatorToken = "demo-operator-token"
	// readyTimeout limits the wait for the cell to become ready, and for each job of the demo.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Site is the member ID and the location of a daemon.
type Site struct {
	Member     ident.MemberID
	Region     ident.Region
	DataCentre ident.DataCentre
}

// Cell is a set of daemons that run against one set of stand-ins.
type Cell struct {
	Standins *cell.Cell

	mu             sync.Mutex
	daemons        map[ident.MemberID]*daemon.Daemon
	sites          []Site
	operatorKey    ed25519.PrivateKey
	adjustSettings func(*settings.Serve)
	dial           func(Site) daemon.DialFunc
	log            logr.Logger
	version        ident.Version
}

// Config configures a Cell.
type Config struct {
	Standins       cell.Config
	Sites          []Site
	Bundle         bundle.Bundle
	AdjustSettings func(*settings.Serve)      // adjusts the settings of each daemon; nil keeps the demo's short intervals
	Dial           func(Site) daemon.DialFunc // returns how a site's daemon dials its peers; nil means plain TCP
	Log            logr.Logger
}

// Start starts the stand-ins and the daemons, publishes the bundle and waits until the cell is ready.
func Start(ctx context.Context, config Config) (*Cell, error) {
	standins, err := cell.Start(config.Standins)
	if err != nil {
		return nil, fmt.Errorf("start stand-ins: %w", err)
	}
	_, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, fmt.Errorf("create operator key: %w", err)
	}
	c := &Cell{
		Standins: standins, daemons: map[ident.MemberID]*daemon.Daemon{}, sites: config.Sites, operatorKey: key,
		adjustSettings: config.AdjustSettings, dial: config.Dial, log: config.Log,
	}
	if c.dial == nil {
		c.dial = func(Site) daemon.DialFunc { return nil }
	}
	for _, site := range config.Sites {
		if err := c.Add(ctx, site); err != nil {
			c.Close()
			return nil, err
		}
	}
	if err := c.Publish(ctx, config.Bundle); err != nil {
		c.Close()
		return nil, err
	}
	return c, c.WaitReady(ctx)
}

// Add starts a daemon at a site.
func (c *Cell) Add(ctx context.Context, site Site) error {
	config, err := c.settings(site)
	if err != nil {
		return err
	}
	d, err := daemon.NewWithDialer(config, c.log, c.dial(site))
	if err != nil {
		return fmt.Errorf("create daemon %s: %w", site.Member, err)
	}
	if err := d.Start(ctx); err != nil {
		return fmt.Errorf("start daemon %s: %w", site.Member, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[site.Member] = d
	return nil
}

func (c *Cell) settings(site Site) (settings.Serve, error) {
	var serve settings.Serve
	serve.Flags(pflag.NewFlagSet("demo", pflag.ContinueOnError))
	public, _ := c.operatorKey.Public().(ed25519.PublicKey)
	serve.Member, serve.Region, serve.DataCentre = site.Member, site.Region, site.DataCentre
	serve.StoreURL, serve.OperatorToken = c.Standins.StoreURL(), OperatorToken
	serve.StoreRegion = c.sites[0].Region
	serve.Signers = []string{base64.StdEncoding.EncodeToString(public)}
	serve.CallerListen, serve.OperatorListen = "127.0.0.1:0", "127.0.0.1:0"
	address, err := cell.FreeAddress()
	if err != nil {
		return serve, err
	}
	serve.PeerListen = address
	serve.LeaseTTL, serve.MemberInterval, serve.ProbeTimeout = 1500*time.Millisecond, 150*time.Millisecond, 200*time.Millisecond
	serve.MinRenewal, serve.ClockDrift, serve.HostsInterval = 1500*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond
	serve.Freshness, serve.ReadInterval, serve.LimitInterval = 2*time.Second, 200*time.Millisecond, 50*time.Millisecond
	if c.adjustSettings != nil {
		c.adjustSettings(&serve)
	}
	return serve, nil
}

// Publish signs a bundle with the operator key and publishes it through any running daemon.
func (c *Cell) Publish(ctx context.Context, b bundle.Bundle) error {
	for _, d := range c.runningDaemons() {
		receipt, err := d.PublishSigned(ctx, b, c.version, c.operatorKey)
		if err != nil {
			return fmt.Errorf("publish bundle: %w", err)
		}
		if receipt.Outcome == rollout.Refused {
			return fmt.Errorf("publish bundle: version %d was refused", receipt.Version)
		}
		c.version = receipt.Version
		return nil
	}
	return fmt.Errorf("publish bundle: no daemon is running")
}

// WaitReady waits until every daemon is ready for callers and the daemons own all backend servers.
func (c *Cell) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready, owned := 0, 0
		for _, d := range c.runningDaemons() {
			if d.Ready() && d.AllServersAttached() {
				ready++
			}
			owned += d.OwnedServers()
		}
		if ready == len(c.runningDaemons()) && owned == len(c.Standins.Hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d daemons ready, %d of %d backend servers owned: %w",
				ready, len(c.runningDaemons()), owned, len(c.Standins.Hosts), ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

// Daemon returns the running daemon with the given ID, or nil.
func (c *Cell) Daemon(id ident.MemberID) *daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[id]
}

func (c *Cell) runningDaemons() map[ident.MemberID]*daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.daemons)
}

// remove deletes a daemon from the running daemons and returns it.
func (c *Cell) remove(id ident.MemberID) *daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.daemons[id]
	delete(c.daemons, id)
	return d
}

// Client returns a client for the caller API of one daemon.
func (c *Cell) Client(id ident.MemberID, key string) *client.Client {
	return client.New("http://"+c.Daemon(id).CallerAddress(), key, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
}

// Stop shuts one daemon down gracefully.
func (c *Cell) Stop(ctx context.Context, id ident.MemberID) error {
	d := c.remove(id)
	if err := d.Stop(ctx); err != nil {
		return fmt.Errorf("stop daemon %s: %w", id, err)
	}
	return nil
}

// Kill ends one daemon abruptly, as if its process had crashed.
func (c *Cell) Kill(id ident.MemberID) {
	d := c.remove(id)
	d.Kill()
}

// Close kills the daemons and closes the stand-ins.
func (c *Cell) Close() {
	for _, d := range c.runningDaemons() {
		d.Kill()
	}
	c.Standins.Close()
}
