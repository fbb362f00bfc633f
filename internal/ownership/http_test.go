package ownership

import (
	"context"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/worker"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against a table that works only with the in-process stand-in. Attach, start, result, acknowledgement, a restart
// of the server and its leaving flag go over HTTP here, in real time.
func TestOverHTTP(t *testing.T) {
	w := worker.New(worker.Config{Host: "h", Capacity: slots(4), Seed: 3})
	defer w.Close()
	s := httptest.NewServer(w.Handler())
	defer s.Close()
	client := backend.NewHTTPClient()
	var mu sync.Mutex
	var events []string
	addEvent := func(event string) {
		mu.Lock()
		defer mu.Unlock()
		events = append(events, event)
	}
	waitFor := func(what string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(15 * time.Second); !condition(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				mu.Lock()
				defer mu.Unlock()
				t.Fatalf("%s didn't happen within 15 s; events %q", what, events)
			}
		}
	}
	eventSeen := func(event string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return slices.Contains(events, event)
		}
	}
	self := member.Member{ID: "a", Incarnation: 1, State: member.Active}
	table, err := New(Config{
		Self:    func() member.Member { return self },
		View:    func() member.View { return member.View{Epoch: 3, Members: []member.Member{self}} },
		Refresh: func(context.Context) error { return nil }, StoreHealthy: func() bool { return true },
		Hosts: func(context.Context) ([]platform.Host, error) {
			return []platform.Host{{ID: "h", Address: s.Listener.Addr().String(), State: platform.HostLive}}, nil
		},
		Dial: func(h platform.Host) backend.Server {
			return backend.NewHTTPAdapter(backend.HTTPConfig{Client: client, Address: h.Address})
		},
		Probe: func(context.Context, ident.MemberID) error { return nil },
		Events: Events{
			Attached: func(_ platform.Host, i backend.Inventory) { addEvent("attached " + i.Boot) },
			Updated:  func(ident.HostID, backend.PollReply) {},
			Finished: func(_ ident.HostID, r backend.Result) { addEvent("finished " + string(r.Answer)) },
			Detached: func(_ ident.HostID, r DetachReason) { addEvent("detached " + string(r)) },
		},
		MinRenewal: 200 * time.Millisecond, MaxRenewal: time.Second, ClockDrift: 20 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- table.Run(ctx) }()
	waitFor("the attach", func() bool { _, complete := table.InventoryComplete(); return complete })
	task := batchTask("t")
	task.RunTime, task.Payload = 1, []byte("quote")
	if err := table.Start(ctx, "h", task); err != nil {
		t.Fatal(err)
	}
	waitFor("the result", eventSeen("finished "+worker.AnswerPrefix+"quote"))
	table.Acknowledge("h", "t")
	waitFor("the acknowledgement", func() bool { return table.Dump().Hosts[0].Acknowledgements == 0 })
	w.Restart(slots(2))
	waitFor("the attach after the restart", eventSeen("attached h-boot-2"))
	waitFor("the new fence", func() bool { return table.Dump().Hosts[0].Attached })
	w.SetLeaving(true)
	waitFor("the leaving flag", func() bool { return table.Dump().Hosts[0].Leaving })
	cancel()
	<-ended
	if len(table.OwnedHosts()) > 0 {
		t.Errorf("hosts still owned after Run returned: %v", table.OwnedHosts())
	}
	for _, v := range w.Violations() {
		t.Errorf("violation: %v", v)
	}
}
