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
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Bounds of a cancellation wave.
const (
	// MaxWaveJobs bounds the queued jobs; with payloads and records they take about 100 MB in one process.
	MaxWaveJobs = 20_000
	// waveRate is the rate of the other team's requests per second. At 400 /s they waited for slots also without a wave,
	// because a slot is held until the poll that brings the result.
	waveRate       = 200
	waveQuiet      = 8 * time.Second
	waveSubmitters = 256
	waveDeadline   = 55 * time.Second
	waveSite       = ident.MemberID("entry-1")
	waveTeam       = ident.TeamID("bulk")
	steadyTeam     = ident.TeamID("steady")
)

// WaveConfig describes a wave.
type WaveConfig struct {
	Jobs        int     // queued jobs to cancel
	Concurrency int     // cancellations under way at a time
	Rate        float64 // cancellations per second; 0 means as fast as the concurrency allows
	Log         logr.Logger
}

// WavePhase is the waiting time of the other team's requests during one phase.
type WavePhase struct {
	Name    string
	Seconds float64
	Waiting Quantiles
	Mean    float64 // milliseconds
}

// WaveReport is the result of a wave.
type WaveReport struct {
	Jobs       int
	Submitted  float64 // seconds
	Cancelled  Quantiles
	Failed     int // cancellations and requests with an error
	Writes     float64
	Phases     []WavePhase
	Violations int
}

// waveBundle has one team whose limit keeps its jobs queued, and one whose requests find room at once.
func waveBundle(jobs int) (bundle.Bundle, map[ident.TeamID]string, error) {
	b := bundle.Bundle{
		Teams: []bundle.Team{
			{ID: waveTeam, Share: 1, Limit: 4, ClaimRegion: "sfax", QueueLimit: jobs},
			{ID: steadyTeam, Share: 1, Limit: 80, ClaimRegion: "sfax"},
		},
		Queues: []bundle.Queue{
			{ID: "nightly", Kind: api.KindBatch, Priority: 10, Retries: 3},
			{ID: "quotes", Kind: api.KindRequest, Priority: 10, Deadline: 10_000, Retries: 2},
		},
	}
	secrets := map[ident.TeamID]string{}
	for _, t := range []ident.TeamID{waveTeam, steadyTeam} {
		var err error
		if b, secrets[t], err = bundle.GrantKey(b, t, "load"); err != nil {
			return b, nil, fmt.Errorf("grant key to %s: %w", t, err)
		}
	}
	return b, secrets, nil
}

// wave is a run under way.
type wave struct {
	config WaveConfig
	cell   *demo.Cell
	http   *http.Client
	keys   map[ident.TeamID]string

	mu     sync.Mutex
	phase  string
	sent   map[ident.RequestID]sentRequest
	failed int
}

type sentRequest struct {
	at    time.Time
	phase string
}

// RunWave queues jobs of one team, cancels them through the caller API and measures how long another team's requests
// wait for their starts before, during and after the wave.
func RunWave(ctx context.Context, c WaveConfig) (WaveReport, error) {
	if c.Jobs < 1 || c.Jobs > MaxWaveJobs || c.Concurrency < 1 || c.Concurrency > waveSubmitters || c.Rate < 0 {
		return WaveReport{}, fmt.Errorf("%d jobs, %d at a time, %g/s: at most %d and %d are allowed",
			c.Jobs, c.Concurrency, c.Rate, MaxWaveJobs, waveSubmitters)
	}
	ctx, cancel := context.WithTimeout(ctx, waveDeadline)
	defer cancel()
	b, keys, err := waveBundle(c.Jobs)
	if err != nil {
		return WaveReport{}, err
	}
	site := demo.Site{Member: waveSite, Region: "sfax", DataCentre: "sfax-a"}
	d := Deployment{sites: []demo.Site{site}, groups: groups([]demo.Site{site}, "quote", 12, 5, vector(16, 32, 0))}
	started, err := demo.Start(ctx, demo.Config{
		Standins: cell.Config{Groups: d.groups, Seed: 1}, Sites: d.sites, Bundle: b, Log: c.Log,
	})
	if err != nil {
		return WaveReport{}, fmt.Errorf("start cell: %w", err)
	}
	defer started.Close()
	w := &wave{
		config: c, cell: started, keys: keys, sent: map[ident.RequestID]sentRequest{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * waveSubmitters}},
	}
	defer w.http.CloseIdleConnections()
	return w.run(ctx)
}

func (w *wave) client(t ident.TeamID) *client.Client {
	return client.New("http://"+w.cell.Daemon(waveSite).CallerAddress(), w.keys[t], w.http)
}

