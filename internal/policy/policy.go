// Package policy holds the configuration that the operators wrote: routes, teams, keys and limits, with the time of its
// last confirmation by the store.
package policy

import (
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Route leads requests of a host and path prefix to a queue.
type Route struct {
	Queue  sched.Queue
	Host   string
	Prefix string
	Public bool // needs no key
}

// Policy is one version of the configuration. It is not changed after its creation.
type Policy struct {
	Version      ident.Version
	Routes       []Route
	Keys         map[string]ident.TeamID // team of each key
	Teams        map[ident.TeamID]sched.Team
	MaxBodyBytes int64 // most bytes of a request body; 0 means no limit of its own
}

// Match returns the route with the longest prefix of the path and the rest of the path.
func (p *Policy) Match(host, path string) (Route, string, bool) {
	best := -1
	for i := range p.Routes {
		r := &p.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(p.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, "", false
	}
	return p.Routes[best], path[len(p.Routes[best].Prefix):], true
}

// SchedulingConfig returns the part that the scheduler uses.
func (p *Policy) SchedulingConfig() sched.Config {
	c := sched.Config{Queues: make(map[ident.QueueID]sched.Queue, len(p.Routes)), Teams: p.Teams}
	for _, r := range p.Routes {
		c.Queues[r.Queue.ID] = r.Queue
	}
	return c
}

// Snapshot is a policy with the time of its last confirmation.
type Snapshot struct {
	Policy      *Policy // nil before the first read
	ConfirmedAt time.Time
}

// Fresh reports whether the policy was confirmed within a bound.
func (s Snapshot) Fresh(now time.Time, maxAge time.Duration) bool {
	return s.Policy != nil && now.Sub(s.ConfirmedAt) <= maxAge
}
