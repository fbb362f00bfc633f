package sched

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// contention is a load of urgent short steps and of batches on one service.
type contention struct {
	seed       uint64
	servers    int
	cores      int64
	urgentRate float64 // jobs a second
	batchRate  float64
	burst      float64 // multiple of urgentRate from burstFrom to burstTo
	from, to   time.Duration
	length     time.Duration
	preempts   bool
}

// contendedQueues returns the queues of an installation with contention.
func contendedQueues() (urgent, batch Queue) {
	ms := time.Millisecond
	return advisedQueue("urgent", "desk", 0, 1.5, 300*ms, 13*ms, 1500*ms), advisedQueue("batch", "desk", 2, 4, 3000*ms, 150*ms, 1500*ms)
}

// play plays a load to its end. The arrivals, the sizes of the jobs and the work of each task depend on the seed only.
func (c contention) play(t *testing.T) *loadSimulation {
	urgent, batch := contendedQueues()
	kinds := []workload{{queue: urgent, allowedPercent: 70}, {queue: batch, allowedPercent: 45}}
	var servers []Server
	for i := range c.servers {
		id := ServerID(fmt.Sprintf("s%03d", i))
		servers = append(servers, Server{
			ID: id, Incarnation: 1, Address: string(id), Service: "desk", Capacity: resource.Vector{CPU: resource.Cores(c.cores), Memory: 1 << 30},
		})
	}
	p := newLoadSimulation(c.seed, 12, kinds, servers)
	p.t = t
	p.checkpoints = simulatedCheckpoints{stopTime: 200 * time.Millisecond, restore: 600 * time.Millisecond}
	if c.preempts {
		p.s.options.Preemption = &PreemptionOptions{CheckpointInterval: time.Second, RestoreTime: 600 * time.Millisecond}
	}
	random := rand.New(rand.NewPCG(c.seed, 7))
	arrivals := func(q Queue, rate, burst float64, steps, width int, demand resource.Vector, work time.Duration) {
		at := time.Duration(0)
		for n := 0; at < c.length; n++ {
			r := rate
			if at >= c.from && at < c.to {
				r *= burst
			}
			at += time.Duration(random.ExpFloat64() / r * float64(time.Second))
			id := ident.JobID(fmt.Sprintf("%s-%05d", q.ID, n))
			p.after(at, func() { p.submitSized(id, q, steps, width, demand, work) })
		}
	}
	arrivals(batch, c.batchRate, 1, 2, 28, demandOf(9, 0), 3600*time.Millisecond)
	arrivals(urgent, c.urgentRate, c.burst, 2, 10, demandOf(5.3, 0), 880*time.Millisecond)
	p.run(c.length + 40*time.Second)
	return p
}

// submitSized submits a job whose size depends on its id only.
func (p *loadSimulation) submitSized(id ident.JobID, q Queue, steps, width int, demand resource.Vector, work time.Duration) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	random := rand.New(rand.NewPCG(h.Sum64(), 3))
	j := &Job{ID: id, Queue: q, Payload: "p", Accepted: p.now}
	for i := range 1 + random.IntN(steps) {
		step := Step{Count: 1 + random.IntN(2*width-1), Demand: demand, Estimate: work, Image: string(q.ID), Checkpointing: q.Priority > 0}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	objective := scale(time.Duration(len(j.Steps))*work, q.Stretch) + q.Target
	p.jobs[id] = &simulatedJob{weight: 1, kind: string(q.ID), objective: p.now.Add(objective), uselessAfter: p.now.Add(lateFactor * objective)}
	p.s.AddJob(p.now, j, Progress{}, false)
}

// lateJobs returns the jobs of a kind that missed their objective.
func (p *loadSimulation) lateJobs(kind string) map[ident.JobID]bool {
	out := map[ident.JobID]bool{}
	for id, j := range p.jobs {
		if j.kind == kind && (j.done.IsZero() || j.done.After(j.objective)) {
			out[id] = true
		}
	}
	return out
}

// A burst of urgent short steps meets a service that batches with slack fill. Guards against urgent jobs that are late because nothing
// gives way, and against batches that are late because they did.
func TestBurstOfUrgentStepsOnServiceFullOfBatches(t *testing.T) {
	small := contention{
		servers: 50, cores: 32, urgentRate: 3, batchRate: 0.95, burst: 9, from: 12 * time.Second, to: 15 * time.Second, length: 25 * time.Second,
	}
	whole := contention{
		servers: 252, cores: 32, urgentRate: 20, batchRate: 4, burst: 5, from: 12 * time.Second, to: 16 * time.Second, length: 25 * time.Second,
	}
	for name, c := range map[string]struct {
		load contention
		seed uint64
	}{
		"seed 0": {small, 0}, "seed 1": {small, 1}, "seed 2": {small, 2}, "seed 3": {small, 3}, "whole installation": {whole, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := c.load.withSeed(c.seed)
			without := c.play(t)
			c.preempts = true
			with := c.play(t)
			before, after := without.lateJobs("urgent"), with.lateJobs("urgent")
			t.Logf("late urgent jobs %d without, %d with; late batches %d, %d; %+v", len(before), len(after),
				len(without.lateJobs("batch")), len(with.lateJobs("batch")), with.s.PreemptionCounts())
			if len(before) == 0 {
				t.Fatal("no urgent job is late without preemption: the load doesn't show the case")
			}
			if len(after) >= len(before) {
				t.Errorf("%d urgent jobs are late with preemption, %d without", len(after), len(before))
			}
			was := without.lateJobs("batch")
			for id := range with.lateJobs("batch") {
				if !was[id] {
					t.Errorf("%s is late only with preemption", id)
				}
			}
		})
	}
}

func (c contention) withSeed(seed uint64) contention {
	c.seed = seed
	return c
}

// Guards against stops without contention: urgent steps and batches fill three quarters of a service, and what a step lacks is released
// in time.
func TestNoPreemptionWithoutContention(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := contention{
				seed: seed, servers: 50, cores: 32, urgentRate: 4, batchRate: 0.6, burst: 1, length: 30 * time.Second, preempts: true,
			}
			p := c.play(t)
			if p.checkpoints.stopped > 0 || p.s.PreemptionCounts().Stops > 0 {
				t.Errorf("%d runs were stopped: %+v", p.checkpoints.stopped, p.s.PreemptionCounts())
			}
			if late := p.lateJobs("urgent"); len(late) > 0 {
				t.Errorf("urgent jobs are late, so that the load shows contention: %v", late)
			}
		})
	}
}
