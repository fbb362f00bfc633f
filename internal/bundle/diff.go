package bundle

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrClaimRegion reports a change of a published team's claim region. A retry of a non-idempotent
// request must look for its claim in the region where the first attempt put it.
var ErrClaimRegion = errors.New("claim region of a published team can't change")

// Action says how a segment changed.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Change is one difference between two bundles. It carries no key hashes.
type Change struct {
	Action  Action `json:"action"`
	Segment string `json:"segment"` // segment name, such as team/sales or keys/sales
	Detail  string `json:"detail,omitempty"`
}

// String formats the change for an operator.
func (c Change) String() string {
	return strings.TrimSpace(string(c.Action) + " " + c.Segment + " " + c.Detail)
}

// Diff returns the changed segments in name order; the order of teams, queues and keys doesn't matter.
func Diff(before, after Bundle) []Change {
	was, is := describe(before), describe(after)
	var changes []Change
	for name, now := range is {
		old, ok := was[name]
		switch {
		case !ok:
			changes = append(changes, Change{Action: Added, Segment: name})
		case old.value != now.value:
			changes = append(changes, Change{Action: Changed, Segment: name, Detail: detail(old.fields, now.fields)})
		}
	}
	for name := range was {
		if _, ok := is[name]; !ok {
			changes = append(changes, Change{Action: Removed, Segment: name})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Segment, b.Segment) })
	return changes
}

// CheckSuccessor returns ErrClaimRegion when a team of before has another claim region in after.
func CheckSuccessor(before, after Bundle) error {
	for i, t := range after.Teams {
		if at := teamAt(before, t.ID); at >= 0 && before.Teams[at].ClaimRegion != t.ClaimRegion {
			return fmt.Errorf("teams[%d].claim-region: %s to %s: %w", i, before.Teams[at].ClaimRegion, t.ClaimRegion, ErrClaimRegion)
		}
	}
	return nil
}

// described is a segment's canonical value and its printable fields.
type described struct {
	value  string
	fields map[string]string
}

func describe(b Bundle) map[string]described {
	segments := make(map[string]described)
	for name, value := range Split(b) {
		segments[name] = described{value: string(value)}
	}
	set := func(name string, fields map[string]string) {
		if d, ok := segments[name]; ok {
			d.fields = fields
			segments[name] = d
		}
	}
	for _, t := range b.Teams {
		set(teamPrefix+string(t.ID), map[string]string{
			"share": fmt.Sprint(t.Share), "limit": fmt.Sprint(t.Limit),
			"claim-region": string(t.ClaimRegion), "queue-limit": fmt.Sprint(t.QueueLimit),
		})
		keys := make(map[string]string, len(t.Keys))
		for _, k := range t.Keys {
			keys["key "+k.ID] = "present"
		}
		set(keysPrefix+string(t.ID), keys)
	}
	for _, q := range b.Queues {
		set(queuePrefix+string(q.ID), map[string]string{
			"kind": string(q.Kind), "open": fmt.Sprint(q.Open), "urgent": fmt.Sprint(q.Urgent),
			"priority": fmt.Sprint(q.Priority), "teams": fmt.Sprint(q.Teams), "deadline-ms": fmt.Sprint(q.Deadline),
			"retries": fmt.Sprint(q.Retries), "max-demand": q.MaxDemand.String(), "max-tasks": fmt.Sprint(q.MaxTasks),
		})
	}
	return segments
}

// detail lists the fields that differ as "name: old -> new".
func detail(was, is map[string]string) string {
	names := make(map[string]bool)
	for name := range was {
		names[name] = true
	}
	for name := range is {
		names[name] = true
	}
	var parts []string
	for name := range names {
		old, before := was[name]
		now, after := is[name]
		switch {
		case !before:
			parts = append(parts, name+" added")
		case !after:
			parts = append(parts, name+" removed")
		case old != now:
			parts = append(parts, fmt.Sprintf("%s: %s -> %s", name, old, now))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
