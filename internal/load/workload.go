package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// WorkClass is the class of work by which the report groups its figures.
type WorkClass string

// Work classes. They match the kinds of the API, except that urgent requests form a class of their own.
const (
	ClassRequest   WorkClass = "request"
	ClassUrgent    WorkClass = "urgent"
	ClassBatch     WorkClass = "batch"
	ClassService   WorkClass = "service"
	ClassAllAtOnce WorkClass = "all-at-once"
)

// WorkClasses lists the classes in the order of the report.
var WorkClasses = []WorkClass{ClassRequest, ClassUrgent, ClassBatch, ClassService, ClassAllAtOnce}

// intRange is an inclusive range of integers.
type intRange struct{ low, high int64 }

func (bounds intRange) draw(r *rand.Rand) int64 {
	return bounds.low + r.Int64N(bounds.high-bounds.low+1)
}

// workload is the arrival process of one class of work from one team.
type workload struct {
	class         WorkClass
	team          ident.TeamID
	queue         ident.QueueID
	rate          float64 // arrivals per second; 0 means one arrival at the start
	startFraction float64 // fraction of the run after which arrivals begin
	tasks         intRange
	milliCPU      intRange
	memoryMB      intRange
	gpus          int64
	runTimeMillis intRange // per task
	nonIdempotent bool
	open          bool // sent without an API key
}

// Deployment models the sites, backend servers and workloads of a deployment in the design document.
type Deployment struct {
	Name      string
	sites     []demo.Site
	groups    []cell.ServerGroup
	workloads []workload
}

const (
	smallServerCount = 35
	largeServerCount = 13
	// overloadStartFraction is the fraction of the run after which the offered load exceeds the fleet's capacity.
	overloadStartFraction = 0.4
)

// serverGroups distributes count servers of one size round-robin over the data centres of the sites.
func serverGroups(sites []demo.Site, prefix string, count, perRack int, capacity resource.Vector) []cell.ServerGroup {
	var list []cell.ServerGroup
	for _, s := range sites {
		if !slices.ContainsFunc(list, func(g cell.ServerGroup) bool { return g.DataCentre == s.DataCentre }) {
			list = append(list, cell.ServerGroup{
				Region: s.Region, DataCentre: s.DataCentre, Prefix: fmt.Sprintf("%s-%s", prefix, s.DataCentre),
				PerRack: perRack, Capacity: capacity,
			})
		}
	}
	for i := range count {
		list[i%len(list)].Count++
	}
	return list
}

// daemonSites returns two daemons in each of three data centres; the third data centre is in the secondary region.
func daemonSites(primary, secondary ident.Region, dataCentres [3]ident.DataCentre) []demo.Site {
	var list []demo.Site
	for i := range 6 {
		region := primary
		if i/2 == 2 {
			region = secondary
		}
		list = append(list,
			demo.Site{Member: ident.MemberID(fmt.Sprintf("entry-%d", i+1)), Region: region, DataCentre: dataCentres[i/2]})
	}
	return list
}

// resourceVector returns an amount of resources with the 8 slots and 64 connections of every modelled server. A task that
// demands such a vector occupies all slots of a server.
func resourceVector(cores, gigabytes, gpus int64) resource.Vector {
	return resource.Vector{
		CPU: resource.Cores(cores), Memory: resource.Gigabytes(gigabytes), GPUs: resource.Count(gpus), Slots: 8, Connections: 64,
	}
}

// batchWorkload returns batch jobs that arrive in the overloaded part of the run.
func batchWorkload(team ident.TeamID, queue ident.QueueID, rate float64) workload {
	return workload{
		class: ClassBatch, team: team, queue: queue, rate: rate, startFraction: overloadStartFraction, tasks: intRange{16, 32},
		milliCPU: intRange{500, 4000}, memoryMB: intRange{512, 6144}, runTimeMillis: intRange{1500, 3000},
	}
}

