// Package demo runs a small cell in one process: stand-ins of the platform and of backend servers, three daemons, and
// all kinds of work, with a daemon stopped on the way.
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
	// Token is the operator credential of the demo's daemons.
	Token = "demo-operator-token"
	// readyTimeout bounds the start of the cell.
	readyTimeout = 20 * time.Second
	readyPause   = 20 * time.Millisecond
)

// Site is where a daemon of the cell runs.
type Site struct {
	Member     ident.MemberID
	Region     ident.Region
	DataCentre ident.DataCentre
}

// Cell is a set of daemons on a cell of stand-ins.
type Cell struct {
	Standins *cell.Cell

	mu       sync.Mutex
	daemons  map[ident.MemberID]*daemon.Daemon
	sites    []Site
	operator ed25519.PrivateKey
	adjust   func(*settings.Serve)
	dial     func(Site) daemon.DialFunc
	log      logr.Logger
	version  ident.Version
}

// Config describes a Cell.
type Config struct {
	Standins cell.Config
	Sites    []Site
	Bundle   bundle.Bundle
	Adjust   func(*settings.Serve)      // changes the settings of each daemon; nil leaves the short demo times
	Dial     func(Site) daemon.DialFunc // how a daemon reaches its peers; nil means plain TCP
	Log      logr.Logger
}

// Start starts the stand-ins, publishes the bundle and starts the daemons.
func Start(ctx context.Context, c Config) (*Cell, error) {
	standins, err := cell.Start(c.Standins)
	if err != nil {
		return nil, fmt.Errorf("start stand-ins: %w", err)
	}
	_, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, fmt.Errorf("create operator key: %w", err)
	}
	s := &Cell{
		Standins: standins, daemons: map[ident.MemberID]*daemon.Daemon{}, sites: c.Sites, operator: key,
		adjust: c.Adjust, dial: c.Dial, log: c.Log,
	}
	if s.dial == nil {
		s.dial = func(Site) daemon.DialFunc { return nil }
	}
	for _, site := range c.Sites {
		if err := s.Add(ctx, site); err != nil {
			s.Close()
			return nil, err
		}
	}
	if err := s.Publish(ctx, c.Bundle); err != nil {
		s.Close()
		return nil, err
	}
	return s, s.Ready(ctx)
}

// Add starts a daemon at a site.
func (s *Cell) Add(ctx context.Context, site Site) error {
	config, err := s.settings(site)
	if err != nil {
		return err
	}
	d, err := daemon.NewWithDialer(config, s.log, s.dial(site))
	if err != nil {
		return fmt.Errorf("create daemon %s: %w", site.Member, err)
	}
	if err := d.Start(ctx); err != nil {
		return fmt.Errorf("start daemon %s: %w", site.Member, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons[site.Member] = d
	return nil
}

func (s *Cell) settings(site Site) (settings.Serve, error) {
	var c settings.Serve
	c.Flags(pflag.NewFlagSet("demo", pflag.ContinueOnError))
	public, _ := s.operator.Public().(ed25519.PublicKey)
	c.Member, c.Region, c.DataCentre = site.Member, site.Region, site.DataCentre
	c.StoreURL, c.OperatorToken = s.Standins.StoreURL(), Token
	c.StoreRegion = s.sites[0].Region
	c.Signers = []string{base64.StdEncoding.EncodeToString(public)}
	c.CallerListen, c.OperatorListen = "127.0.0.1:0", "127.0.0.1:0"
	address, err := cell.FreeAddress()
	if err != nil {
		return c, err
	}
	c.PeerListen = address
	c.LeaseTTL, c.MemberInterval, c.ProbeTimeout = 1500*time.Millisecond, 150*time.Millisecond, 200*time.Millisecond
	c.MinRenewal, c.ClockDrift, c.HostsInterval = 1500*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond
	c.Freshness, c.ReadInterval, c.LimitInterval = 2*time.Second, 200*time.Millisecond, 50*time.Millisecond
	if s.adjust != nil {
		s.adjust(&c)
	}
	return c, nil
}

// Publish signs a bundle and publishes it through any daemon.
func (s *Cell) Publish(ctx context.Context, b bundle.Bundle) error {
	for _, d := range s.all() {
		receipt, err := d.PublishSigned(ctx, b, s.version, s.operator)
		if err != nil {
			return fmt.Errorf("publish bundle: %w", err)
		}
		if receipt.Outcome == rollout.Refused {
			return fmt.Errorf("bundle version %d was refused", receipt.Version)
		}
		s.version = receipt.Version
		return nil
	}
	return fmt.Errorf("no daemon to publish through")
}

// Ready waits until every daemon takes callers and owns its backend servers.
func (s *Cell) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready, owned := 0, 0
		for _, d := range s.all() {
			if d.Ready() && d.AllServersAttached() {
				ready++
			}
			owned += d.OwnedServers()
		}
		if ready == len(s.all()) && owned == len(s.Standins.Hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d daemons ready, %d of %d backend servers owned: %w",
				ready, len(s.all()), owned, len(s.Standins.Hosts), ctx.Err())
		case <-time.After(readyPause):
		}
	}
}

// Daemon returns a running daemon, or nil.
func (s *Cell) Daemon(id ident.MemberID) *daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[id]
}

func (s *Cell) all() map[ident.MemberID]*daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.daemons)
}

func (s *Cell) take(id ident.MemberID) *daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.daemons[id]
	delete(s.daemons, id)
	return d
}

// Client returns a client of one daemon.
func (s *Cell) Client(id ident.MemberID, key string) *client.Client {
	return client.New("http://"+s.Daemon(id).CallerAddress(), key, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
}

// Stop shuts one daemon down gracefully.
func (s *Cell) Stop(ctx context.Context, id ident.MemberID) error {
	d := s.take(id)
	if err := d.Stop(ctx); err != nil {
		return fmt.Errorf("stop daemon %s: %w", id, err)
	}
	return nil
}

// Kill ends one daemon like the death of its process.
func (s *Cell) Kill(id ident.MemberID) {
	d := s.take(id)
	d.Kill()
}

// Close ends the daemons and the stand-ins.
func (s *Cell) Close() {
	for _, d := range s.all() {
		d.Kill()
	}
	s.Standins.Close()
}
