package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Limits and parameters of a cancellation wave.
const (
	// MaxWaveJobs limits the queued jobs. With payloads and records, this many take about 100 MB in one process.
	MaxWaveJobs = 20_000
	// steadyRequestRate is the steady team's requests per second. At 400/s the requests wait for slots even without a
	// wave, because a slot stays taken until the poll that returns the result.
	steadyRequestRate  = 200
	wavePhaseDuration  = 8 * time.Second
	maxWaveConcurrency = 256
	waveTimeout        = 55 * time.Second
	waveMember         = ident.MemberID("entry-1")
	bulkTeam           = ident.TeamID("bulk")
	steadyTeam         = ident.TeamID("steady")
)

// WaveConfig sets the size and speed of a cancellation wave.
type WaveConfig struct {
	Jobs        int     // queued jobs to cancel
	Concurrency int     // cancellations in flight
	Rate        float64 // cancellations per second; 0 means as fast as the concurrency allows
	Log         logr.Logger
}

// WavePhase holds the queueing times of the steady team's requests sent during one phase.
type WavePhase struct {
	Name       string
	Seconds    float64
	Waiting    Quantiles
	MeanMillis float64
}

// WaveReport holds the measurements of a wave.
type WaveReport struct {
	Jobs            int
	SubmitSeconds   float64
	CancelLatency   Quantiles
	Failed          int // cancellations and requests that returned an error
	WritesPerSecond float64
	Phases          []WavePhase
	Violations      int
}

// waveBundle returns a bundle of two teams and the secrets of their API keys. The limit of the bulk team keeps its jobs
// queued; the requests of the steady team fit without queueing.
func waveBundle(jobs int) (bundle.Bundle, map[ident.TeamID]string, error) {
	b := bundle.Bundle{
		Teams: []bundle.Team{
			{ID: bulkTeam, Share: 1, Limit: 4, ClaimRegion: "sfax", QueueLimit: jobs},
			{ID: steadyTeam, Share: 1, Limit: 80, ClaimRegion: "sfax"},
		},
		Queues: []bundle.Queue{
			{ID: "nightly", Kind: api.KindBatch, Priority: 10, Retries: 3},
			{ID: "quotes", Kind: api.KindRequest, Priority: 10, Deadline: 10_000, Retries: 2},
		},
	}
	secrets := map[ident.TeamID]string{}
	for _, t := range []ident.TeamID{bulkTeam, steadyTeam} {
		var err error
		if b, secrets[t], err = bundle.GrantKey(b, t, "load"); err != nil {
			return b, nil, fmt.Errorf("grant key to %s: %w", t, err)
		}
	}
	return b, secrets, nil
}

// waveRun holds the state of a cancellation wave while it runs.
type waveRun struct {
	config  WaveConfig
	cell    *demo.Cell
	http    *http.Client
	secrets map[ident.TeamID]string

	mu     sync.Mutex
	phase  string
	sent   map[ident.RequestID]sentRequest
	failed int
}

type sentRequest struct {
	sentAt time.Time
	phase  string
}

// RunWave queues jobs of one team, cancels them through the caller API and measures how long another team's requests
// wait to start before, during and after the cancellations.
func RunWave(ctx context.Context, c WaveConfig) (WaveReport, error) {
	if c.Jobs < 1 || c.Jobs > MaxWaveJobs || c.Concurrency < 1 || c.Concurrency > maxWaveConcurrency || c.Rate < 0 {
		return WaveReport{}, fmt.Errorf(
			"invalid wave: %d jobs, concurrency %d, rate %g/s; at most %d jobs and concurrency %d are allowed",
			c.Jobs, c.Concurrency, c.Rate, MaxWaveJobs, maxWaveConcurrency)
	}
	ctx, cancel := context.WithTimeout(ctx, waveTimeout)
	defer cancel()
	b, secrets, err := waveBundle(c.Jobs)
	if err != nil {
		return WaveReport{}, err
	}
	site := demo.Site{Member: waveMember, Region: "sfax", DataCentre: "sfax-a"}
	d := Deployment{sites: []demo.Site{site}, groups: serverGroups([]demo.Site{site}, "quote", 12, 5, resourceVector(16, 32, 0))}
	demoCell, err := demo.Start(ctx, demo.Config{
		Standins: cell.Config{Groups: d.groups, Seed: 1}, Sites: d.sites, Bundle: b, Log: c.Log,
	})
	if err != nil {
		return WaveReport{}, fmt.Errorf("start cell: %w", err)
	}
	defer demoCell.Close()
	w := &waveRun{
		config: c, cell: demoCell, secrets: secrets, sent: map[ident.RequestID]sentRequest{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * maxWaveConcurrency}},
	}
	defer w.http.CloseIdleConnections()
	return w.run(ctx)
}

func (w *waveRun) client(t ident.TeamID) *client.Client {
	return client.New("http://"+w.cell.Daemon(waveMember).CallerAddress(), w.secrets[t], w.http)
}

