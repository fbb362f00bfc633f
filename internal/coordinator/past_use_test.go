package coordinator

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const testHalfLife = 4 * time.Hour

// newPastUseTerm returns a term that leads according to the store and has loaded the past use, and a function that ends its loop.
func newPastUseTerm(t *testing.T, store *txstore.Store) (*term, *logLines) {
	t.Helper()
	m, lines := newLoggedTerm(t)
	m.config.Store, m.config.StoreTimeout, m.config.Metrics = store, platform.NewAdaptiveTimeout(), metrics.NewSet()
	m.config.Scheduling.PastUseHalfLife = testHalfLife
	m.scheduler = sched.New(sched.Options{PastUseHalfLife: testHalfLife}, m.coordinator.now())
	m.cancel = func(error) {}
	m.revision = store.Put(leaderKey, []byte("{}"))
	items, _, err := m.readAll(t.Context(), pastUseKey)
	if err != nil {
		t.Fatal(err)
	}
	m.update(func(now time.Time, s *sched.Scheduler) { m.restorePastUse(now, s, items) })
	m.loaded = true
	return m, lines
}

// use makes a team use a whole server, the only one of the fleet, from now on.
func (t *term) use(team ident.TeamID) {
	all := resource.Vector{CPU: resource.Cores(1), Memory: 100}
	t.update(func(now time.Time, s *sched.Scheduler) {
		s.Configure(now, sched.Config{Teams: map[ident.TeamID]sched.Team{team: {ID: team}}})
		v := sched.Server{ID: "s1", Incarnation: 1, Address: "s1:1", Service: "pool", Capacity: all}
		s.Register(now, v)
		s.AddJob(now, &sched.Job{ID: "a", Team: team, Queue: sched.Queue{ID: "q", Service: "pool"}, Steps: []sched.Step{{Count: 1, Demand: all}}, Accepted: now}, sched.Progress{}, true)
		s.Polled(now, "s1", 1, sched.Inventory{Incarnation: 1, Clock: time.Hour, Running: []sched.ActiveRun{{Task: sched.TaskID{Job: "a"}, Run: 1}}})
	})
}

// recorded returns the record in the store, or an empty ledger.
func recorded(t *testing.T, store *txstore.Store) (pastuse.Ledger, platform.Revision) {
	t.Helper()
	it, ok := store.Peek(pastUseKey)
	if !ok {
		return pastuse.New(testHalfLife), 0
	}
	l, _, err := pastuse.Decode(it.Value, testHalfLife)
	if err != nil {
		t.Fatal(err)
	}
	return l, it.Revision
}

func wantTotal(t *testing.T, what string, got, want pastuse.ShareSeconds) {
	t.Helper()
	if got < want*0.99 || got > want*1.01 {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// failPastUse makes the writes of the past use fail with faults, in their order.
func failPastUse(store *txstore.Store, faults ...txstore.Fault) {
	store.SetFault(func(call, key string) txstore.Fault {
		if call != "transact" || key != pastUseKey || len(faults) == 0 {
			return txstore.None
		}
		f := faults[0]
		faults = faults[1:]
		return f
	})
}

// Guards against store calls that nobody needs: a write is made at most each ten seconds, and none while nothing was used.
func TestPastUseIsWrittenAtMostEachInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txstore.New(time.Now)
		m, _ := newPastUseTerm(t, store)
		go func() { _ = m.recordPastUse(t.Context()) }()
		time.Sleep(time.Hour)
		if n := store.CallCount("transact"); n != 0 {
			t.Errorf("%d writes while nothing was used", n)
		}
		m.use("blue")
		time.Sleep(101 * time.Second)
		synctest.Wait()
		if n := store.CallCount("transact"); n < 9 || n > 10 {
			t.Errorf("%d writes in 100 s, want 10", n)
		}
		l, _ := recorded(t, store)
		wantTotal(t, "recorded use", l.Use("blue").Total, 100)
	})
}

// Guards against use that a failed write loses or counts twice. After a lost reply the record has another revision than the leader knows.
func TestPastUseAfterFailedWrites(t *testing.T) {
	for name, c := range map[string]struct {
		faults []txstore.Fault
		writes int // that reach the store in 30 s: with a second one after a conflict
	}{
		"none":                 {nil, 3},
		"lost reply":           {[]txstore.Fault{txstore.LoseReply}, 4},
		"two lost replies":     {[]txstore.Fault{txstore.LoseReply, txstore.LoseReply}, 4},
		"lost request":         {[]txstore.Fault{txstore.LoseRequest}, 3},
		"refused":              {[]txstore.Fault{txstore.Unavailable, txstore.Unavailable}, 3},
		"lost reply at repeat": {[]txstore.Fault{txstore.LoseReply, txstore.None, txstore.LoseReply}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := txstore.New(time.Now)
				m, _ := newPastUseTerm(t, store)
				failPastUse(store, c.faults...)
				m.use("blue")
				go func() { _ = m.recordPastUse(t.Context()) }()
				time.Sleep(30*time.Second + time.Millisecond)
				synctest.Wait()
				l, revision := recorded(t, store)
				wantTotal(t, "recorded use", l.Use("blue").Total, 30)
				if known := m.pastUse.revision; known != revision {
					t.Errorf("the leader expects revision %d, the record has %d", known, revision)
				}
				if n := store.CallCount("transact"); n != c.writes {
					t.Errorf("%d writes, want %d", n, c.writes)
				}
			})
		})
	}
}