func (w *wave) run(ctx context.Context) (WaveReport, error) {
	r := WaveReport{Jobs: w.config.Jobs}
	begun := time.Now()
	jobs, err := w.submit(ctx)
	if err != nil {
		return r, err
	}
	r.Submitted = round(time.Since(begun).Seconds())
	requests, stop := context.WithCancel(ctx)
	var steady sync.WaitGroup
	steady.Go(func() { w.requests(requests, ctx) })
	seconds := map[string]float64{}
	during := func(name string, f func()) {
		w.mu.Lock()
		w.phase = name
		w.mu.Unlock()
		from := time.Now()
		f()
		seconds[name] = round(time.Since(from).Seconds())
	}
	names := []string{"warm-up", "before", "wave", "after"}
	during(names[0], func() { sleepFor(ctx, waveQuiet/4) })
	during(names[1], func() { sleepFor(ctx, waveQuiet) })
	swaps := w.cell.Standins.KV.Counts()[platform.CallSwap]
	during(names[2], func() { r.Cancelled = w.cancel(ctx, jobs) })
	r.Writes = float64(w.cell.Standins.KV.Counts()[platform.CallSwap]-swaps) / seconds[names[2]]
	during(names[3], func() { sleepFor(ctx, waveQuiet) })
	stop()
	steady.Wait()
	r.Failed, r.Violations = w.failed, len(w.cell.Standins.Ledger.Violations())
	for _, name := range names[1:] {
		r.Phases = append(r.Phases, w.measure(name, seconds[name]))
	}
	if err := ctx.Err(); err != nil {
		return r, fmt.Errorf("the wave did not end in %s: %w", waveDeadline, err)
	}
	return r, nil
}

// submit queues the jobs; their tasks run longer than the wave lasts.
func (w *wave) submit(ctx context.Context) ([]ident.JobID, error) {
	jobs := make([]ident.JobID, w.config.Jobs)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(waveSubmitters)
	for i := range jobs {
		group.Go(func() error {
			j, err := w.client(waveTeam).Submit(ctx, api.Spec{
				Team: waveTeam, Queue: "nightly", Tasks: 1, RunTime: 60_000, Demand: vector(1, 1, 0), Payload: []byte("page"),
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

// requests sends the other team's requests at a fixed rate until the first context ends.
func (w *wave) requests(until, ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	begun := time.Now()
	for n := 0; ; n++ {
		select {
		case <-until.Done():
			return
		case <-time.After(time.Until(begun.Add(time.Duration(n) * time.Second / waveRate))):
		}
		id := ident.RequestID(fmt.Sprintf("steady-%d", n))
		w.mu.Lock()
		w.sent[id] = sentRequest{time.Now(), w.phase}
		w.mu.Unlock()
		wg.Go(func() {
			_, err := w.client(steadyTeam).Request(ctx, api.Spec{
				Team: steadyTeam, Queue: "quotes", Request: id, Tasks: 1, RunTime: 20, Demand: vector(1, 1, 0), Payload: []byte("bench"),
			})
			w.fail(err)
		})
	}
}

func (w *wave) fail(err error) {
	if err == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed++
}

// cancel cancels the jobs, the newest first, so that none of them starts on the way.
func (w *wave) cancel(ctx context.Context, jobs []ident.JobID) Quantiles {
	h := newHistogram()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(w.config.Concurrency)
	begun := time.Now()
	for i := len(jobs) - 1; i >= 0; i-- {
		if w.config.Rate > 0 {
			sleepFor(ctx, time.Until(begun.Add(time.Duration(float64(len(jobs)-1-i)/w.config.Rate*float64(time.Second)))))
		}
		group.Go(func() error {
			from := time.Now()
			_, err := w.client(waveTeam).Cancel(ctx, jobs[i])
			w.fail(err)
			mu.Lock()
			defer mu.Unlock()
			record(h, time.Since(from))
			return nil
		})
	}
	_ = group.Wait()
	return quantiles(h)
}

// measure returns the waiting times from sending to the first start of the requests sent in a phase.
func (w *wave) measure(name string, seconds float64) WavePhase {
	h := newHistogram()
	for _, s := range w.cell.Standins.Workers {
		for _, r := range s.Runs() {
			if q, ok := w.sent[r.Request]; ok && q.phase == name {
				record(h, r.Started.Sub(q.at))
			}
		}
	}
	return WavePhase{Name: name, Seconds: seconds, Waiting: quantiles(h), Mean: round(h.Mean() / 1000)}
}

// sleepFor waits until the time has passed or the context ends.
func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Print writes the report as a table.
func (r WaveReport) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d jobs queued in %.1f s; cancellation p50/p99 %.1f / %.1f ms; %.1f writes/s during the wave; %d failed, %d violations\n",
		r.Jobs, r.Submitted, r.Cancelled.P50, r.Cancelled.P99, r.Writes, r.Failed, r.Violations)
	for _, p := range r.Phases {
		if err == nil {
			_, err = fmt.Fprintf(w, "%-7s %5.1f s, %d starts, waiting mean %.2f, p50/p99/p99.9 %.2f / %.2f / %.2f ms\n",
				p.Name, p.Seconds, p.Waiting.Count, p.Mean, p.Waiting.P50, p.Waiting.P99, p.Waiting.P999)
		}
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
