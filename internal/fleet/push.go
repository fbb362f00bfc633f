package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Run sends summaries to the peers until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	tick := time.NewTicker(f.config.RegionInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f.PushSummaries(ctx)
		}
	}
}

// PushSummaries sends a summary to every peer that is due for one, and waits for the replies.
func (f *Fleet) PushSummaries(ctx context.Context) {
	self, now := f.config.Self(), f.config.Now()
	usage, rooms := f.config.OwnUsage(), f.config.OwnCapacity()
	var wg sync.WaitGroup
	for _, m := range f.config.View().Filter(member.Active, member.Draining, member.Unreachable) {
		if m.ID == self.ID {
			continue
		}
		s, due := f.prepareSummary(m, self, now, usage, rooms)
		if !due {
			continue
		}
		wg.Go(func() { f.sendSummary(ctx, m.ID, s, now, rooms) })
	}
	wg.Wait()
}

// prepareSummary returns the summary for a peer and whether it is due. Unless it is full, it contains what changed
// since the last summary that the peer confirmed.
func (f *Fleet) prepareSummary(m, self member.Member, now time.Time, usage []wire.TeamUsage,
	rooms []wire.DataCentreCapacity,
) (wire.Summary, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, ok := f.sent[m.ID]
	if !ok {
		state = &sendState{teams: map[ident.TeamID]sentUsage{}, needsFull: true}
		f.sent[m.ID] = state
	}
	if now.Before(state.nextDue) {
		return wire.Summary{}, false
	}
	if m.Region != self.Region {
		state.nextDue = now.Add(f.config.RemoteInterval)
	}
	s := wire.Summary{
		Sender:  wire.Sender{Member: self.ID, Incarnation: self.Incarnation, Epoch: f.config.View().Epoch},
		Full:    state.needsFull || state.summaries%summariesPerFull == 0,
		Backlog: f.config.Backlog(), Version: f.config.ConfigVersion(),
	}
	state.summaries++
	s.Teams = changedUsage(state.teams, usage, s.Full, now)
	if s.Full || !slices.Equal(rooms, state.rooms) {
		s.DataCentres = rooms
	}
	return s, true
}

// changedUsage returns the teams whose usage differs enough from what was sent. A team without usage is sent as zero.
func changedUsage(sent map[ident.TeamID]sentUsage, usage []wire.TeamUsage, full bool, now time.Time) []wire.TeamUsage {
	if full {
		return usage
	}
	var changed []wire.TeamUsage
	seen := make(map[ident.TeamID]bool, len(usage))
	for _, u := range usage {
		seen[u.Team] = true
		last, ok := sent[u.Team]
		if !ok || last.TeamUsage != u && (now.Sub(last.sentAt) >= maxUnsentAge || changedEnough(last.Used, u.Used)) {
			changed = append(changed, u)
		}
	}
	for t := range sent {
		if !seen[t] {
			changed = append(changed, wire.TeamUsage{Team: t})
		}
	}
	return changed
}

// changedEnough reports whether the amount of any resource changed by at least minChangeFraction of the larger amount.
func changedEnough(v, w resource.Vector) bool {
	larger := v.Max(w)
	return larger.Sub(v).Max(larger.Sub(w)).DominantShare(larger) >= minChangeFraction
}

// sendSummary sends a summary and records what the peer confirmed.
func (f *Fleet) sendSummary(ctx context.Context, to ident.MemberID, s wire.Summary, now time.Time, rooms []wire.DataCentreCapacity) {
	reply, err := f.config.PushSummary(ctx, to, s)
	f.mu.Lock()
	defer f.mu.Unlock()
	state, ok := f.sent[to]
	if !ok {
		return
	}
	// After a lost reply it is unknown whether the peer applied the delta, so the next summary is full.
	state.needsFull = err != nil || reply.WantFull
	if state.needsFull {
		if reply.WantFull {
			state.nextDue = time.Time{} // a restarted peer of another region does not wait for RemoteInterval
		}
		return
	}
	if s.Full {
		clear(state.teams)
	}
	for _, u := range s.Teams {
		if u.Running == 0 {
			delete(state.teams, u.Team)
			continue
		}
		state.teams[u.Team] = sentUsage{u, now}
	}
	state.rooms = rooms
}

// LoadDump is the last reported load of one peer.
type LoadDump struct {
	Member  ident.MemberID            `json:"member"`
	Rooms   []wire.DataCentreCapacity `json:"rooms"`
	Teams   int                       `json:"teams"`
	Backlog int                       `json:"backlog"`
	Version ident.Version             `json:"version"`
	Age     string                    `json:"age"`
}

// Dump returns the load of every peer for the state dump, sorted by member.
func (f *Fleet) Dump() []LoadDump {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var loads []LoadDump
	for id, p := range f.peers {
		loads = append(loads, LoadDump{
			Member: id, Rooms: slices.Clone(p.estimated), Teams: len(p.teams), Backlog: p.backlog, Version: p.version,
			Age: f.config.Now().Sub(p.lastSummaryAt).Round(time.Millisecond).String(),
		})
	}
	slices.SortFunc(loads, func(a, b LoadDump) int { return cmp.Compare(a.Member, b.Member) })
	return loads
}
