package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// TestSummaries guards against a peer whose sums stay wrong because a change was left out, lost or not requested
// again, and against summaries of changes that are too small to matter.
func TestSummaries(t *testing.T) {
	for name, c := range map[string]struct {
		running   int // tasks after the first summary, which reported 100
		wait      time.Duration
		lost      bool // the summary of the change is lost and gets no reply
		restarted bool // the peer restarts and loses all summaries
		want      int  // tasks that the peer knows of in the end
	}{
		"small change":                    {running: 110, wait: DefaultRemoteInterval, want: 100},
		"small change after maxUnsentAge": {running: 110, wait: maxUnsentAge, want: 110},
		"large change":                    {running: 150, wait: DefaultRemoteInterval, want: 150},
		"large decrease":                  {running: 60, wait: DefaultRemoteInterval, want: 60},
		"all tasks ended":                 {running: 0, wait: DefaultRemoteInterval, want: 0},
		"small change in a lost summary":  {running: 110, wait: DefaultRemoteInterval, lost: true, want: 110},
		"large change in a lost summary":  {running: 150, wait: DefaultRemoteInterval, lost: true, want: 150},
		"restarted peer":                  {running: 110, wait: DefaultRemoteInterval, restarted: true, want: 110},
	} {
		t.Run(name, func(t *testing.T) {
			here := member.Member{ID: "a", Incarnation: 1, Region: "sfax", State: member.Active}
			there := member.Member{ID: "b", Incarnation: 1, Region: "tunis", State: member.Active}
			view := member.View{Epoch: 1, Members: []member.Member{here, there}}
			now, running, lost := time.Unix(0, 0), 100, false
			usageOf := func(n int) resource.Vector { return resource.Vector{Slots: 1, CPU: 250}.Times(int64(n)) }
			var peer *Fleet
			config := Config{
				Self: func() member.Member { return here }, View: func() member.View { return view },
				OwnUsage: func() []wire.TeamUsage {
					if running == 0 {
						return nil
					}
					return []wire.TeamUsage{{Team: "t", Running: running, Used: usageOf(running)}}
				},
				OwnCapacity: func() []wire.DataCentreCapacity { return []wire.DataCentreCapacity{{Capacity: usageOf(1000)}} },
				Backlog:     func() int { return 0 }, ConfigVersion: func() ident.Version { return 1 },
				PushSummary: func(_ context.Context, _ ident.MemberID, s wire.Summary) (wire.SummaryReply, error) {
					if lost {
						return wire.SummaryReply{}, errors.New("no reply")
					}
					return peer.HandleSummary(s), nil
				},
				Now: func() time.Time { return now }, Log: logr.Discard(),
			}
			f, err := New(config)
			if err != nil {
				t.Fatal(err)
			}
			if peer, err = New(config); err != nil {
				t.Fatal(err)
			}
			f.PushSummaries(t.Context())
			running, lost, now = c.running, c.lost, now.Add(c.wait)
			if c.restarted {
				if peer, err = New(config); err != nil {
					t.Fatal(err)
				}
			}
			f.PushSummaries(t.Context())
			if lost {
				now = now.Add(DefaultRemoteInterval)
			}
			if c.lost || c.restarted {
				lost = false
				f.PushSummaries(t.Context())
			}
			if got := peer.usage["t"]; got != usageOf(c.want) {
				t.Fatalf("the peer knows usage %v, want %v", got, usageOf(c.want))
			}
		})
	}
}
