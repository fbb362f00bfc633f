package bundle

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// ErrClaimRegionChanged reports a change of a published team's claim region. A retry of a non-idempotent request must look
// up its claim in the region where the first attempt stored it.
var ErrClaimRegionChanged = errors.New("claim region of a published team can't change")

// Action is the kind of change of a segment.
type Action string

// Actions of a Change.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Change is one difference between two bundles. It contains no key hashes.
type Change struct {
	Action  Action `json:"action"`
	Segment string `json:"segment"` // segment name, such as team/sales or keys/sales
	Detail  string `json:"detail,omitempty"`
}

// String formats the change for an operator.
func (c Change) String() string {
	return strings.TrimSpace(string(c.Action) + " " + c.Segment + " " + c.Detail)
}

// Diff returns the changed segments in name order, regardless of the order of teams, queues and keys. It leaves out retired
// teams, because they follow from the removed ones.
func Diff(before, after Bundle) []Change {
	oldSegments, newSegments := describeSegments(before), describeSegments(after)
	var changes []Change
	for name, current := range newSegments {
		old, ok := oldSegments[name]
		switch {
		case !ok:
			changes = append(changes, Change{Action: Added, Segment: name})
		case old.value != current.value:
			changes = append(changes, Change{Action: Changed, Segment: name, Detail: describeFields(old.fields, current.fields)})
		}
	}
	for name := range oldSegments {
		if _, ok := newSegments[name]; !ok {
			changes = append(changes, Change{Action: Removed, Segment: name})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Segment, b.Segment) })
	return changes
}

// CheckClaimRegions returns ErrClaimRegionChanged if a team that is present or retired in before has another claim region
// in after.
func CheckClaimRegions(before, after Bundle) error {
	regions := claimRegions(before)
	for i, t := range after.Teams {
		if region, ok := regions[t.ID]; ok && region != t.ClaimRegion {
			return fmt.Errorf("teams[%d].claim-region: %s to %s: %w", i, region, t.ClaimRegion, ErrClaimRegionChanged)
		}
	}
	return nil
}

// claimRegions returns the claim regions of the present and the retired teams.
func claimRegions(b Bundle) map[ident.TeamID]ident.Region {
	regions := make(map[ident.TeamID]ident.Region, len(b.Teams)+len(b.Retired))
	for _, r := range b.Retired {
		regions[r.ID] = r.ClaimRegion
	}
	for _, t := range b.Teams {
		regions[t.ID] = t.ClaimRegion
	}
	return regions
}

// MaxRetired bounds the retired teams; those removed longest ago are dropped. At the expected 27,000 changes per day this
// many removals take hours, and claims are kept for 10 minutes by default.
const MaxRetired = 4 * MaxTeams

// Retire returns the retired teams of the version in which after replaces before. The result depends only on the arguments,
// so that every daemon computes the same digest to sign.
func Retire(before, after Bundle, version ident.Version) []Retired {
	retired := slices.Clone(before.Retired)
	for _, t := range before.Teams {
		retired = append(retired, Retired{ID: t.ID, ClaimRegion: t.ClaimRegion, Since: version})
	}
	present := claimRegions(Bundle{Teams: after.Teams})
	retired = slices.DeleteFunc(retired, func(r Retired) bool { _, ok := present[r.ID]; return ok })
	slices.SortFunc(retired, func(a, b Retired) int { return cmp.Or(cmp.Compare(b.Since, a.Since), cmp.Compare(a.ID, b.ID)) })
	return retired[:min(len(retired), MaxRetired)]
}

// segmentDescription holds a segment's canonical encoding and its printable fields.
type segmentDescription struct {
	value  string
	fields map[string]string
}

// describeSegments returns the description of each segment without key hashes.
func describeSegments(b Bundle) map[string]segmentDescription {
	segments := make(map[string]segmentDescription)
	b.Retired = nil
	for name, value := range Split(b) {
		segments[name] = segmentDescription{value: string(value)}
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

// describeFields lists the changed fields as "name: old -> new".
func describeFields(oldFields, newFields map[string]string) string {
	names := make(map[string]bool)
	for name := range oldFields {
		names[name] = true
	}
	for name := range newFields {
		names[name] = true
	}
	var parts []string
	for name := range names {
		oldValue, inOld := oldFields[name]
		newValue, inNew := newFields[name]
		switch {
		case !inOld:
			parts = append(parts, name+" added")
		case !inNew:
			parts = append(parts, name+" removed")
		case oldValue != newValue:
			parts = append(parts, fmt.Sprintf("%s: %s -> %s", name, oldValue, newValue))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