// Guards against use that a former leader adds to the record, and against one that it has written with a lost reply and that its successor,
// which starts from the record, counts again. The run that both have seen counts once for each second.
func TestPastUseAcrossTakeover(t *testing.T) {
	for name, fault := range map[string]txstore.Fault{"recorded": txstore.None, "lost reply": txstore.LoseReply, "lost request": txstore.LoseRequest} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := txstore.New(time.Now)
				former, _ := newPastUseTerm(t, store)
				former.use("blue")
				time.Sleep(10 * time.Second)
				former.writePastUse(t.Context())
				time.Sleep(10 * time.Second)
				failPastUse(store, fault)
				former.writePastUse(t.Context())
				want := pastuse.ShareSeconds(20)
				if fault == txstore.LoseRequest {
					want = 10 // the use of at most one interval is lost
				}
				next, lines := newPastUseTerm(t, store)
				next.use("blue")
				time.Sleep(5 * time.Second)
				var ended error
				former.cancel = func(err error) { ended = err }
				former.writePastUse(t.Context())
				if !errors.Is(ended, errDeposed) {
					t.Errorf("the former leader ends with %v", ended)
				}
				next.writePastUse(t.Context())
				l, _ := recorded(t, store)
				wantTotal(t, "recorded use", l.Use("blue").Total, want+5)
				if lines.count("past use loaded") != 1 {
					t.Error("the load isn't logged")
				}
			})
		})
	}
}

// Guards against use that doesn't decay while no daemon leads, and against clock steps between two leaders that erase or raise it.
func TestPastUseDecaysWithoutLeader(t *testing.T) {
	for name, c := range map[string]struct {
		gap  time.Duration
		want pastuse.ShareSeconds
	}{
		"a half-life":        {testHalfLife, 500},
		"clock set back":     {-time.Hour, 1000},
		"clock set forwards": {100 * 365 * 24 * time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := txstore.New(time.Now)
				l := pastuse.New(testHalfLife)
				l.Add("blue", pastuse.Use{Total: 1000})
				value, err := l.Encode(time.Now().Add(-c.gap))
				if err != nil {
					t.Fatal(err)
				}
				store.Put(pastUseKey, value)
				m, _ := newPastUseTerm(t, store)
				got, _ := m.scheduler.PastUse(time.Now())
				if c.want > 0 {
					wantTotal(t, "use", got.Use("blue").Total, c.want)
				} else if got.Use("blue").Total > 1e-6 {
					t.Errorf("use is %v", got.Use("blue").Total)
				}
			})
		})
	}
}

// Guards against a takeover that an unreadable record stops, and against one that stays unreadable.
func TestUnreadablePastUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txstore.New(time.Now)
		store.Put(pastUseKey, []byte("{"))
		m, lines := newPastUseTerm(t, store)
		if lines.count("past use not readable") != 1 {
			t.Error("the unreadable record isn't logged")
		}
		m.use("blue")
		time.Sleep(10 * time.Second)
		m.writePastUse(t.Context())
		l, _ := recorded(t, store)
		wantTotal(t, "recorded use", l.Use("blue").Total, 10)
	})
}

// Guards against a reset that the next leader doesn't know, and against metrics that a team's name breaks.
func TestResetIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := txstore.New(time.Now)
		m, lines := newPastUseTerm(t, store)
		const name = "blue\"\\\n\xff"
		m.use(name)
		m.coordinator.term = m
		time.Sleep(10 * time.Second)
		m.writePastUse(t.Context())
		var text strings.Builder
		m.coordinator.writePastUseMetrics(&text)
		if want := `rosemaryspoke_past_use_share_seconds{team="blue\"\\\n?",kind="total"} 9.9`; !strings.Contains(text.String(), want) {
			t.Errorf("metrics are %s", text.String())
		}
		if r := m.coordinator.resetPastUse(resetRequest{Team: name, From: "b"}); !r.Leading || !r.Known || r.Former.Total < 9.9 {
			t.Errorf("answer %+v", r)
		}
		if r := m.coordinator.resetPastUse(resetRequest{Team: "nobody"}); !r.Leading || r.Known {
			t.Errorf("answer for an unknown team %+v", r)
		}
		m.writePastUse(t.Context())
		if l, _ := recorded(t, store); l.Len() != 0 {
			t.Errorf("recorded use %+v", l.Use(name))
		}
		if lines.count("past use reset") != 2 {
			t.Error("a reset isn't logged")
		}
	})
}
