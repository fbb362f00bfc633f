// Package bundle defines the operators' configuration of teams, keys, shares, limits and queues: how a file of it is parsed
// and validated, how it is split into signed segments, and how requests are authorized against it.
package bundle

import (
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Bundle is a complete configuration as operators write it.
type Bundle struct {
	Teams  []Team  `json:"teams" yaml:"teams"`
	Queues []Queue `json:"queues" yaml:"queues"`
	// Retired is computed by Retire; operators don't write it.
	Retired []Retired `json:"-" yaml:"-"`
}

// Retired records the claim region of a removed team. Requests may still look up its claims, and the region must be the
// same when the team is added again.
type Retired struct {
	ID          ident.TeamID  `json:"id"`
	ClaimRegion ident.Region  `json:"claim-region"`
	Since       ident.Version `json:"since"` // first version without the team
}

// Team configures the share, the limit and the keys of a team.
type Team struct {
	ID          ident.TeamID `json:"id" yaml:"id"`
	Share       int          `json:"share" yaml:"share"`               // weight in the division of a full fleet, at least 1
	Limit       int          `json:"limit" yaml:"limit"`               // maximum of running tasks across the fleet
	ClaimRegion ident.Region `json:"claim-region" yaml:"claim-region"` // region whose members store its claims; never changes
	QueueLimit  int          `json:"queue-limit" yaml:"queue-limit"`   // maximum of queued tasks per daemon; 0 means the default
	Keys        []Key        `json:"keys,omitempty" yaml:"keys,omitempty"`
}

// Key is an API key of a team; only the hash of its secret is stored.
type Key struct {
	ID   string `json:"id" yaml:"id"`
	Hash string `json:"hash" yaml:"hash"` // hexadecimal SHA-256 of the key's secret
}

// Queue configures which work a queue accepts and how that work is scheduled.
type Queue struct {
	ID        ident.QueueID   `json:"id" yaml:"id"`
	Kind      api.Kind        `json:"kind" yaml:"kind"`
	Open      bool            `json:"open" yaml:"open"`     // accepts work of every team without a key
	Urgent    bool            `json:"urgent" yaml:"urgent"` // may preempt work of lower priority
	Priority  int             `json:"priority" yaml:"priority"`
	Teams     []ident.TeamID  `json:"teams,omitempty" yaml:"teams,omitempty"` // teams that may use it; empty means all
	Deadline  api.Millis      `json:"deadline-ms" yaml:"deadline-ms"`         // default deadline of a caller's request
	Retries   int             `json:"retries" yaml:"retries"`                 // attempts per task after the first
	MaxDemand resource.Vector `json:"max-demand" yaml:"max-demand"`           // zero means no bound
	MaxTasks  int             `json:"max-tasks" yaml:"max-tasks"`             // maximum of tasks per job; 0 means the API's bound
}
