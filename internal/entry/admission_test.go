package entry

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/admission"
	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// newAdmissionGateway returns a gateway at the store whose coordinator doesn't run and knows no leader, a function that moves its clock, and the
// lines that it logs.
func newAdmissionGateway(t *testing.T, store *txstore.Store, on bool) (g *Gateway, advance func(time.Duration), lines *[]string) {
	t.Helper()
	node, err := peer.New(peer.Config{
		Self:    func() wire.Sender { return wire.Sender{Member: "a"} },
		Address: func(ident.MemberID) (string, bool) { return "", false },
		Dial:    func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed },
		Log:     logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	w := policy.NewWatcher(store, "config", func([]byte) (*policy.Policy, error) { return &policy.Policy{}, nil }, logr.Discard())
	c, err := coordinator.New(coordinator.Config{
		Member: "a", Store: store, Policy: w, Peer: node, Log: logr.Discard(),
		Registry: coordinator.Registry{Decode: func(string, []byte) (sched.Server, error) { return sched.Server{}, nil }},
	})
	if err != nil {
		t.Fatal(err)
	}
	lines = &[]string{}
	log := funcr.New(func(_, line string) { *lines = append(*lines, line) }, funcr.Options{})
	g = New(Config{Store: store, Policy: w, Coordinator: c, Admission: on, Log: log, Metrics: metrics.NewSet()})
	var clock atomic.Int64 // reports of jobs read it too
	clock.Store(int64(time.Hour))
	// The coordinator has had no contact with the store yet, so its last contact is the zero time.
	g.now, g.uptime = func() time.Time { return time.Time{} }, func() time.Duration { return time.Duration(clock.Load()) }
	return g, func(d time.Duration) { clock.Add(int64(d)) }, lines
}

// lateStatement says that a new job of the busy team waits for 100 s. Its results are of use for 9 s.
func lateStatement(age time.Duration) admission.Statement {
	return admission.Statement{Age: age, Forecasts: []admission.Forecast{
		{Team: "busy", Queue: "q", Wait: 100 * time.Second, LastUseful: 9 * time.Second, NextToken: time.Minute},
	}}
}

func lateJob(team ident.TeamID) *sched.Job {
	return &sched.Job{
		ID: "00000000000000aa", Team: team, Queue: sched.Queue{ID: "q", Service: "pool", Stretch: 2, Target: time.Second},
		Steps: []sched.Step{{Count: 1, Estimate: time.Second}},
	}
}

// Guards against refusals by a stale copy, without a copy, of another team, of work without a last useful time and with the setting off, and
// against a refusal of a job that an earlier attempt has recorded, or may have while the store doesn't tell.
func TestAdmission(t *testing.T) {
	none := func(*Gateway, *txstore.Store, *sched.Job) {}
	late := func(g *Gateway, _ *txstore.Store, _ *sched.Job) { g.admission.set(lateStatement(0), g.uptime()) }
	for name, c := range map[string]struct {
		off     bool
		team    ident.TeamID
		prepare func(*Gateway, *txstore.Store, *sched.Job)
		passes  time.Duration
		want    Kind
	}{
		"too late":    {prepare: late, want: Refused},
		"oldest copy": {prepare: late, passes: time.Second, want: Refused},
		"stale copy":  {prepare: late, passes: time.Second + 1, want: Accepted},
		"no copy":     {prepare: none, want: Accepted},
		"other team":  {prepare: late, team: "quiet", want: Accepted},
		"off":         {prepare: late, off: true, want: Accepted},
		"age of the leader": {prepare: func(g *Gateway, _ *txstore.Store, _ *sched.Job) {
			g.admission.set(lateStatement(600*time.Millisecond), g.uptime())
		}, passes: 500 * time.Millisecond, want: Accepted},
		"a later statement without forecasts": {prepare: func(g *Gateway, s *txstore.Store, j *sched.Job) {
			late(g, s, j)
			g.admission.set(admission.Statement{}, g.uptime())
		}, want: Accepted},
		"a late reply with an earlier statement": {prepare: func(g *Gateway, _ *txstore.Store, _ *sched.Job) {
			g.admission.set(admission.Statement{}, g.uptime())
			g.admission.set(lateStatement(0), g.uptime()-1)
		}, want: Accepted},
		"on a schedule": {prepare: func(g *Gateway, s *txstore.Store, j *sched.Job) {
			late(g, s, j)
			j.Repetitions = 3
		}, want: Accepted},
		"recorded by an earlier attempt": {prepare: func(g *Gateway, s *txstore.Store, j *sched.Job) {
			if first := g.recordJob(t.Context(), j); first.Kind != Accepted {
				t.Fatalf("first attempt: %+v", first)
			}
			late(g, s, j)
		}, want: Accepted},
		"store doesn't tell": {prepare: func(g *Gateway, s *txstore.Store, j *sched.Job) {
			late(g, s, j)
			s.SetFault(func(call, _ string) txstore.Fault {
				if call == "get" {
					return txstore.Unavailable
				}
				return txstore.None
			})
		}, want: Accepted},
	} {
		t.Run(name, func(t *testing.T) {
			store := txstore.New(time.Now)
			g, advance, lines := newAdmissionGateway(t, store, !c.off)
			team := c.team
			if team == "" {
				team = "busy"
			}
			job := lateJob(team)
			c.prepare(g, store, job)
			advance(c.passes)
			r := g.observe("submit", job.ID, g.now(), g.recordJob(t.Context(), job))
			if r.Kind != c.want {
				t.Fatalf("got %+v, want %s", r, c.want)
			}
			_, recorded := store.Peek(coordinator.JobKey(job.ID))
			rejected := g.config.Metrics.GetOrCreateCounter(`rosemaryspoke_admission_rejected_total{queue="q"}`).Get()
			if recorded != (c.want == Accepted) || rejected > 0 != (c.want == Refused) {
				t.Errorf("recorded: %t, rejections: %d", recorded, rejected)
			}
			if c.want == Refused && (r.RetryAfter < 20*time.Second || r.RetryAfter > admission.MaxRetryAfter) {
				t.Errorf("retry after %s", r.RetryAfter)
			}
			if len(*lines) != 1 || c.want == Refused && !strings.Contains((*lines)[0], "predicted wait") {
				t.Errorf("log lines %q", *lines)
			}
		})
	}
}
