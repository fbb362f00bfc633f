package sched

import (
	"maps"
	"slices"
)

// Load summarizes the load and the capacity of a service.
type Load struct {
	Service        ServiceID
	Servers        int
	Usable         int                  // servers that accept new runs
	CPU, GPU       float64              // used shares of the usable servers' capacity
	UnusableShare  float64              // share of the processor capacity on servers that accept no new runs
	UnusableCauses map[ServerStatus]int // number of those servers by the reason
	Running        int                  // runs on usable servers
	Waiting        int                  // tasks to start of steps that are ready
	Steps          map[string]int       // waiting steps by class of their rank
	AwaitingAdvice int                  // steps that wait for advice
}

// Loads returns the load of each service, sorted by name.
func (s *Scheduler) Loads() []Load {
	out := make([]Load, 0, len(s.services))
	at := map[ServiceID]*Load{}
	for _, id := range slices.Sorted(maps.Keys(s.services)) {
		out = append(out, s.load(id))
	}
	for i := range out {
		at[out[i].Service] = &out[i]
	}
	for _, g := range s.groups {
		if g.job.state.Terminal() || !g.hasWaiting() {
			continue
		}
		if l := at[g.job.queue.Service]; l != nil {
			l.Waiting += g.missing()
			l.Steps[s.rankOf(g, g.job.queue).class.String()]++
		}
	}
	for i := range s.adviceQueue {
		if l := at[s.adviceQueue[i].queue.Service]; l != nil {
			l.AwaitingAdvice++
		}
	}
	return out
}

// load returns the part of a service's load that its servers determine.
func (s *Scheduler) load(id ServiceID) Load {
	l := Load{Service: id, Servers: len(s.services[id]), Steps: map[string]int{}, UnusableCauses: map[ServerStatus]int{}}
	var usedCPU, allCPU, unusableCPU, usedGPU, allGPU int64
	for _, v := range s.services[id] {
		capacity := v.info.Capacity
		if !v.usable(s.now) {
			unusableCPU += int64(capacity.CPU)
			l.UnusableCauses[v.unusableStatus(s.now)]++
			continue
		}
		l.Usable++
		l.Running += len(v.runs)
		usedCPU, allCPU = usedCPU+int64(v.used.CPU), allCPU+int64(capacity.CPU)
		usedGPU, allGPU = usedGPU+int64(v.used.GPUs), allGPU+int64(capacity.GPUs)
	}
	l.CPU, l.GPU, l.UnusableShare = share(usedCPU, allCPU), share(usedGPU, allGPU), share(unusableCPU, unusableCPU+allCPU)
	return l
}
