package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Dump is the state of this daemon's part in the cell.
type Dump struct {
	Incarnation string                   `json:"incarnation"`
	Leader      Leader                   `json:"leader"`
	Leading     bool                     `json:"leading"`
	Alive       map[ident.MemberID]Alive `json:"alive"`
	ViewAge     string                   `json:"view-age"`
	StoreAge    string                   `json:"store-age"` // since the store last answered
	Scheduler   *sched.Dump              `json:"scheduler,omitempty"`
	Job         *sched.JobExplanation    `json:"job,omitempty"`
}

// Dump returns the state of this daemon, with that of one job where an id is given and this daemon leads.
func (o *Coordinator) Dump(job ident.JobID) Dump {
	v := o.view.get()
	now := o.now()
	d := Dump{
		Incarnation: o.incarnation, Leader: v.leader, Alive: v.alive, ViewAge: age(now, v.confirmed),
		StoreAge: age(now, o.StoreReached()),
	}
	t := o.loadedTerm()
	if t == nil {
		return d
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d.Leading = true
	s := t.core.Dump(now)
	d.Scheduler = &s
	if e, ok := t.core.Explain(job); ok {
		d.Job = &e
	}
	return d
}

// loadInterval is the interval at which the leader logs the load of each service.
const loadInterval = time.Second

// logLoad tells what room each service has and what waits for it.
func (t *term) logLoad(ctx context.Context) error {
	before := uint64(0)
	for {
		pause(ctx, loadInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t.mu.Lock()
		loads, calls, busy := t.core.Loads(), t.core.Counts().Advice, t.lines.underWay()
		t.mu.Unlock()
		t.config.Log.Info("advice load", "daemons", len(t.owner.peers())+1, "busy", busy, "calls", calls-before)
		before = calls
		for _, l := range loads {
			t.config.Log.Info("load", "service", string(l.Service), "servers", l.Servers, "usable", l.Usable, "cpu", percent(l.CPU),
				"gpu", percent(l.GPU), "unusable", percent(l.UnusableShare), "running", l.Running, "waiting", l.Waiting, "steps", l.Steps,
				"unadvised", l.AwaitingAdvice)
		}
	}
}

// percent rounds a share.
func percent(share float64) int { return int(share*100 + 0.5) }

func age(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).String()
}

// registerGauges exposes what this daemon does as metrics.
func (o *Coordinator) registerGauges() {
	m := o.config.Metrics
	m.NewGauge("rosemaryspoke_leading", func() float64 {
		if o.loadedTerm() != nil {
			return 1
		}
		return 0
	})
	m.NewGauge("rosemaryspoke_store_silence_seconds", func() float64 { return o.now().Sub(o.StoreReached()).Seconds() })
	counts := map[string]func(sched.Counts) uint64{
		"starts":   func(c sched.Counts) uint64 { return c.Starts },
		"ends":     func(c sched.Counts) uint64 { return c.Ends },
		"failures": func(c sched.Counts) uint64 { return c.Failures },
		"lapses":   func(c sched.Counts) uint64 { return c.Lapses },
		"stops":    func(c sched.Counts) uint64 { return c.Stops },
		"refusals": func(c sched.Counts) uint64 { return c.Refusals },
		"advice":   func(c sched.Counts) uint64 { return c.Advice },
	}
	for kind, read := range counts {
		m.NewGauge(fmt.Sprintf("rosemaryspoke_term_events{kind=%q}", kind), func() float64 {
			t := o.loadedTerm()
			if t == nil {
				return 0
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			return float64(read(t.core.Counts()))
		})
	}
}
