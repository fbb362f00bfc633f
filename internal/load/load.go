// Package load generates load on a cell over loopback. It replays one schedule of arrivals under the scheduling policy and
// under a plain baseline, and measures queueing time, bin packing, fair shares and control overhead.
package load

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/pflag"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Limits of a run.
const (
	// MaxDuration limits the arrivals of one policy, so that both policies with their drain times take at most 60 s.
	MaxDuration = 16 * time.Second
	// MaxScale limits the arrival rates to a few hundred requests per second.
	MaxScale = 2.0
	// drainTime is the time for requests and jobs to finish after arrivals end. It exceeds the longest request deadline.
	drainTime = 10500 * time.Millisecond
)

// ErrViolation reports that the stand-ins recorded a violated invariant.
var ErrViolation = errors.New("stand-ins recorded invariant violations")

// Config selects the deployment, length, rate and seed of a run.
type Config struct {
	Deployment string
	BundleDir  string // directory with one NAME.yaml per deployment
	Duration   time.Duration
	Scale      float64 // factor applied to all arrival rates
	Seed       uint64
	Log        logr.Logger
}

// Report holds the measurements of a run for each policy.
type Report struct {
	Deployment string         `json:"deployment"`
	Transport  string         `json:"transport"`
	Servers    int            `json:"backend-servers"`
	Daemons    int            `json:"daemons"`
	Seed       uint64         `json:"seed"`
	Duration   string         `json:"duration"`
	Scale      float64        `json:"scale"`
	Arrivals   int            `json:"arrivals"`
	Policies   []PolicyResult `json:"policies"`
	Elapsed    time.Duration  `json:"elapsed-ns"`
}

// transport is part of every report, because the figures hold for this setup only.
const transport = "all daemons, stand-ins and the driver in one process; all traffic over loopback TCP/HTTP, no network delay"

// Run replays the same arrivals against the deployment under the policy and then under the baseline. It returns the
// report together with ErrViolation when an invariant was violated.
func Run(ctx context.Context, c Config) (Report, error) {
	d, ok := Deployments()[c.Deployment]
	if !ok {
		return Report{}, fmt.Errorf("unknown deployment %q: must be bensalem or sample-exchange", c.Deployment)
	}
	if c.Duration <= 0 || c.Duration > MaxDuration {
		return Report{}, fmt.Errorf("duration %s is out of range: must be positive and at most %s", c.Duration, MaxDuration)
	}
	if math.IsNaN(c.Scale) || c.Scale <= 0 || c.Scale > MaxScale {
		return Report{}, fmt.Errorf("scale %g is out of range: must be positive and at most %g", c.Scale, MaxScale)
	}
	path := filepath.Join(c.BundleDir, c.Deployment+".yaml")
	data, err := os.ReadFile(path)
	if err != nil {
		return Report{}, fmt.Errorf("read bundle: %w", err)
	}
	b, err := bundle.Parse(path, data)
	if err != nil {
		return Report{}, fmt.Errorf("parse bundle: %w", err)
	}
	startTime := time.Now()
	arrivals := d.Schedule(c.Seed, c.Duration, c.Scale)
	r := Report{
		Deployment: c.Deployment, Transport: transport, Servers: smallServerCount + largeServerCount, Daemons: len(d.sites),
		Seed: c.Seed, Duration: c.Duration.String(), Scale: c.Scale, Arrivals: len(arrivals),
	}
	for _, baseline := range []bool{false, true} {
		p, err := runPolicy(ctx, c, d, b, arrivals, baseline)
		if err != nil {
			return r, fmt.Errorf("run %s: %w", policyName(baseline), err)
		}
		r.Policies = append(r.Policies, p)
	}
	r.Elapsed = time.Since(startTime)
	return r, r.Err()
}

// Err returns ErrViolation when an invariant was violated under any policy.
func (r Report) Err() error {
	for _, p := range r.Policies {
		if len(p.Violations) > 0 {
			return fmt.Errorf("%w: %d under %s, first: %s", ErrViolation, len(p.Violations), p.Policy, p.Violations[0])
		}
	}
	return nil
}

func policyName(baseline bool) string {
	if baseline {
		return "baseline"
	}
	return "policy"
}

// startCell starts the stand-ins and the daemons with the daemon's default intervals. It returns the secret of the API
// key that it grants to each team.
func startCell(
	ctx context.Context, c Config, d Deployment, b bundle.Bundle, baseline bool,
) (*demo.Cell, map[ident.TeamID]string, error) {
	secrets := map[ident.TeamID]string{}
	for _, t := range b.Teams {
		var err error
		if b, secrets[t.ID], err = bundle.GrantKey(b, t.ID, "load"); err != nil {
			return nil, nil, fmt.Errorf("grant key to %s: %w", t.ID, err)
		}
	}
	demoCell, err := demo.Start(ctx, demo.Config{
		Standins: cell.Config{Groups: d.groups, Seed: c.Seed}, Sites: d.sites, Bundle: b, Log: c.Log,
		AdjustSettings: func(s *settings.Serve) { useDefaultTimings(s, baseline) },
	})
	if err != nil {
		return nil, nil, fmt.Errorf("start cell: %w", err)
	}
	return demoCell, secrets, nil
}

// useDefaultTimings replaces the short intervals of the demo by the daemon's defaults, because the control overhead
// depends on them.
func useDefaultTimings(s *settings.Serve, baseline bool) {
	var d settings.Serve
	d.Flags(pflag.NewFlagSet("load", pflag.ContinueOnError))
	s.LeaseTTL, s.MemberInterval, s.ProbeTimeout = d.LeaseTTL, d.MemberInterval, d.ProbeTimeout
	s.MinRenewal, s.MaxRenewal, s.ClockDrift, s.HostsInterval = d.MinRenewal, d.MaxRenewal, d.ClockDrift, d.HostsInterval
	s.Freshness, s.ReadInterval, s.LimitInterval = d.Freshness, d.ReadInterval, d.LimitInterval
	s.Baseline = baseline
}
