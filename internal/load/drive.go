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

// maxIdleConnections limits the driver's idle connections to each daemon.
const maxIdleConnections = 256

// driver sends arrivals to a cell and records their outcomes.
type driver struct {
	cell    *demo.Cell
	sites   []demo.Site
	secrets map[ident.TeamID]string
	http    *http.Client

	mu       sync.Mutex
	requests map[ident.RequestID]submission
	jobs     map[ident.JobID]submission
	outcomes map[WorkClass]map[string]int
	refusals map[WorkClass]map[string]int
}

// submission records when and where an arrival was sent.
type submission struct {
	class  WorkClass
	sentAt time.Time
	daemon ident.MemberID
	team   ident.TeamID
}

func newDriver(c *demo.Cell, d Deployment, secrets map[ident.TeamID]string) *driver {
	return &driver{
		cell: c, sites: d.sites, secrets: secrets,
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		requests: map[ident.RequestID]submission{}, jobs: map[ident.JobID]submission{},
		outcomes: map[WorkClass]map[string]int{}, refusals: map[WorkClass]map[string]int{},
	}
}

func (d *driver) client(daemon ident.MemberID, key string) *client.Client {
	return client.New("http://"+d.cell.Daemon(daemon).CallerAddress(), key, d.http)
}

// sendAll sends each arrival at its scheduled time and returns when every request is answered and every job submitted, or
// as soon as ctx is done before an arrival is due.
func (d *driver) sendAll(ctx context.Context, arrivals []Arrival) {
	startTime := time.Now()
	var wg sync.WaitGroup
	for _, a := range arrivals {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startTime.Add(a.At))):
		}
		wg.Go(func() { d.send(ctx, a) })
	}
	wg.Wait()
}

func (d *driver) send(ctx context.Context, a Arrival) {
	daemon := d.sites[a.DaemonIndex].Member
	key := d.secrets[a.Spec.Team]
	if a.Open {
		key = ""
	}
	s := submission{class: a.Class, sentAt: time.Now(), daemon: daemon, team: a.Spec.Team}
	if a.Class != ClassRequest && a.Class != ClassUrgent {
		j, err := d.client(daemon, key).Submit(ctx, a.Spec)
		if err != nil {
			d.recordOutcome(a.Class, api.Answer{}, err)
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
	answer, err := d.client(daemon, key).Request(ctx, a.Spec)
	d.recordOutcome(a.Class, answer, err)
}

// recordOutcome counts the outcome of a call and, unless it was answered, the code or reason.
func (d *driver) recordOutcome(class WorkClass, a api.Answer, err error) {
	outcome := string(a.Outcome)
	var p *api.Problem
	switch {
	case errors.As(err, &p):
		outcome = string(p.Outcome)
		d.increment(d.refusals, class, string(p.Code))
	case err != nil:
		outcome = string(api.Unknown)
		d.increment(d.refusals, class, "no answer")
	case a.Outcome != api.Answered:
		d.increment(d.refusals, class, a.Reason)
	}
	d.increment(d.outcomes, class, outcome)
}

func (d *driver) increment(counts map[WorkClass]map[string]int, class WorkClass, key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if counts[class] == nil {
		counts[class] = map[string]int{}
	}
	counts[class][key]++
}

// countJobOutcomes reads the state of every submitted job and counts its outcome. A service that still runs counts as
// "runs", any other job that has not ended as "unfinished".
func (d *driver) countJobOutcomes(ctx context.Context) {
	for id, s := range d.jobs {
		j, err := d.client(s.daemon, d.secrets[s.team]).Get(ctx, id)
		switch {
		case err != nil:
			d.recordOutcome(s.class, api.Answer{}, err)
		case j.Phase.Done():
			d.increment(d.outcomes, s.class, string(j.Outcome))
		case s.class == ClassService && j.Phase == api.Running:
			d.increment(d.outcomes, s.class, "runs")
		default:
			d.increment(d.outcomes, s.class, "unfinished")
		}
	}
}

// waitHistograms returns, by class, the time from submission to the first start on a backend server, for each request and
// each task of a job.
func (d *driver) waitHistograms() map[WorkClass]*hdrhistogram.Histogram {
	type taskKey struct {
		job   ident.JobID
		index int
	}
	requestStarts := map[ident.RequestID]time.Time{}
	taskStarts := map[taskKey]time.Time{}
	for _, w := range d.cell.Standins.Workers {
		for _, r := range w.Runs() {
			if _, ok := d.requests[r.Request]; ok {
				if at, seen := requestStarts[r.Request]; !seen || r.Started.Before(at) {
					requestStarts[r.Request] = r.Started
				}
				continue
			}
			k := taskKey{r.Job, r.Index}
			if at, seen := taskStarts[k]; !seen || r.Started.Before(at) {
				taskStarts[k] = r.Started
			}
		}
	}
	histograms := map[WorkClass]*hdrhistogram.Histogram{}
	for _, class := range WorkClasses {
		histograms[class] = newHistogram()
	}
	for id, at := range requestStarts {
		record(histograms[d.requests[id].class], at.Sub(d.requests[id].sentAt))
	}
	for k, at := range taskStarts {
		if s, ok := d.jobs[k.job]; ok {
			record(histograms[s.class], at.Sub(s.sentAt))
		}
	}
	return histograms
}

// runPolicy starts a cell, sends it the arrivals under one policy and returns the measurements.
func runPolicy(
	ctx context.Context, c Config, deployment Deployment, b bundle.Bundle, arrivals []Arrival, baseline bool,
) (PolicyResult, error) {
	cell, secrets, err := startCell(ctx, c, deployment, b, baseline)
	if err != nil {
		return PolicyResult{}, err
	}
	defer cell.Close()
	d := newDriver(cell, deployment, secrets)
	defer d.http.CloseIdleConnections()
	meter, err := newCostMeter(ctx, cell, deployment)
	if err != nil {
		return PolicyResult{}, err
	}
	s := newSampler(meter.operatorAddresses, b.Teams)
	// Sampling stops when arrivals end, so that the measurement windows of both policies are equal.
	sampleCtx, stopSampling := context.WithTimeout(ctx, c.Duration)
	defer stopSampling()
	drainCtx, cancel := context.WithTimeout(ctx, c.Duration+drainTime)
	defer cancel()
	var cost Cost
	var group errgroup.Group
	group.Go(func() error {
		err := s.run(sampleCtx)
		if err == nil {
			cost, err = meter.cost(ctx)
		}
		return err
	})
	d.sendAll(drainCtx, arrivals)
	if err := group.Wait(); err != nil {
		return PolicyResult{}, fmt.Errorf("measure cell: %w", err)
	}
	<-drainCtx.Done()
	d.countJobOutcomes(ctx)
	return d.result(policyName(baseline), s, cost), nil
}
