package sched

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// workload describes one kind of jobs of a simulated load.
type workload struct {
	queue          Queue
	rate           float64 // jobs per second
	burst          float64 // multiple of the rate during the burst
	steps          int     // steps of a job, one after the other
	width          int     // mean number of tasks of a step
	demand         resource.Vector
	gpus           []resource.Count // if any, one of them is drawn for each job
	work           time.Duration
	gang           bool
	allowedPercent uint32 // percentage of the servers that the advisor allows
}

// loadSimulation drives a scheduler through a load in virtual time, with healthy servers, advisors that accept a limited
// number of calls at once, and a store that replies in a few milliseconds.
type loadSimulation struct {
	s                *Scheduler
	now              time.Time
	random           *rand.Rand
	events           eventHeap
	eventCount       int
	servers          map[ServerID]*simulatedServer
	freeAdvisorCalls int
	jobs             map[ident.JobID]*simulatedJob
	starts           int
	// allowedPercent is the percentage of the servers that the advisor of a queue allows.
	allowedPercent map[ident.QueueID]uint32
	// moreWork returns the work of a task as a multiple of the usual one; nil means that all tasks have the usual work.
	moreWork    func(TaskID) float64
	stopped     []stoppedRun
	t           *testing.T // nil in benchmarks, which check no invariants
	checkpoints simulatedCheckpoints
}

type simulatedJob struct {
	kind         string
	weight       float64 // 0.3 plus 0.7 times its number of tasks relative to the usual number
	large        bool    // one of the largest of its kind
	objective    time.Time
	uselessAfter time.Time // lateFactor times the objective, after which the job is of no use
	done         time.Time
}

type timedEvent struct {
	at       time.Time
	sequence int
	do       func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	oneWayDelay    = 2 * time.Millisecond // one-way delay to a server or the store
	passInterval   = 4 * time.Millisecond // interval of scheduling passes
	recordInterval = 20 * time.Millisecond
)

func newLoadSimulation(seed uint64, maxAdvisorCalls int, kinds []workload, servers []Server) *loadSimulation {
	p := &loadSimulation{
		now: epochStart, random: rand.New(rand.NewPCG(seed, 2)), freeAdvisorCalls: maxAdvisorCalls, servers: map[ServerID]*simulatedServer{},
		jobs: map[ident.JobID]*simulatedJob{}, allowedPercent: map[ident.QueueID]uint32{},
	}
	p.s = New(Options{
		RunLease: 4 * time.Second, PollWait: time.Second, MaxStopTime: 200 * time.Millisecond, Retention: time.Hour,
	}, p.now)
	c := Config{Queues: map[ident.QueueID]Queue{}}
	for _, k := range kinds {
		c.Queues[k.queue.ID] = k.queue
		p.allowedPercent[k.queue.ID] = k.allowedPercent
	}
	p.s.Configure(p.now, c)
	for _, v := range servers {
		p.servers[v.ID] = &simulatedServer{runs: map[runKey]time.Time{}, took: map[runKey]time.Duration{}}
		p.s.Register(p.now, v)
		recordServers(p.s)
	}
	p.every(passInterval, func() {
		p.s.Schedule(p.now)
		p.requestAdvice()
	})
	p.every(100*time.Millisecond, func() { p.s.Tick(p.now) })
	p.every(time.Second, p.checkInvariants)
	p.every(recordInterval, func() {
		if u := p.s.TakeProgressUpdates(1000); len(u) > 0 {
			p.after(2*oneWayDelay, func() { p.s.ProgressWritten(p.now, u) })
		}
	})
	return p
}

func (p *loadSimulation) after(d time.Duration, do func()) {
	p.eventCount++
	heap.Push(&p.events, timedEvent{p.now.Add(d), p.eventCount, do})
}

func (p *loadSimulation) every(d time.Duration, do func()) {
	p.after(d, func() {
		do()
		p.every(d, do)
	})
}

// addArrivals schedules jobs of a kind that arrive over a time, at a higher rate during the burst.
func (p *loadSimulation) addArrivals(k workload, duration, burstFrom, burstTo time.Duration) {
	at := time.Duration(0)
	for n := 0; at < duration; n++ {
		rate := k.rate
		if at >= burstFrom && at < burstTo {
			rate *= k.burst
		}
		at += time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
		id := ident.JobID(fmt.Sprintf("%s-%05d", k.queue.ID, n))
		p.after(at, func() { p.submit(k, id) })
	}
}

