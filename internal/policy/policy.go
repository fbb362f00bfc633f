// Package policy watches the configuration that operators keep in the store: routes, teams, keys and limits. It tracks when
// the store last confirmed that the configuration is current.
package policy

import (
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Route maps requests for a host and path prefix to a queue.
type Route struct {
	Queue  sched.Queue
	Host   string
	Prefix string
	Public bool // requests need no key
}

// Policy is one version of the configuration. It is immutable.
type Policy struct {
	Version      ident.Version
	Routes       []Route
	Keys         map[string]ident.TeamID // team of each key
	Teams        map[ident.TeamID]sched.Team
	MaxBodyBytes int64 // maximum size of a request body; 0 if the configuration sets no limit
}

// Match returns the route of the host with the longest matching path prefix, and the path after that prefix.
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

// SchedulingConfig returns the part of the configuration that the scheduler uses.
func (p *Policy) SchedulingConfig() sched.Config {
	c := sched.Config{Queues: make(map[ident.QueueID]sched.Queue, len(p.Routes)), Teams: p.Teams}
	for _, r := range p.Routes {
		c.Queues[r.Queue.ID] = r.Queue
	}
	return c
}

// Snapshot is the current policy with the time of its last confirmation.
type Snapshot struct {
	Policy      *Policy   // nil before the first read
	ConfirmedAt time.Time // when the latest store call that confirmed the policy was sent; earlier by suspensions since then
}

// Fresh reports whether the policy was confirmed within the given time.
func (s Snapshot) Fresh(now time.Time, maxAge time.Duration) bool {
	return s.Policy != nil && now.Sub(s.ConfirmedAt) <= maxAge
}
