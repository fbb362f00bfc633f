package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// maxConnections bounds the driver's idle connections to one daemon.
const maxConnections = 256

// driver sends the arrivals to one cell and keeps what happened to them.
type driver struct {
	cell    *demo.Cell
	sites   []demo.Site
	secrets map[ident.TeamID]string
	http    *http.Client

	mu       sync.Mutex
	requests map[ident.RequestID]sent
	jobs     map[ident.JobID]sent
	outcomes map[Kind]map[string]int
	refusals map[Kind]map[string]int
}

// sent is an arrival that was handed to a daemon.
type sent struct {
	kind Kind
	at   time.Time
	via  ident.MemberID
	team ident.TeamID
}

func newDriver(c *demo.Cell, d Deployment, secrets map[ident.TeamID]string) *driver {
	return &driver{
		cell: c, sites: d.sites, secrets: secrets,
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections}},
		requests: map[ident.RequestID]sent{}, jobs: map[ident.JobID]sent{},
		outcomes: map[Kind]map[string]int{}, refusals: map[Kind]map[string]int{},
	}
}

func (d *driver) client(via ident.MemberID, key string) *client.Client {
	return client.New("http://"+d.cell.Daemon(via).CallerAddress(), key, d.http)
}

// drive sends all arrivals at their times and waits for the requests.
func (d *driver) drive(ctx context.Context, arrivals []Arrival) {
	begun := time.Now()
	var wg sync.WaitGroup
	for _, a := range arrivals {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begun.Add(a.At))):
		}
		wg.Go(func() { d.send(ctx, a) })
	}
	wg.Wait()
}

func (d *driver) send(ctx context.Context, a Arrival) {
	via := d.sites[a.Via].Member
	key := d.secrets[a.Spec.Team]
	if a.Open {
		key = ""
	}
	s := sent{kind: a.Kind, at: time.Now(), via: via, team: a.Spec.Team}
	if a.Kind != Request && a.Kind != Urgent {
		j, err := d.client(via, key).Submit(ctx, a.Spec)
		if err != nil {
			d.count(a.Kind, api.Answer{}, err)
			return
		}
		d.mu.Lock()
		d.jobs[j.ID] = s
		d.mu.Unlock()
		return
	}
	d.mu.Lock()
	d.requests[a.Spec.Request] = s
	d.mu.Unlock()
	answer, err := d.client(via, key).Request(ctx, a.Spec)
	d.count(a.Kind, answer, err)
}

// count records an outcome and the code of a refusal.
func (d *driver) count(k Kind, a api.Answer, err error) {
	outcome := string(a.Outcome)
	var p *api.Problem
	switch {
	case errors.As(err, &p):
		outcome = string(p.Outcome)
		d.add(d.refusals, k, string(p.Code))
	case err != nil:
		outcome = string(api.Unknown)
		d.add(d.refusals, k, "no answer")
	case a.Outcome != api.Answered:
		d.add(d.refusals, k, a.Reason)
	}
	d.add(d.outcomes, k, outcome)
}

func (d *driver) add(to map[Kind]map[string]int, k Kind, what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if to[k] == nil {
		to[k] = map[string]int{}
	}
	to[k][what]++
}

// finish waits for jobs, counts their ends, and cancels services, which run until then.
func (d *driver) finish(ctx context.Context) {
	for id, s := range d.jobs {
		j, err := d.client(s.via, d.secrets[s.team]).Get(ctx, id)
		switch {
		case err != nil:
			d.count(s.kind, api.Answer{}, err)
		case j.Phase.Done():
			d.add(d.outcomes, s.kind, string(j.Outcome))
		case s.kind == Service && j.Phase == api.Running:
			d.add(d.outcomes, s.kind, "runs")
		default:
			d.add(d.outcomes, s.kind, "unfinished")
		}
	}
}

// waits returns the time from sending to the first start at a backend server, per request and per task of a job.
func (d *driver) waits() map[Kind]*hdrhistogram.Histogram {
	type task struct {
		job   ident.JobID
		index int
	}
	first := map[ident.RequestID]time.Time{}
	tasks := map[task]time.Time{}
	for _, w := range d.cell.Standins.Workers {
		for _, r := range w.Runs() {
			if _, ok := d.requests[r.Request]; ok {
				if at, seen := first[r.Request]; !seen || r.Started.Before(at) {
					first[r.Request] = r.Started
				}
				continue
			}
			k := task{r.Job, r.Index}
			if at, seen := tasks[k]; !seen || r.Started.Before(at) {
				tasks[k] = r.Started
			}
		}
	}
	histograms := map[Kind]*hdrhistogram.Histogram{}
	for _, k := range Kinds {
		histograms[k] = newHistogram()
	}
	for id, at := range first {
		record(histograms[d.requests[id].kind], at.Sub(d.requests[id].at))
	}
	for k, at := range tasks {
		if s, ok := d.jobs[k.job]; ok {
			record(histograms[s.kind], at.Sub(s.at))
		}
	}
	return histograms
}

// runPolicy starts a cell, drives it and measures it.
func runPolicy(ctx context.Context, c Config, dep Deployment, b bundle.Bundle, arrivals []Arrival, baseline bool) (PolicyRun, error) {
	started, secrets, err := startCell(ctx, c, dep, b, baseline)
	if err != nil {
		return PolicyRun{}, err
	}
	defer started.Close()
	d := newDriver(started, dep, secrets)
	defer d.http.CloseIdleConnections()
	m, err := newMeter(ctx, started, dep)
	if err != nil {
		return PolicyRun{}, err
	}
	s := newSampler(m.operators, b.Teams)
	sampling, stop := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return s.run(sampling) })
	limit, cancel := context.WithTimeout(ctx, c.Duration+drainTime)
	defer cancel()
	d.drive(limit, arrivals)
	stop()
	if err := group.Wait(); err != nil {
		return PolicyRun{}, fmt.Errorf("sample: %w", err)
	}
	cost, err := m.cost(ctx)
	if err != nil {
		return PolicyRun{}, err
	}
	d.finish(ctx)
	return d.result(nameOf(baseline), s, cost), nil
}
