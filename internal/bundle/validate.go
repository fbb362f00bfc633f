package bundle

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Bounds of a bundle. They allow ten times the expected 110 teams and keep each segment far below the store's limit of
// 1 MB per value.
const (
	MaxTeams       = 1024
	MaxQueues      = 1024
	MaxKeysPerTeam = 1024
	MaxShare       = 1_000_000
	MaxLimit       = 10_000_000 // tasks; the peak expected in two years is 39,000
	MaxQueueLimit  = 10_000_000 // tasks
	MaxRetries     = 100
	// MaxDemandAmount bounds each amount of a demand. Multiplied by api.MaxTasks it stays below 2^53.
	MaxDemandAmount = 1 << 40
)

// isHash matches a SHA-256 in lower-case hexadecimal. isHash and isSimpleID use loops instead of regular expressions, so
// that a change of a configuration with 33,000 keys takes only a few milliseconds.
func isHash(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 2*sha256.Size
}

// isSimpleID is a fast check that accepts most valid ids; the regular expression of ident.Check decides on the others.
func isSimpleID(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c != '-' || i == 0) {
			return false
		}
	}
	return s != "" && len(s) <= ident.MaxLength
}

// Validate checks ids, references and bounds, and returns Problems with every error found.
func Validate(b Bundle) error {
	var problems Problems
	v := validator{problems: &problems, teams: map[ident.TeamID]int{}, hashes: map[string]bool{}}
	v.checkCount("teams", len(b.Teams), MaxTeams)
	v.checkCount("queues", len(b.Queues), MaxQueues)
	for i, t := range b.Teams {
		v.checkTeam(fmt.Sprintf("teams[%d]", i), i, t)
	}
	seen := map[ident.QueueID]int{}
	for i, q := range b.Queues {
		field := fmt.Sprintf("queues[%d]", i)
		v.checkID(field+".id", string(q.ID))
		if first, ok := seen[q.ID]; ok {
			problems.add(field+".id", "duplicate of queues[%d]", first)
		} else {
			seen[q.ID] = i
		}
		v.checkQueue(field, q)
	}
	return problems.err()
}

// validator collects problems, and the team ids and key hashes seen so far.
type validator struct {
	problems *Problems
	teams    map[ident.TeamID]int
	hashes   map[string]bool
}

func (v *validator) checkCount(field string, n, most int) {
	if n > most {
		v.problems.add(field, "%d entries, at most %d allowed", n, most)
	}
}

func (v *validator) checkRange(field string, n, least, most int64) {
	if n < least || n > most {
		v.problems.add(field, "%d is outside %d to %d", n, least, most)
	}
}

// checkID checks an id; its messages don't repeat the value.
func (v *validator) checkID(field, value string) {
	switch {
	case isSimpleID(value):
	case value == "":
		v.problems.add(field, "must not be empty")
	case len(value) > ident.MaxLength:
		v.problems.add(field, "%d bytes, at most %d allowed", len(value), ident.MaxLength)
	case ident.Check(field, value) != nil:
		v.problems.add(field, "must start with a letter or digit and contain only letters, digits and . _ : -")
	}
}

func (v *validator) checkTeam(field string, i int, t Team) {
	v.checkID(field+".id", string(t.ID))
	if first, ok := v.teams[t.ID]; ok {
		v.problems.add(field+".id", "duplicate of teams[%d]", first)
	} else {
		v.teams[t.ID] = i
	}
	v.checkRange(field+".share", int64(t.Share), 1, MaxShare)
	v.checkRange(field+".limit", int64(t.Limit), 0, MaxLimit)
	v.checkRange(field+".queue-limit", int64(t.QueueLimit), 0, MaxQueueLimit)
	v.checkID(field+".claim-region", string(t.ClaimRegion))
	v.checkCount(field+".keys", len(t.Keys), MaxKeysPerTeam)
	ids := make(map[string]bool, len(t.Keys))
	for j, k := range t.Keys {
		if isSimpleID(k.ID) && isHash(k.Hash) && !ids[k.ID] && !v.hashes[k.Hash] {
			ids[k.ID], v.hashes[k.Hash] = true, true
			continue // Building the path of a valid key, which is never printed, would take most of the time.
		}
		v.checkKey(fmt.Sprintf("%s.keys[%d]", field, j), k, ids)
	}
}

// checkKey checks one key. No message repeats a value, because a secret may have been pasted into the wrong field.
func (v *validator) checkKey(field string, k Key, ids map[string]bool) {
	v.checkID(field+".id", k.ID)
	if ids[k.ID] {
		v.problems.add(field+".id", "duplicate key id in this team")
	}
	ids[k.ID] = true
	switch {
	case !isHash(k.Hash):
		v.problems.add(field+".hash", "must be the SHA-256 of the secret as 64 hexadecimal digits in lower case")
	case v.hashes[k.Hash]:
		v.problems.add(field+".hash", "the same hash is given to another key")
	}
	v.hashes[k.Hash] = true
}

func (v *validator) checkQueue(field string, q Queue) {
	if !q.Kind.Valid() {
		v.problems.add(field+".kind", "must be one of %s, %s, %s, %s",
			api.KindRequest, api.KindService, api.KindBatch, api.KindAllAtOnce)
	}
	v.checkRange(field+".priority", int64(q.Priority), 0, api.MaxPriority)
	v.checkRange(field+".deadline-ms", int64(q.Deadline), 0, api.MaxDeadline.Milliseconds())
	v.checkRange(field+".retries", int64(q.Retries), 0, MaxRetries)
	v.checkRange(field+".max-tasks", int64(q.MaxTasks), 0, api.MaxTasks)
	v.checkDemand(field+".max-demand", q.MaxDemand)
	if q.Open && len(q.Teams) > 0 {
		v.problems.add(field+".teams", "an open queue takes work from every team, so it can't list teams")
	}
	v.checkCount(field+".teams", len(q.Teams), MaxTeams)
	for j, t := range q.Teams {
		name := fmt.Sprintf("%s.teams[%d]", field, j)
		if _, ok := v.teams[t]; !ok {
			v.problems.add(name, "unknown team")
		}
		if slices.Contains(q.Teams[:min(j, MaxTeams)], t) {
			v.problems.add(name, "listed twice")
		}
	}
}

func (v *validator) checkDemand(field string, d resource.Vector) {
	v.checkRange(field+".milli-cpu", int64(d.CPU), 0, MaxDemandAmount)
	v.checkRange(field+".memory-mb", int64(d.Memory), 0, MaxDemandAmount)
	v.checkRange(field+".gpus", int64(d.GPUs), 0, math.MaxInt32)
	v.checkRange(field+".slots", int64(d.Slots), 0, math.MaxInt32)
	v.checkRange(field+".connections", int64(d.Connections), 0, math.MaxInt32)
}
