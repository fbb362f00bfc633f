package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TeamDump is the state of one team's queue.
type TeamDump struct {
	Team            ident.TeamID `json:"team"`
	Items           int          `json:"items"`
	Urgent          int          `json:"urgent"`
	OldestSeconds   float64      `json:"oldest-s"`       // wait of the oldest item at the head of a priority list
	StartsPerSecond float64      `json:"starts-per-s"`   // measured while work waited; 0 when unknown
	DominantShare   float64      `json:"dominant-share"` // of the fleet
	PendingShare    float64      `json:"charge"`         // dominant share of taken items that DominantShare does not include yet
	Weight          float64      `json:"share"`
}

// Dump is the queue's state in the state dump.
type Dump struct {
	Items   int        `json:"items"`
	HeldFor string     `json:"held-for,omitempty"` // key of the item for which other work is held back
	Teams   []TeamDump `json:"teams"`              // with items, sorted by team
}

// Dump returns the queue's state for the state dump.
func (q *Queue[T]) Dump() Dump {
	now := q.config.Now()
	d := Dump{Items: q.Len()}
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, t := range s.active {
			d.Teams = append(d.Teams, q.dumpTeam(t, now))
		}
		s.mu.Unlock()
	}
	slices.SortFunc(d.Teams, func(a, b TeamDump) int { return cmp.Compare(a.Team, b.Team) })
	q.offerMu.Lock()
	defer q.offerMu.Unlock()
	if now.Before(q.hold.until) {
		d.HeldFor = q.hold.key
	}
	return d
}

func (q *Queue[T]) dumpTeam(t *team[T], now time.Time) TeamDump {
	d := TeamDump{
		Team: t.id, Items: t.length, DominantShare: t.pending.reported, PendingShare: t.pending.amount, Weight: q.weight(t.id),
	}
	for _, b := range t.lists {
		if b.urgent {
			d.Urgent += b.length
		}
		d.OldestSeconds = max(d.OldestSeconds, now.Sub(b.first.Enqueued).Seconds())
	}
	if wait := t.rate.secondsFor(1, now); wait > 0 {
		d.StartsPerSecond = 1 / wait
	}
	return d
}
