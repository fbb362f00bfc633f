package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// WorkClass names a kind of work in the report.
type WorkClass string

// Kinds of the report; urgent requests are told apart from other ones.
const (
	ClassRequest   WorkClass = "request"
	ClassUrgent    WorkClass = "urgent"
	ClassBatch     WorkClass = "batch"
	ClassService   WorkClass = "service"
	ClassAllAtOnce WorkClass = "all-at-once"
)

// WorkClasses lists the kinds in the order of the report.
var WorkClasses = []WorkClass{ClassRequest, ClassUrgent, ClassBatch, ClassService, ClassAllAtOnce}

// intRange is a range of whole numbers, both ends included.
type intRange struct{ low, high int64 }

func (bounds intRange) draw(r *rand.Rand) int64 {
	return bounds.low + r.Int64N(bounds.high-bounds.low+1)
}

// workload is the arrivals of one kind of work of one team.
type workload struct {
	class         WorkClass
	team          ident.TeamID
	queue         ident.QueueID
	rate          float64 // arrivals per second; 0 means one arrival at the start
	startFraction float64 // part of the duration after which it begins
	tasks         intRange
	milliCPU      intRange
	memoryMB      intRange
	gpus          int64
	runTimeMillis intRange // milliseconds
	nonIdempotent bool
	open          bool // sent without a key
}

// Deployment is one of the deployments of the design page.
type Deployment struct {
	Name      string
	sites     []demo.Site
	groups    []cell.Group
	workloads []workload
}

const (
	smallServerCount = 35
	largeServerCount = 13
	// overloadStartFraction is the part of the duration after which the offered work exceeds the fleet.
	overloadStartFraction = 0.4
)

// serverGroups spreads the servers of one size over the data centres in turn.
func serverGroups(sites []demo.Site, prefix string, count, perRack int, capacity resource.Vector) []cell.Group {
	var list []cell.Group
	for _, s := range sites {
		if !slices.ContainsFunc(list, func(g cell.Group) bool { return g.DataCentre == s.DataCentre }) {
			list = append(list, cell.Group{
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

// daemonSites places two daemons in each of three data centres, the last one in the second region.
func daemonSites(primary, secondary ident.Region, dataCentres [3]ident.DataCentre) []demo.Site {
	var list []demo.Site
	for i := range 6 {
		region := primary
		if i/2 == 2 {
			region = secondary
		}
		list = append(list, demo.Site{Member: ident.MemberID(fmt.Sprintf("entry-%d", i+1)), Region: region, DataCentre: dataCentres[i/2]})
	}
	return list
}

func resourceVector(cores, gigabytes, gpus int64) resource.Vector {
	return resource.Vector{
		CPU: resource.Cores(cores), Memory: resource.Gigabytes(gigabytes), GPUs: resource.Count(gpus), Slots: 8, Connections: 64,
	}
}

func batchWorkload(team ident.TeamID, queue ident.QueueID, rate float64) workload {
	return workload{
		class: ClassBatch, team: team, queue: queue, rate: rate, startFraction: overloadStartFraction, tasks: intRange{16, 32},
		milliCPU: intRange{500, 4000}, memoryMB: intRange{512, 6144}, runTimeMillis: intRange{1500, 3000},
	}
}

// Deployments returns the known deployments by name.
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
			class: ClassRequest, team: team, queue: "chips", rate: rate, startFraction: startFraction, tasks: oneTask, milliCPU: intRange{1000, 4000},
			memoryMB: intRange{1024, 8192}, runTimeMillis: runTime, nonIdempotent: true,
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
			class: ClassAllAtOnce, team: team, queue: queue, rate: rate, startFraction: startFraction, tasks: fewTasks, milliCPU: intRange{4000, 8000},
			memoryMB: intRange{4096, 8192}, gpus: 1, runTimeMillis: intRange{1000, 3000},
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
				batchWorkload("quoting", "nightly", 3), batchWorkload("floor-plans", "nightly", 2), batchWorkload("invoicing", "nightly", 1.2),
				batchWorkload("showroom-tunis", "nightly", 1.2), batchWorkload("catalogue", "nightly", 1.2), batchWorkload("training", "nightly", 0.8),
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
				chip("chip-orders", 100, overloadStartFraction, intRange{1000, 2000}), chip("contractor-portal", 25, overloadStartFraction, intRange{1000, 2000}),
				gang("grain-previews", "grain-renders", 3, overloadStartFraction),
				batchWorkload("colour-proofs", "proofs", 3), batchWorkload("gloss-checks", "proofs", 1.5),
			},
		},
	}
}

// Arrival is one request or job to send.
type Arrival struct {
	At          time.Duration // after the start of the run
	Class       WorkClass
	DaemonIndex int // index of the daemon
	Open        bool
	Spec        api.Spec
}

// Schedule draws the arrivals of a run with exponential gaps; the same seed gives the same arrivals.
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
			at += time.Duration(r.ExpFloat64() / (w.rate * scale) * float64(time.Second))
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
