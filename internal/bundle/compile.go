package bundle

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"slices"
	"strings"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Errors of Authorize. None of them contains the secret.
var (
	// ErrKeyRefused reports a secret that isn't one of the team's keys.
	ErrKeyRefused = errors.New("key refused")
	// ErrUnknownTeam reports a team that isn't in the configuration.
	ErrUnknownTeam = errors.New("unknown team")
	// ErrUnknownQueue reports a queue that isn't in the configuration.
	ErrUnknownQueue = errors.New("unknown queue")
	// ErrTeamNotAllowed reports a queue that doesn't accept work of the team.
	ErrTeamNotAllowed = errors.New("team may not use this queue")
)

// MaxSecretBytes bounds the length of a secret that is hashed and compared.
const MaxSecretBytes = 256

// Compiled is a bundle indexed for lookups; it is immutable and safe for concurrent use.
type Compiled struct {
	version      ident.Version
	teams        map[ident.TeamID]*compiledTeam
	queues       map[ident.QueueID]*compiledQueue
	sortedTeams  []Team
	sortedQueues []Queue
	claimRegions map[ident.TeamID]ident.Region
}

type compiledTeam struct {
	team   Team
	hashes [][sha256.Size]byte
}

type compiledQueue struct {
	queue   Queue
	allowed map[ident.TeamID]bool // nil when every team may use the queue
}

// Compile indexes a validated bundle for lookups. Version 0 is the empty configuration of a daemon that hasn't loaded any.
func Compile(b Bundle, version ident.Version) *Compiled {
	c := &Compiled{
		version:      version,
		teams:        make(map[ident.TeamID]*compiledTeam, len(b.Teams)),
		queues:       make(map[ident.QueueID]*compiledQueue, len(b.Queues)),
		sortedTeams:  slices.Clone(b.Teams),
		sortedQueues: slices.Clone(b.Queues),
		claimRegions: claimRegions(b),
	}
	slices.SortFunc(c.sortedTeams, func(a, b Team) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(c.sortedQueues, func(a, b Queue) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for i, t := range c.sortedTeams {
		entry := &compiledTeam{}
		for _, k := range t.Keys {
			var hash [sha256.Size]byte
			// A shorter hash would be compared with trailing zero bytes, so a hash of another length is left out.
			if n, err := hex.Decode(hash[:], []byte(k.Hash[:min(len(k.Hash), 2*sha256.Size)])); err == nil && n == sha256.Size {
				entry.hashes = append(entry.hashes, hash)
			}
		}
		c.sortedTeams[i].Keys = nil // Only the lookup table holds key hashes, so that no dump of a team shows them.
		entry.team = c.sortedTeams[i]
		c.teams[t.ID] = entry
	}
	for _, q := range c.sortedQueues {
		entry := &compiledQueue{queue: q}
		if len(q.Teams) > 0 {
			entry.allowed = make(map[ident.TeamID]bool, len(q.Teams))
			for _, t := range q.Teams {
				entry.allowed[t] = true
			}
		}
		c.queues[q.ID] = entry
	}
	return c
}

// Version returns the version of the configuration, or 0 if none has been loaded yet.
func (c *Compiled) Version() ident.Version { return c.version }

// Team returns the team without its keys.
func (c *Compiled) Team(id ident.TeamID) (Team, bool) {
	if t, ok := c.teams[id]; ok {
		return t.team, true
	}
	return Team{}, false
}

// ClaimRegion returns the claim region of a team, present or retired.
func (c *Compiled) ClaimRegion(id ident.TeamID) (ident.Region, bool) {
	region, ok := c.claimRegions[id]
	return region, ok
}

// Queue returns the queue.
func (c *Compiled) Queue(id ident.QueueID) (Queue, bool) {
	if q, ok := c.queues[id]; ok {
		return q.queue, true
	}
	return Queue{}, false
}

// Teams returns the teams without their keys, sorted by id; the caller must not change them.
func (c *Compiled) Teams() []Team { return c.sortedTeams }

// Queues returns the queues sorted by id; the caller must not change them.
func (c *Compiled) Queues() []Queue { return c.sortedQueues }

// Share returns the team's weight, or 0 for an unknown team.
func (c *Compiled) Share(id ident.TeamID) int {
	if t, ok := c.teams[id]; ok {
		return t.team.Share
	}
	return 0
}

// Limit returns the maximum of the team's running tasks, or 0 for an unknown team.
func (c *Compiled) Limit(id ident.TeamID) int {
	if t, ok := c.teams[id]; ok {
		return t.team.Limit
	}
	return 0
}

// Authorize checks that the team may submit to the queue with the secret. An open queue accepts work without a key. On other
// queues the key is checked before the queue's list of allowed teams, so that a caller without a key learns nothing about
// the list.
func (c *Compiled) Authorize(team ident.TeamID, queue ident.QueueID, secret string) error {
	t, ok := c.teams[team]
	if !ok {
		return ErrUnknownTeam
	}
	q, ok := c.queues[queue]
	if !ok {
		return ErrUnknownQueue
	}
	if q.queue.Open {
		return nil
	}
	if !t.hasSecret(secret) {
		return ErrKeyRefused
	}
	if q.allowed != nil && !q.allowed[team] {
		return ErrTeamNotAllowed
	}
	return nil
}

// hasSecret compares the secret's hash with the hash of every key of the team, so that its duration depends only on the
// number of keys.
func (t *compiledTeam) hasSecret(secret string) bool {
	if secret == "" || len(secret) > MaxSecretBytes {
		return false
	}
	hash := sha256.Sum256([]byte(secret))
	found := 0
	for i := range t.hashes {
		found |= subtle.ConstantTimeCompare(hash[:], t.hashes[i][:])
	}
	return found == 1
}
