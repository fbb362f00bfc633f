// Package load drives a cell on loopback with a fixed schedule of work and measures waiting time, packing, shares and
// control cost, under the policy and under a plain baseline.
package load

import (
	"context"
	"errors"
	"fmt"
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

// Bounds of a run.
const (
	// MaxDuration bounds the load of one policy, so that both policies with their ends take at most 60 s.
	MaxDuration = 16 * time.Second
	// MaxScale bounds the rates to a few hundred requests per second.
	MaxScale = 2.0
	// drainTime is the wait for requests and jobs after the last arrival, above the longest deadline of a request.
	drainTime = 10500 * time.Millisecond
)

// ErrViolation reports that a stand-in recorded a broken invariant.
var ErrViolation = errors.New("the stand-ins recorded violations")

// Config describes a run.
type Config struct {
	Deployment string
	BundleDir  string // directory of the example bundles
	Duration   time.Duration
	Scale      float64 // factor of all rates
	Seed       uint64
	Log        logr.Logger
}

// Report is the result of a run.
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

// transport labels every report, because the figures hold for this arrangement only.
const transport = "all daemons, stand-ins and the driver in one process; all traffic over loopback TCP/HTTP, no network delay"

// Run drives the deployment twice, with the policy and with the baseline, and compares them.
func Run(ctx context.Context, c Config) (Report, error) {
	d, ok := Deployments()[c.Deployment]
	if !ok {
		return Report{}, fmt.Errorf("unknown deployment %q: bensalem and sample-exchange are known", c.Deployment)
	}
	if c.Duration <= 0 || c.Duration > MaxDuration {
		return Report{}, fmt.Errorf("duration %s is not allowed: above 0 and at most %s", c.Duration, MaxDuration)
	}
	if c.Scale <= 0 || c.Scale > MaxScale {
		return Report{}, fmt.Errorf("scale %g is not allowed: above 0 and at most %g", c.Scale, MaxScale)
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

// Err returns ErrViolation when any policy broke an invariant.
func (r Report) Err() error {
	for _, p := range r.Policies {
		if len(p.Violations) > 0 {
			return fmt.Errorf("%w: %d under %s, the first is %s", ErrViolation, len(p.Violations), p.Policy, p.Violations[0])
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

// startCell starts the stand-ins and the daemons with the daemon's default times, and grants each team a key.
func startCell(ctx context.Context, c Config, d Deployment, b bundle.Bundle, baseline bool) (*demo.Cell, map[ident.TeamID]string, error) {
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

// useDefaultTimings replaces the short times of the demo by the daemon's defaults, which the control cost depends on.
func useDefaultTimings(s *settings.Serve, baseline bool) {
	var d settings.Serve
	d.Flags(pflag.NewFlagSet("load", pflag.ContinueOnError))
	s.LeaseTTL, s.MemberInterval, s.ProbeTimeout = d.LeaseTTL, d.MemberInterval, d.ProbeTimeout
	s.MinRenewal, s.MaxRenewal, s.ClockDrift, s.HostsInterval = d.MinRenewal, d.MaxRenewal, d.ClockDrift, d.HostsInterval
	s.Freshness, s.ReadInterval, s.LimitInterval = d.Freshness, d.ReadInterval, d.LimitInterval
	s.Baseline = baseline
}
