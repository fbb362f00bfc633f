// Package bundle holds the operators' configuration: teams, keys, shares, limits and queues.
package bundle

import (
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Bundle is a whole configuration as operators write it.
type Bundle struct {
	Teams  []Team  `json:"teams" yaml:"teams"`
	Queues []Queue `json:"queues" yaml:"queues"`
	// Retired is kept by Retire and isn't written by operators.
	Retired []Retired `json:"-" yaml:"-"`
}

// Retired is a removed team. Its claims may still be asked for when the team is added again.
type Retired struct {
	ID          ident.TeamID  `json:"id"`
	ClaimRegion ident.Region  `json:"claim-region"`
	Since       ident.Version `json:"since"` // first version without the team
}

// Team is a team with its share, limit and keys.
type Team struct {
	ID          ident.TeamID `json:"id" yaml:"id"`
	Share       int          `json:"share" yaml:"share"`               // weight when the fleet is full, at least 1
	Limit       int          `json:"limit" yaml:"limit"`               // most tasks running across the fleet
	ClaimRegion ident.Region `json:"claim-region" yaml:"claim-region"` // region whose members hold its claims; never changes
	QueueLimit  int          `json:"queue-limit" yaml:"queue-limit"`   // most queued tasks per daemon; 0 means the default
	Keys        []Key        `json:"keys,omitempty" yaml:"keys,omitempty"`
}

// Key is a granted key; only its hash is kept.
type Key struct {
	ID   string `json:"id" yaml:"id"`
	Hash string `json:"hash" yaml:"hash"` // hexadecimal SHA-256 of the key's secret
}

// Queue is a queue with its policy.
type Queue struct {
	ID        ident.QueueID   `json:"id" yaml:"id"`
	Kind      api.Kind        `json:"kind" yaml:"kind"`
	Open      bool            `json:"open" yaml:"open"`     // takes work from every team without a key
	Urgent    bool            `json:"urgent" yaml:"urgent"` // may preempt lower work
	Priority  int             `json:"priority" yaml:"priority"`
	Teams     []ident.TeamID  `json:"teams,omitempty" yaml:"teams,omitempty"` // teams that may use it; empty means all
	Deadline  api.Millis      `json:"deadline-ms" yaml:"deadline-ms"`         // default wait of a caller
	Retries   int             `json:"retries" yaml:"retries"`                 // further attempts per task
	MaxDemand resource.Vector `json:"max-demand" yaml:"max-demand"`           // zero means no bound
	MaxTasks  int             `json:"max-tasks" yaml:"max-tasks"`             // most tasks per job; 0 means the API's bound
}