// Deployments returns the deployments that a run can select, by name.
func Deployments() map[string]Deployment {
	bensalem := daemonSites("sfax", "tunis", [3]ident.DataCentre{"sfax-a", "sfax-b", "tunis-a"})
	sampleExchange := daemonSites("ohio-shore", "superior-north", [3]ident.DataCentre{"toledo-a", "cleveland-b", "duluth-a"})
	oneTask, fewTasks := intRange{1, 1}, intRange{4, 8}
	quote := func(team ident.TeamID, rate float64) workload {
		return workload{
			class: ClassRequest, team: team, queue: "quotes", rate: rate, tasks: oneTask, milliCPU: intRange{1000, 4000},
			memoryMB: intRange{1024, 8192}, runTimeMillis: intRange{150, 600}, nonIdempotent: true,
		}
	}
	chip := func(team ident.TeamID, rate, startFraction float64, runTime intRange) workload {
		return workload{
			class: ClassRequest, team: team, queue: "chips", rate: rate, startFraction: startFraction, tasks: oneTask,
			milliCPU: intRange{1000, 4000}, memoryMB: intRange{1024, 8192}, runTimeMillis: runTime, nonIdempotent: true,
		}
	}
	urgent := func(team ident.TeamID, queue ident.QueueID) workload {
		return workload{
			class: ClassUrgent, team: team, queue: queue, rate: 8, tasks: oneTask, milliCPU: intRange{1000, 2000},
			memoryMB: intRange{1024, 4096}, runTimeMillis: intRange{200, 400},
		}
	}
	lookup := func(team ident.TeamID, queue ident.QueueID) workload {
		return workload{
			class: ClassRequest, team: team, queue: queue, rate: 30, tasks: oneTask, milliCPU: intRange{250, 500},
			memoryMB: intRange{256, 512}, runTimeMillis: intRange{20, 100}, open: true,
		}
	}
	service := func(team ident.TeamID, queue ident.QueueID, tasks int64) workload {
		return workload{
			class: ClassService, team: team, queue: queue, tasks: intRange{tasks, tasks}, milliCPU: intRange{1000, 2000},
			memoryMB: intRange{1024, 4096},
		}
	}
	gang := func(team ident.TeamID, queue ident.QueueID, rate, startFraction float64) workload {
		return workload{
			class: ClassAllAtOnce, team: team, queue: queue, rate: rate, startFraction: startFraction, tasks: fewTasks,
			milliCPU: intRange{4000, 8000}, memoryMB: intRange{4096, 8192}, gpus: 1, runTimeMillis: intRange{1000, 3000},
		}
	}
	return map[string]Deployment{
		"bensalem": {
			Name: "bensalem", sites: bensalem,
			groups: append(serverGroups(bensalem, "quote", smallServerCount, 5, resourceVector(16, 32, 0)),
				serverGroups(bensalem, "plan", largeServerCount, 3, resourceVector(128, 256, 8))...),
			workloads: []workload{
				service("quoting", "price-services", 12), service("invoicing", "price-services", 8),
				quote("quoting", 70), quote("showroom-tunis", 20), urgent("quoting", "quotes-urgent"),
				lookup("catalogue", "price-list"),
				gang("floor-plans", "floor-plan-renders", 0.8, 0), gang("training", "floor-plan-renders", 0.2, 0),
				batchWorkload("quoting", "nightly", 3), batchWorkload("floor-plans", "nightly", 2),
				batchWorkload("invoicing", "nightly", 1.2),
				batchWorkload("showroom-tunis", "nightly", 1.2), batchWorkload("catalogue", "nightly", 1.2),
				batchWorkload("training", "nightly", 0.8),
			},
		},
		"sample-exchange": {
			Name: "sample-exchange", sites: sampleExchange,
			groups: append(serverGroups(sampleExchange, "swatch", smallServerCount, 5, resourceVector(32, 64, 0)),
				serverGroups(sampleExchange, "render", largeServerCount, 3, resourceVector(64, 128, 8))...),
			workloads: []workload{
				service("label-watch", "label-watchers", 40),
				chip("chip-orders", 70, 0, intRange{150, 600}), chip("contractor-portal", 15, 0, intRange{150, 600}),
				urgent("chip-orders", "chips-urgent"), lookup("gloss-checks", "sheen-lookup"),
				gang("grain-previews", "grain-renders", 0.8, 0),
				chip("chip-orders", 100, overloadStartFraction, intRange{1000, 2000}),
				chip("contractor-portal", 25, overloadStartFraction, intRange{1000, 2000}),
				gang("grain-previews", "grain-renders", 3, overloadStartFraction),
				batchWorkload("colour-proofs", "proofs", 3), batchWorkload("gloss-checks", "proofs", 1.5),
			},
		},
	}
}

// Arrival is a request or job and the time at which to send it.
type Arrival struct {
	At          time.Duration // offset from the start of the run
	Class       WorkClass
	DaemonIndex int  // index into the deployment's sites
	Open        bool // sent without an API key
	Spec        api.Spec
}

// Schedule generates the arrivals of a run, sorted by time. Interarrival times are exponential (a Poisson process), and
// the same seed gives the same arrivals.
func (d Deployment) Schedule(seed uint64, duration time.Duration, scale float64) []Arrival {
	var list []Arrival
	for i, w := range d.workloads {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		if w.rate == 0 {
			list = append(list, w.arrival(r, 0, len(d.sites), i, 0))
			continue
		}
		at := time.Duration(w.startFraction * float64(duration))
		for n := 0; ; n++ {
			at += convert.Duration(r.ExpFloat64() / (w.rate * scale) * float64(time.Second))
			if at >= duration {
				break
			}
			list = append(list, w.arrival(r, at, len(d.sites), i, n))
		}
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return int(a.At - b.At) })
	return list
}

func (w workload) arrival(r *rand.Rand, at time.Duration, daemons, workloadIndex, sequence int) Arrival {
	return Arrival{At: at, Class: w.class, DaemonIndex: r.IntN(daemons), Open: w.open, Spec: api.Spec{
		Team: w.team, Queue: w.queue, Request: ident.RequestID(fmt.Sprintf("load-%d-%d", workloadIndex, sequence)),
		Tasks: int(w.tasks.draw(r)), NonIdempotent: w.nonIdempotent, RunTime: api.Millis(w.runTimeMillis.draw(r)),
		Demand: resource.Vector{
			CPU: resource.MilliCPU(w.milliCPU.draw(r)), Memory: resource.Megabytes(w.memoryMB.draw(r)),
			GPUs: resource.Count(w.gpus), Slots: 1, Connections: 1,
		},
		Payload: []byte(fmt.Sprintf("payload-%d-%d", workloadIndex, sequence)),
	}}
}