func (w *waveRun) run(ctx context.Context) (WaveReport, error) {
	r := WaveReport{Jobs: w.config.Jobs}
	startTime := time.Now()
	jobs, err := w.submitJobs(ctx)
	if err != nil {
		return r, err
	}
	r.SubmitSeconds = round(time.Since(startTime).Seconds())
	requestCtx, stopRequests := context.WithCancel(ctx)
	var senders sync.WaitGroup
	senders.Go(func() { w.sendSteadyRequests(requestCtx, ctx) })
	seconds := map[string]float64{}
	runPhase := func(name string, f func()) {
		w.mu.Lock()
		w.phase = name
		w.mu.Unlock()
		phaseStart := time.Now()
		f()
		seconds[name] = round(time.Since(phaseStart).Seconds())
	}
	phases := []string{"warm-up", "before", "wave", "after"}
	runPhase(phases[0], func() { sleep(ctx, wavePhaseDuration/4) })
	runPhase(phases[1], func() { sleep(ctx, wavePhaseDuration) })
	writesBefore := w.cell.Standins.KV.Counts()[platform.CallSwap]
	runPhase(phases[2], func() { r.CancelLatency = w.cancelJobs(ctx, jobs) })
	r.WritesPerSecond = float64(w.cell.Standins.KV.Counts()[platform.CallSwap]-writesBefore) / seconds[phases[2]]
	runPhase(phases[3], func() { sleep(ctx, wavePhaseDuration) })
	stopRequests()
	senders.Wait()
	r.Failed, r.Violations = w.failed, len(w.cell.Standins.Ledger.Violations())
	for _, name := range phases[1:] {
		r.Phases = append(r.Phases, w.measurePhase(name, seconds[name]))
	}
	if err := ctx.Err(); err != nil {
		return r, fmt.Errorf("wave did not finish within %s: %w", waveTimeout, err)
	}
	return r, nil
}

// submitJobs submits the jobs of the bulk team. Their tasks run for longer than waveTimeout.
func (w *waveRun) submitJobs(ctx context.Context) ([]ident.JobID, error) {
	jobs := make([]ident.JobID, w.config.Jobs)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxWaveConcurrency)
	for i := range jobs {
		group.Go(func() error {
			j, err := w.client(bulkTeam).Submit(ctx, api.Spec{
				Team: bulkTeam, Queue: "nightly", Tasks: 1, RunTime: 60_000, Demand: resourceVector(1, 1, 0), Payload: []byte("page"),
			})
			jobs[i] = j.ID
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("submit jobs: %w", err)
	}
	return jobs, nil
}

// sendSteadyRequests sends the steady team's requests at a fixed rate until stopCtx is done, then waits for the answers.
func (w *waveRun) sendSteadyRequests(stopCtx, ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	startTime := time.Now()
	for n := 0; ; n++ {
		select {
		case <-stopCtx.Done():
			return
		case <-time.After(time.Until(startTime.Add(time.Duration(n) * time.Second / steadyRequestRate))):
		}
		id := ident.RequestID(fmt.Sprintf("steady-%d", n))
		w.mu.Lock()
		w.sent[id] = sentRequest{time.Now(), w.phase}
		w.mu.Unlock()
		wg.Go(func() {
			_, err := w.client(steadyTeam).Request(ctx, api.Spec{
				Team: steadyTeam, Queue: "quotes", Request: id, Tasks: 1, RunTime: 20,
				Demand: resourceVector(1, 1, 0), Payload: []byte("bench"),
			})
			w.countFailure(err)
		})
	}
}

func (w *waveRun) countFailure(err error) {
	if err == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed++
}

// cancelJobs cancels the jobs, newest first, so that none of them starts in the meantime. It returns the latencies of
// the cancellations.
func (w *waveRun) cancelJobs(ctx context.Context, jobs []ident.JobID) Quantiles {
	h := newHistogram()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(w.config.Concurrency)
	startTime := time.Now()
	for i := len(jobs) - 1; i >= 0; i-- {
		if w.config.Rate > 0 {
			sleep(ctx, time.Until(startTime.Add(convert.Duration(float64(len(jobs)-1-i)/w.config.Rate*float64(time.Second)))))
		}
		group.Go(func() error {
			from := time.Now()
			_, err := w.client(bulkTeam).Cancel(ctx, jobs[i])
			w.countFailure(err)
			mu.Lock()
			defer mu.Unlock()
			record(h, time.Since(from))
			return nil
		})
	}
	_ = group.Wait()
	return quantiles(h)
}

// measurePhase returns the time from sending to starting of the requests sent during the named phase.
func (w *waveRun) measurePhase(name string, seconds float64) WavePhase {
	h := newHistogram()
	for _, s := range w.cell.Standins.Workers {
		for _, r := range s.Runs() {
			if q, ok := w.sent[r.Request]; ok && q.phase == name {
				record(h, r.Started.Sub(q.sentAt))
			}
		}
	}
	return WavePhase{Name: name, Seconds: seconds, Waiting: quantiles(h), MeanMillis: round(h.Mean() / 1000)}
}

// sleep returns after d, or when ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Print writes the report as a table.
func (r WaveReport) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w,
		"%d jobs queued in %.1f s; cancellation p50/p99 %.1f / %.1f ms; %.1f writes/s during the wave; %d failed, %d violations\n",
		r.Jobs, r.SubmitSeconds, r.CancelLatency.P50, r.CancelLatency.P99, r.WritesPerSecond, r.Failed, r.Violations)
	for _, p := range r.Phases {
		if err == nil {
			_, err = fmt.Fprintf(w, "%-7s %5.1f s, %d starts, waiting mean %.2f, p50/p99/p99.9 %.2f / %.2f / %.2f ms\n",
				p.Name, p.Seconds, p.Waiting.Count, p.MeanMillis, p.Waiting.P50, p.Waiting.P99, p.Waiting.P999)
		}
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
