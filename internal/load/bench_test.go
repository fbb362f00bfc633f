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

// Sizes that the design document expects after two years.
const (
	twoYearServers = 6300
	twoYearTeams   = 110
	twoYearStarts  = 3300
	minDaemons     = 6
	// backlogPerTeam is enough to keep every team backlogged, and so in the fair order, during a benchmark.
	backlogPerTeam = 10
)

var benchKinds = []api.Kind{api.KindRequest, api.KindRequest, api.KindRequest, api.KindBatch, api.KindService}

// schedulingPath is the chain of components that a daemon uses to start a task: fair queue, team limits and placement.
type schedulingPath struct {
	queue      *queue.Queue[api.Kind]
	pool       *placement.Pool
	limits     *limit.Allocator
	random     *rand.Rand
	teams      int
	itemCount  int
	placed     []placement.PlacedAttempt
	notStarted int
}

func teamID(i int) ident.TeamID { return ident.TeamID(fmt.Sprintf("team-%03d", i)) }

func newSchedulingPath(tb testing.TB, servers, teams int) *schedulingPath {
	tb.Helper()
	s := &schedulingPath{random: rand.New(rand.NewPCG(1, uint64(servers))), teams: teams}
	self := member.Member{ID: "entry-1", Incarnation: 1, Region: "r", DataCentre: "dc-0", State: member.Active}
	list := make([]ident.TeamID, teams)
	for i := range list {
		list[i] = teamID(i)
	}
	var err error
	s.limits, err = limit.New(limit.Config{
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
	go func() { defer close(done); _ = s.limits.Run(ctx) }()
	tb.Cleanup(func() { stop(); <-done })
	s.pool, err = placement.New(placement.Config{Seed: 1, Now: time.Now})
	if err != nil {
		tb.Fatal(err)
	}
	s.attachServers(servers)
	s.queue, err = queue.New[api.Kind](queue.Config{
		MaxItems: func(ident.TeamID) int { return 1 << 20 }, Weight: func(ident.TeamID) float64 { return 1 },
		DominantShare: func(ident.TeamID) float64 { return 0 }, Now: time.Now,
	})
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// attachServers adds servers in racks of five over three data centres; every fourth server has GPUs.
func (s *schedulingPath) attachServers(servers int) {
	for i := range servers {
		capacity := resourceVector(16, 32, 0)
		if i%4 == 3 {
			capacity = resourceVector(64, 128, 8)
		}
		s.pool.Attach(platform.Host{
			ID: ident.HostID(fmt.Sprintf("host-%05d", i)), Region: "r", DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", i/5%3)),
			Rack: ident.Rack(fmt.Sprintf("rack-%d", i/5)), State: platform.HostLive,
		}, backend.Inventory{Capacity: capacity})
	}
}

func (s *schedulingPath) newItem() queue.Item[api.Kind] {
	s.itemCount++
	kind := benchKinds[s.random.IntN(len(benchKinds))]
	return queue.Item[api.Kind]{
		Key: fmt.Sprintf("job-%024d/%d", s.itemCount, 0), Team: teamID(s.random.IntN(s.teams)), Queue: "queue", Kind: kind, Value: kind,
		Demand: resource.Vector{
			CPU: resource.MilliCPU(250 * (1 + s.random.IntN(16))), Memory: resource.Megabytes(256 * (1 + s.random.IntN(32))),
			Slots: 1, Connections: 1,
		},
	}
}

// prepareLoad occupies three quarters of the slots and queues a backlog for every team.
func (s *schedulingPath) prepareLoad(tb testing.TB, servers int) {
	tb.Helper()
	for range 6 * servers {
		i := s.newItem()
		if p, err := s.pool.Place(s.placementRequest(i)); err == nil {
			s.placed = append(s.placed, p)
		}
	}
	for t := range s.teams {
		for range backlogPerTeam {
			i := s.newItem()
			i.Team = teamID(t)
			if err := s.queue.Push(i); err != nil {
				tb.Fatal(err)
			}
		}
	}
	// A team's first reservation fails and makes the background loop fetch an allocation of the team's limit.
	deadline := time.Now().Add(10 * time.Second)
	for t := range s.teams {
		for !s.limits.Reserve(teamID(t), 1) {
			if time.Now().After(deadline) {
				tb.Fatal("a team has no allocation of its limit after 10 s")
			}
			time.Sleep(time.Millisecond)
		}
		s.limits.Release(teamID(t), 1)
	}
}

func (s *schedulingPath) placementRequest(i queue.Item[api.Kind]) placement.Request {
	return placement.Request{
		Attempt: ident.AttemptID(i.Key + "-attempt"), Job: ident.JobID(i.Key), Team: i.Team, Queue: i.Queue, Kind: i.Kind,
		Demand: i.Demand,
	}
}

// scheduleOne dequeues and places one item. It returns false when no item could be placed.
func (s *schedulingPath) scheduleOne() bool {
	ok := false
	s.queue.Offer(func(i queue.Item[api.Kind]) queue.Verdict {
		if ok {
			return queue.Stop
		}
		if !s.limits.Reserve(i.Team, 1) {
			return queue.SkipTeam
		}
		p, err := s.pool.Place(s.placementRequest(i))
		if err != nil {
			s.limits.Release(i.Team, 1)
			return queue.Skip
		}
		s.placed = append(s.placed, p)
		ok = true
		return queue.Taken
	})
	if !ok {
		s.notStarted++
	}
	return ok
}

// replaceTask ends a random task and queues a new item, which keeps the load constant.
func (s *schedulingPath) replaceTask() {
	if len(s.placed) > 0 {
		at := s.random.IntN(len(s.placed))
		p := s.placed[at]
		s.placed[at] = s.placed[len(s.placed)-1]
		s.placed = s.placed[:len(s.placed)-1]
		s.pool.Release(p.Host, p.Task.Attempt)
		if _, used := s.limits.Allocation(p.Task.Team); used > 0 {
			s.limits.Release(p.Task.Team, 1)
		}
	}
	_ = s.queue.Push(s.newItem())
}

// BenchmarkDecision measures one start through queue.Offer, limits.Reserve and pool.Place, with a backlog for every team
// and three quarters of the slots occupied.
func BenchmarkDecision(b *testing.B) {
	for _, teams := range []int{6, twoYearTeams} {
		for _, servers := range []int{48, 800, 1600, 3200, twoYearServers} {
			b.Run(fmt.Sprintf("teams=%d/servers=%d", teams, servers), func(b *testing.B) {
				d := newSchedulingPath(b, servers, teams)
				d.prepareLoad(b, servers)
				h := newHistogram()
				var totalTime time.Duration
				for b.Loop() {
					d.replaceTask()
					startTime := time.Now()
					d.scheduleOne()
					elapsed := time.Since(startTime)
					totalTime += elapsed
					_ = h.RecordValue(max(1, elapsed.Nanoseconds()))
				}
				b.ReportMetric(float64(totalTime.Nanoseconds())/float64(b.N), "decision-ns/op")
				b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ns")
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
				b.ReportMetric(float64(d.notStarted)/float64(b.N), "not-started/op")
			})
		}
	}
}

// BenchmarkPeak schedules 3,300 starts/s over six daemons at the two-year size. Latency counts from the time at which a
// start was due, so it includes the delay caused by slow earlier decisions (no coordinated omission).
func BenchmarkPeak(b *testing.B) {
	daemons := make([]*schedulingPath, minDaemons)
	for i := range daemons {
		daemons[i] = newSchedulingPath(b, twoYearServers/minDaemons, twoYearTeams)
		daemons[i].prepareLoad(b, twoYearServers/minDaemons)
	}
	runtime.GC()
	latencies, decisionTimes := make([]int64, 0, b.N), make([]int64, 0, b.N)
	var mu sync.Mutex
	b.ResetTimer()
	startTime := time.Now()
	cpuAtStart := cpuTime()
	var wg sync.WaitGroup
	for _, d := range daemons {
		wg.Go(func() {
			const meanGap = time.Second * minDaemons / twoYearStarts
			daemonLatencies, daemonDecisionTimes := make([]int64, 0, b.N/minDaemons), make([]int64, 0, b.N/minDaemons)
			due := startTime
			for range b.N / minDaemons {
				due = due.Add(time.Duration(d.random.ExpFloat64() * float64(meanGap)))
				time.Sleep(time.Until(due))
				d.replaceTask()
				decisionStart := time.Now()
				d.scheduleOne()
				daemonLatencies = append(daemonLatencies, time.Since(due).Microseconds())
				daemonDecisionTimes = append(daemonDecisionTimes, time.Since(decisionStart).Microseconds())
			}
			mu.Lock()
			latencies, decisionTimes = append(latencies, daemonLatencies...), append(decisionTimes, daemonDecisionTimes...)
			mu.Unlock()
		})
	}
	wg.Wait()
	b.StopTimer()
	h := newHistogram()
	for _, us := range latencies {
		record(h, time.Duration(us)*time.Microsecond)
	}
	decisionHistogram := newHistogram()
	for _, us := range decisionTimes {
		record(decisionHistogram, time.Duration(us)*time.Microsecond)
	}
	b.ReportMetric(quantiles(decisionHistogram).P99, "decision-p99-ms")
	b.ReportMetric(quantiles(decisionHistogram).P999, "decision-p99.9-ms")
	notStarted := 0
	for _, d := range daemons {
		notStarted += d.notStarted
	}
	seconds := time.Since(startTime).Seconds()
	b.ReportMetric(float64(len(latencies))/seconds, "starts/s")
	b.ReportMetric(quantiles(h).P50, "p50-ms")
	b.ReportMetric(quantiles(h).P99, "p99-ms")
	b.ReportMetric(quantiles(h).P999, "p99.9-ms")
	b.ReportMetric(float64(notStarted)/float64(max(1, b.N)), "not-started/op")
	b.ReportMetric((cpuTime()-cpuAtStart).Seconds()/seconds/minDaemons, "cores/daemon")
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkState reports the heap that each backend server, running task and queued job takes, and each team in the queue
// and the limits.
func BenchmarkState(b *testing.B) {
	const servers, queued = 6300, 20_000
	for b.Loop() {
		base := heapBytes()
		d := newSchedulingPath(b, servers, twoYearTeams)
		attached := heapBytes()
		for range 6 * servers {
			if p, err := d.pool.Place(d.placementRequest(d.newItem())); err == nil {
				d.placed = append(d.placed, p)
			}
		}
		tasks := len(d.placed)
		d.placed = nil
		loaded := heapBytes()
		for t := range twoYearTeams {
			d.limits.Reserve(teamID(t), 0)
			i := d.newItem()
			i.Team = teamID(t)
			_ = d.queue.Push(i)
		}
		teams := heapBytes()
		for range queued {
			_ = d.queue.Push(d.newItem())
		}
		full := heapBytes()
		b.ReportMetric((attached-base)/servers, "B/server")
		b.ReportMetric((loaded-attached)/float64(tasks), "B/task")
		b.ReportMetric((teams-loaded)/twoYearTeams, "B/team")
		b.ReportMetric((full-teams)/queued, "B/queued")
		runtime.KeepAlive(d)
	}
}
