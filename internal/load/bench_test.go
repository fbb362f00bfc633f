package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/limit"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Sizes of the design page at two years.
const (
	twoYearServers = 6300
	twoYearTeams   = 110
	twoYearStarts  = 3300
	fewestDaemons  = 6
	// backlogPerTeam keeps every team in the fair order during a benchmark.
	backlogPerTeam = 10
)

var benchKinds = []api.Kind{api.KindRequest, api.KindRequest, api.KindRequest, api.KindBatch, api.KindService}

// decider is the path of a decision in one daemon: order, limit and placement.
type decider struct {
	queue  *queue.Queue[api.Kind]
	pool   *placement.Pool
	limits *limit.Allocator
	random *rand.Rand
	teams  int
	serial int
	placed []placement.PlacedAttempt
	failed int
}

func teamID(i int) ident.TeamID { return ident.TeamID(fmt.Sprintf("team-%03d", i)) }

func newDecider(tb testing.TB, servers, teams int) *decider {
	tb.Helper()
	d := &decider{random: rand.New(rand.NewPCG(1, uint64(servers))), teams: teams}
	self := member.Member{ID: "entry-1", Incarnation: 1, Region: "r", DataCentre: "dc-0", State: member.Active}
	list := make([]ident.TeamID, teams)
	for i := range list {
		list[i] = teamID(i)
	}
	var err error
	d.limits, err = limit.New(limit.Config{
		Store: kv.New(kv.Config{}).Store(), Self: func() member.Member { return self },
		View:  func() member.View { return member.View{Epoch: 1, Members: []member.Member{self}} },
		Limit: func(ident.TeamID) (int, bool) { return 8 * servers, true },
		Teams: func() []ident.TeamID { return list },
		Request: func(context.Context, ident.MemberID, wire.LimitRequest) (wire.LimitReply, error) {
			return wire.LimitReply{}, nil
		},
		Interval: 20 * time.Millisecond, Now: time.Now, Log: logr.Discard(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = d.limits.Run(ctx) }()
	tb.Cleanup(func() { stop(); <-done })
	d.pool, err = placement.New(placement.Config{Seed: 1, Now: time.Now})
	if err != nil {
		tb.Fatal(err)
	}
	d.attach(servers)
	d.queue, err = queue.New[api.Kind](queue.Config{
		MaxItems: func(ident.TeamID) int { return 1 << 20 }, Weight: func(ident.TeamID) float64 { return 1 },
		DominantShare: func(ident.TeamID) float64 { return 0 }, Now: time.Now,
	})
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// attach adds servers of which every fourth has GPUs, five to a rack, in three data centres.
func (d *decider) attach(servers int) {
	for i := range servers {
		capacity := vector(16, 32, 0)
		if i%4 == 3 {
			capacity = vector(64, 128, 8)
		}
		d.pool.Attach(platform.Host{
			ID: ident.HostID(fmt.Sprintf("host-%05d", i)), Region: "r", DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", i/5%3)),
			Rack: ident.Rack(fmt.Sprintf("rack-%d", i/5)), State: platform.HostLive,
		}, backend.Inventory{Capacity: capacity})
	}
}

func (d *decider) item() queue.Item[api.Kind] {
	d.serial++
	kind := benchKinds[d.random.IntN(len(benchKinds))]
	return queue.Item[api.Kind]{
		Key: fmt.Sprintf("job-%024d/%d", d.serial, 0), Team: teamID(d.random.IntN(d.teams)), Queue: "queue", Kind: kind, Value: kind,
		Demand: resource.Vector{
			CPU: resource.MilliCPU(250 * (1 + d.random.IntN(16))), Memory: resource.Megabytes(256 * (1 + d.random.IntN(32))),
			Slots: 1, Connections: 1,
		},
	}
}

// fill loads three quarters of the slots and then queues a backlog for every team.
func (d *decider) fill(tb testing.TB, servers int) {
	tb.Helper()
	for range 6 * servers {
		i := d.item()
		if p, err := d.pool.Place(d.request(i)); err == nil {
			d.placed = append(d.placed, p)
		}
	}
	for t := range d.teams {
		for range backlogPerTeam {
			i := d.item()
			i.Team = teamID(t)
			if err := d.queue.Push(i); err != nil {
				tb.Fatal(err)
			}
		}
	}
	// The first reservation of a team fails and makes the background loop fetch its part of the limit.
	deadline := time.Now().Add(10 * time.Second)
	for t := range d.teams {
		for !d.limits.Reserve(teamID(t), 1) {
			if time.Now().After(deadline) {
				tb.Fatal("no part of the limit")
			}
			time.Sleep(time.Millisecond)
		}
		d.limits.Release(teamID(t), 1)
	}
}

func (d *decider) request(i queue.Item[api.Kind]) placement.Request {
	return placement.Request{
		Attempt: ident.AttemptID(i.Key + "-attempt"), Job: ident.JobID(i.Key), Team: i.Team, Queue: i.Queue, Kind: i.Kind, Demand: i.Demand,
	}
}

// decide takes one queued item and places it, and returns false when nothing could be started.
func (d *decider) decide() bool {
	ok := false
	d.queue.Offer(func(i queue.Item[api.Kind]) queue.Verdict {
		if ok {
			return queue.Stop
		}
		if !d.limits.Reserve(i.Team, 1) {
			return queue.SkipTeam
		}
		p, err := d.pool.Place(d.request(i))
		if err != nil {
			d.limits.Release(i.Team, 1)
			return queue.Skip
		}
		d.placed = append(d.placed, p)
		ok = true
		return queue.Taken
	})
	if !ok {
		d.failed++
	}
	return ok
}

// turnover ends a random task and queues a new item, so that the load stays the same.
func (d *decider) turnover() {
	if len(d.placed) > 0 {
		at := d.random.IntN(len(d.placed))
		p := d.placed[at]
		d.placed[at] = d.placed[len(d.placed)-1]
		d.placed = d.placed[:len(d.placed)-1]
		d.pool.Release(p.Host, p.Task.Attempt)
		if _, used := d.limits.Allocation(p.Task.Team); used > 0 {
			d.limits.Release(p.Task.Team, 1)
		}
	}
	_ = d.queue.Push(d.item())
}

// BenchmarkDecision measures queue Next, limit Reserve and placement Pick for one start, with a backlog of every team
// and three quarters of the slots taken.
func BenchmarkDecision(b *testing.B) {
	for _, teams := range []int{6, twoYearTeams} {
		for _, servers := range []int{48, 800, 1600, 3200, twoYearServers} {
			b.Run(fmt.Sprintf("teams=%d/servers=%d", teams, servers), func(b *testing.B) {
				d := newDecider(b, servers, teams)
				d.fill(b, servers)
				h := newHistogram()
				var spent time.Duration
				for b.Loop() {
					d.turnover()
					begun := time.Now()
					d.decide()
					took := time.Since(begun)
					spent += took
					_ = h.RecordValue(max(1, took.Nanoseconds()))
				}
				b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N), "decision-ns/op")
				b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ns")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
				b.ReportMetric(float64(d.failed)/float64(b.N), "not-started/op")
			})
		}
	}
}

// BenchmarkPeak decides 3,300 starts/s over six daemons at the two-year size. The latency counts from the time at
// which the start was due, so a decision that holds up the next ones shows in theirs.
func BenchmarkPeak(b *testing.B) {
	daemons := make([]*decider, fewestDaemons)
	for i := range daemons {
		daemons[i] = newDecider(b, twoYearServers/fewestDaemons, twoYearTeams)
		daemons[i].fill(b, twoYearServers/fewestDaemons)
	}
	runtime.GC()
	histograms, decisions := make([]int64, 0, b.N), make([]int64, 0, b.N)
	var mu sync.Mutex
	b.ResetTimer()
	begun := time.Now()
	processor := processorTime()
	var wg sync.WaitGroup
	for _, d := range daemons {
		wg.Go(func() {
			const gap = time.Second * fewestDaemons / twoYearStarts
			took, alone := make([]int64, 0, b.N/fewestDaemons), make([]int64, 0, b.N/fewestDaemons)
			next := begun
			for range b.N / fewestDaemons {
				next = next.Add(time.Duration(d.random.ExpFloat64() * float64(gap)))
				time.Sleep(time.Until(next))
				d.turnover()
				started := time.Now()
				d.decide()
				took = append(took, time.Since(next).Microseconds())
				alone = append(alone, time.Since(started).Microseconds())
			}
			mu.Lock()
			histograms, decisions = append(histograms, took...), append(decisions, alone...)
			mu.Unlock()
		})
	}
	wg.Wait()
	b.StopTimer()
	h := newHistogram()
	for _, us := range histograms {
		record(h, time.Duration(us)*time.Microsecond)
	}
	own := newHistogram()
	for _, us := range decisions {
		record(own, time.Duration(us)*time.Microsecond)
	}
	b.ReportMetric(quantiles(own).P99, "decision-p99-ms")
	b.ReportMetric(quantiles(own).P999, "decision-p99.9-ms")
	failed := 0
	for _, d := range daemons {
		failed += d.failed
	}
	seconds := time.Since(begun).Seconds()
	b.ReportMetric(float64(len(histograms))/seconds, "starts/s")
	b.ReportMetric(quantiles(h).P50, "p50-ms")
	b.ReportMetric(quantiles(h).P99, "p99-ms")
	b.ReportMetric(quantiles(h).P999, "p99.9-ms")
	b.ReportMetric(float64(failed)/float64(max(1, b.N)), "not-started/op")
	b.ReportMetric((processorTime()-processor).Seconds()/seconds/fewestDaemons, "cores/daemon")
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkState reports the heap per backend server, running task, queued job and team in queue and limits.
func BenchmarkState(b *testing.B) {
	const servers, queued = 6300, 20_000
	for b.Loop() {
		base := heapBytes()
		d := newDecider(b, servers, twoYearTeams)
		attached := heapBytes()
		for range 6 * servers {
			if p, err := d.pool.Place(d.request(d.item())); err == nil {
				d.placed = append(d.placed, p)
			}
		}
		tasks := len(d.placed)
		d.placed = nil
		loaded := heapBytes()
		for t := range twoYearTeams {
			d.limits.Reserve(teamID(t), 0)
			i := d.item()
			i.Team = teamID(t)
			_ = d.queue.Push(i)
		}
		teams := heapBytes()
		for range queued {
			_ = d.queue.Push(d.item())
		}
		full := heapBytes()
		b.ReportMetric((attached-base)/servers, "B/server")
		b.ReportMetric((loaded-attached)/float64(tasks), "B/task")
		b.ReportMetric((teams-loaded)/twoYearTeams, "B/team")
		b.ReportMetric((full-teams)/queued, "B/queued")
		runtime.KeepAlive(d)
	}
}