func (p *loadSimulation) submit(k workload, id ident.JobID) {
	j := &Job{ID: id, Queue: k.queue, Payload: "p", Accepted: p.now}
	demand := k.demand
	if len(k.gpus) > 0 {
		demand.GPUs = k.gpus[p.random.IntN(len(k.gpus))]
	}
	for i := range k.steps {
		step := Step{
			Count: 1 + p.random.IntN(2*k.width-1), Demand: demand, Estimate: k.work, Image: string(k.queue.ID), Gang: k.gang,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	chain := time.Duration(k.steps) * (k.work + k.queue.Advisor.CallTime(maxServersPerCall))
	objective := scale(chain, k.queue.Stretch) + k.queue.Target
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.Count
	}
	size := float64(tasks) / float64(k.steps*k.width)
	p.jobs[id] = &simulatedJob{
		weight: 0.3 + 0.7*size, large: size > 1.6, kind: string(k.queue.ID), objective: p.now.Add(objective),
		uselessAfter: p.now.Add(lateFactor * objective),
	}
	p.s.AddJob(p.now, j, Progress{}, false)
}

func (p *loadSimulation) requestAdvice() {
	for p.freeAdvisorCalls > 0 {
		request, ok := p.s.NextAdviceRequest(p.now, 0, 0)
		if !ok {
			return
		}
		p.freeAdvisorCalls--
		p.after(request.Cost+2*oneWayDelay, func() {
			p.freeAdvisorCalls++
			p.s.AdviceReceived(p.now, request, p.granted(request), p.now)
			p.requestAdvice()
		})
	}
}

// granted returns the tickets of an advisor whose answer for a step and a server never changes.
func (p *loadSimulation) granted(request AdviceRequest) map[ServerID]Ticket {
	out := map[ServerID]Ticket{}
	for _, id := range request.Servers {
		h := fnv.New32a()
		_, _ = fmt.Fprintf(h, "%s %d %s", request.Job, request.Step, id)
		if h.Sum32()%100 < p.allowedPercent[p.s.jobs[request.Job].spec.Queue.ID] {
			out[id] = "t"
		}
	}
	return out
}

// run runs the simulation up to a virtual time.
func (p *loadSimulation) run(until time.Duration) {
	for len(p.events) > 0 && p.events[0].at.Sub(epochStart) < until {
		e := heap.Pop(&p.events).(timedEvent)
		p.now = e.at
		e.do()
		p.deliverCommands()
	}
}

// usefulShare returns the weighted share of the jobs of each kind that were on time. A late job counts a fifth.
func (p *loadSimulation) usefulShare() map[string]float64 {
	useful, total := map[string]float64{}, map[string]float64{}
	for _, j := range p.jobs {
		if p.now.Before(j.uselessAfter) && j.done.IsZero() {
			continue // may still be on time or late
		}
		kinds := []string{j.kind}
		if j.large {
			kinds = append(kinds, j.kind+" large")
		}
		for _, kind := range kinds {
			total[kind] += j.weight
			switch {
			case j.done.IsZero() || j.done.After(j.uselessAfter):
			case j.done.After(j.objective):
				useful[kind] += 0.2 * j.weight
			default:
				useful[kind] += j.weight
			}
		}
	}
	for kind := range total {
		useful[kind] /= total[kind]
	}
	return useful
}

// advisedQueue returns a queue whose advisor takes 1/70 of its base time longer for each server in a call.
func advisedQueue(
	id ident.QueueID, service ServiceID, priority int, stretch float64, target, decide, valid time.Duration,
) Queue {
	return Queue{
		ID: id, Service: service, Priority: priority, MaxAttempts: 4, Stretch: stretch, Target: target,
		Advisor: &Advisor{BaseTime: decide, TimePerServer: decide / 70, TicketValidity: valid},
	}
}

func demandOf(cores float64, gpus resource.Count) resource.Vector {
	return resource.Vector{CPU: resource.MilliCPU(cores * 1000), Memory: 100, GPUs: gpus}
}

// sampleExchange returns a share of the load and the servers of the Sample Exchange after it has grown.
func sampleExchange(share float64) ([]workload, []Server) {
	queue := func(id ident.QueueID, service ServiceID, priority int, stretch float64, target, decide time.Duration) Queue {
		return advisedQueue(id, service, priority, stretch, target, decide, 1500*time.Millisecond)
	}
	ms := time.Millisecond
	kinds := []workload{
		{
			queue: queue("chip", "desk", 0, 1.5, 400*ms, 13*ms), rate: 46.7, burst: 3.5,
			steps: 2, width: 10, demand: demandOf(5.3, 0), work: 560 * ms, allowedPercent: 70,
		},
		{
			queue: queue("proof", "desk", 2, 4, 3000*ms, 150*ms), rate: 2.2, burst: 1,
			steps: 2, width: 18, demand: demandOf(9, 0), work: 5600 * ms, allowedPercent: 45,
		},
		{
			queue: queue("grain", "render", 1, 2.2, 1200*ms, 550*ms), rate: 4, burst: 1,
			steps: 1, width: 3, demand: demandOf(31, 0), gpus: []resource.Count{2, 4, 8, 8}, work: 3600 * ms, gang: true, allowedPercent: 30,
		},
		{
			queue: queue("gloss", "render", 2, 4, 3000*ms, 150*ms), rate: 4.6, burst: 1,
			steps: 1, width: 16, demand: demandOf(5.6, 1), work: 3000 * ms, allowedPercent: 45,
		},
	}
	for i := range kinds {
		kinds[i].rate *= share
	}
	var servers []Server
	add := func(service ServiceID, n int, capacity resource.Vector) {
		for i := range int(float64(n) * share) {
			id := ServerID(fmt.Sprintf("%s%03d", service, i))
			servers = append(servers, Server{ID: id, Incarnation: 1, Address: string(id), Service: service, Capacity: capacity})
		}
	}
	add("desk", 252, resource.Vector{CPU: resource.Cores(32), Memory: 1 << 30})
	add("render", 98, resource.Vector{CPU: resource.Cores(64), Memory: 1 << 30, GPUs: 8})
	return kinds, servers
}
