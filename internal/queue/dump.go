package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TeamDump is the state of one team's queue.
type TeamDump struct {
	Team   ident.TeamID `json:"team"`
	Items  int          `json:"items"`
	Urgent int          `json:"urgent"`
	Oldest float64      `json:"oldest-s"`       // wait of the oldest item at the head of a priority, in seconds
	Rate   float64      `json:"starts-per-s"`   // learned while work waited; 0 when unknown
	Usage  float64      `json:"dominant-share"` // of the fleet
	Charge float64      `json:"charge"`         // dominant share of items taken and not in the usage yet
	Share  float64      `json:"share"`
}

// Dump is the state of the queue.
type Dump struct {
	Items int        `json:"items"`
	Held  string     `json:"held-for,omitempty"` // key of the item for which other work is held back
	Teams []TeamDump `json:"teams"`              // with items, sorted by team
}

// Dump returns the state for the state dump.
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
	q.nextMu.Lock()
	defer q.nextMu.Unlock()
	if now.Before(q.hold.until) {
		d.Held = q.hold.key
	}
	return d
}

func (q *Queue[T]) dumpTeam(t *team[T], now time.Time) TeamDump {
	d := TeamDump{Team: t.id, Items: t.length, Usage: t.charge.usage, Charge: t.charge.amount, Share: q.share(t.id)}
	for _, b := range t.bands {
		if b.urgent {
			d.Urgent += b.length
		}
		d.Oldest = max(d.Oldest, now.Sub(b.first.Enqueued).Seconds())
	}
	if wait := t.rate.wait(1, now); wait > 0 {
		d.Rate = 1 / wait
	}
	return d
}
