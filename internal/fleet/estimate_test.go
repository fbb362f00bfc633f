package fleet

import (
	"context"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// TestPeerEstimate guards against two errors in the estimated free capacity of a peer. The peer must not stay full
// forever because its summaries omit unchanged capacity, and it must not stay full until its next summary after tasks
// handed to it have ended.
func TestPeerEstimate(t *testing.T) {
	task := resource.Vector{CPU: resource.Cores(1), Slots: 1}
	room := wire.DataCentreCapacity{Free: task.Times(2), LargestFree: task.Times(2), Capacity: task.Times(2), LargestHost: task.Times(2)}
	full := room
	full.Free, full.LargestFree = resource.Vector{}, resource.Vector{}
	summary := func(full bool, rooms ...wire.DataCentreCapacity) wire.Summary {
		return wire.Summary{Sender: wire.Sender{Member: "peer", Incarnation: 1}, Full: full, DataCentres: rooms}
	}
	for name, c := range map[string]struct {
		run  func(f *Fleet)
		want int // tasks that can be handed over afterwards
	}{
		"unchanged capacity":             {func(f *Fleet) { f.HandleSummary(summary(false)) }, 2},
		"changed capacity":               {func(f *Fleet) { f.HandleSummary(summary(false, full)) }, 0},
		"no summary":                     {func(*Fleet) {}, 0},
		"task ended":                     {func(f *Fleet) { f.Credit("peer", task) }, 1},
		"more ended than handed":         {func(f *Fleet) { f.Credit("peer", task.Times(2)); f.Credit("peer", task) }, 2},
		"task ended, then reported full": {func(f *Fleet) { f.Credit("peer", task); f.HandleSummary(summary(false, full)) }, 0},
		"task ended at unknown peer":     {func(f *Fleet) { f.Credit("gone", task) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			self, peer := member.Member{ID: "self", Incarnation: 1, State: member.Active},
				member.Member{ID: "peer", Incarnation: 1, State: member.Active}
			f, err := New(Config{
				Self:     func() member.Member { return self },
				View:     func() member.View { return member.View{Members: []member.Member{self, peer}} },
				OwnUsage: func() []wire.TeamUsage { return nil }, OwnCapacity: func() []wire.DataCentreCapacity { return nil },
				Backlog: func() int { return 0 }, ConfigVersion: func() ident.Version { return 0 },
				PushSummary: func(context.Context, ident.MemberID, wire.Summary) (wire.SummaryReply, error) {
					return wire.SummaryReply{}, nil
				},
			})
			if err != nil {
				t.Fatal(err)
			}
			f.HandleSummary(summary(true, room))
			handOver := func() (n int) {
				for slices.Contains(f.Candidates("team", task), "peer") {
					f.Debit("peer", task)
					n++
				}
				return n
			}
			before := f.Dump()[0].Rooms[0] // a dump that shares this slice with the fleet would change while it is encoded
			dumped := f.Dump()
			handOver()
			if dumped[0].Rooms[0] != before {
				t.Error("the dump changed when tasks were handed over")
			}
			c.run(f)
			if got := handOver(); got != c.want {
				t.Errorf("%d tasks handed over, want %d", got, c.want)
			}
		})
	}
}
