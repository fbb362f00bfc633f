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

// Kind names a kind of work in the report.
type Kind string

// Kinds of the report; urgent requests are told apart from other ones.
const (
	Request   Kind = "request"
	Urgent    Kind = "urgent"
	Batch     Kind = "batch"
	Service   Kind = "service"
	AllAtOnce Kind = "all-at-once"
)

// Kinds lists the kinds in the order of the report.
var Kinds = []Kind{Request, Urgent, Batch, Service, AllAtOnce}

// span is a range of whole numbers, both ends included.
type span struct{ low, high int64 }

func (s span) draw(r *rand.Rand) int64 { return s.low + r.Int64N(s.high-s.low+1) }

// stream is the arrivals of one kind of work of one team.
type stream struct {
	kind          Kind
	team          ident.TeamID
	queue         ident.QueueID
	rate          float64 // arrivals per second; 0 means one arrival at the start
	from          float64 // part of the duration after which it begins
	tasks         span
	milliCPU      span
	megabytes     span
	gpus          int64
	run           span // milliseconds
	nonIdempotent bool
	open          bool // sent without a key
}

// Deployment is one of the deployments of the design page.
type Deployment struct {
	Name    string
	sites   []demo.Site
	groups  []cell.ServerGroup
	streams []stream
}

const (
	smallServers = 35
	largeServers = 13
	// floodFrom is the part of the duration after which the offered work exceeds the fleet.
	floodFrom = 0.4
)

// groups spreads the servers of one size over the data centres in turn.
func groups(sites []demo.Site, prefix string, count, perRack int, capacity resource.Vector) []cell.ServerGroup {
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

// sites places two daemons in each of three data centres, the last one in the second region.
func sites(near, far ident.Region, centres [3]ident.DataCentre) []demo.Site {
	var list []demo.Site
	for i := range 6 {
		region := near
		if i/2 == 2 {
			region = far
		}
		list = append(list, demo.Site{Member: ident.MemberID(fmt.Sprintf("entry-%d", i+1)), Region: region, DataCentre: centres[i/2]})
	}
	return list
}

func vector(cores, gigabytes, gpus int64) resource.Vector {
	return resource.Vector{
		CPU: resource.Cores(cores), Memory: resource.Gigabytes(gigabytes), GPUs: resource.Count(gpus), Slots: 8, Connections: 64,
	}
}

func batch(team ident.TeamID, queue ident.QueueID, rate float64) stream {
	return stream{
		kind: Batch, team: team, queue: queue, rate: rate, from: floodFrom, tasks: span{16, 32},
		milliCPU: span{500, 4000}, megabytes: span{512, 6144}, run: span{1500, 3000},
	}
}

// Deployments returns the known deployments by name.
func Deployments() map[string]Deployment {
	bensalem := sites("sfax", "tunis", [3]ident.DataCentre{"sfax-a", "sfax-b", "tunis-a"})
	exchange := sites("ohio-shore", "superior-north", [3]ident.DataCentre{"toledo-a", "cleveland-b", "duluth-a"})
	one, few := span{1, 1}, span{4, 8}
	quote := func(team ident.TeamID, rate float64) stream {
		return stream{
			kind: Request, team: team, queue: "quotes", rate: rate, tasks: one, milliCPU: span{1000, 4000},
			megabytes: span{1024, 8192}, run: span{150, 600}, nonIdempotent: true,
		}
	}
	chip := func(team ident.TeamID, rate, from float64, run span) stream {
		return stream{
			kind: Request, team: team, queue: "chips", rate: rate, from: from, tasks: one, milliCPU: span{1000, 4000},
			megabytes: span{1024, 8192}, run: run, nonIdempotent: true,
		}
	}
	urgent := func(team ident.TeamID, queue ident.QueueID) stream {
		return stream{
			kind: Urgent, team: team, queue: queue, rate: 8, tasks: one, milliCPU: span{1000, 2000},
			megabytes: span{1024, 4096}, run: span{200, 400},
		}
	}
	lookup := func(team ident.TeamID, queue ident.QueueID) stream {
		return stream{
			kind: Request, team: team, queue: queue, rate: 30, tasks: one, milliCPU: span{250, 500},
			megabytes: span{256, 512}, run: span{20, 100}, open: true,
		}
	}
	service := func(team ident.TeamID, queue ident.QueueID, tasks int64) stream {
		return stream{
			kind: Service, team: team, queue: queue, tasks: span{tasks, tasks}, milliCPU: span{1000, 2000},
			megabytes: span{1024, 4096},
		}
	}
	gang := func(team ident.TeamID, queue ident.QueueID, rate, from float64) stream {
		return stream{
			kind: AllAtOnce, team: team, queue: queue, rate: rate, from: from, tasks: few, milliCPU: span{4000, 8000},
			megabytes: span{4096, 8192}, gpus: 1, run: span{1000, 3000},
		}
	}
	return map[string]Deployment{
		"bensalem": {
			Name: "bensalem", sites: bensalem,
			groups: append(groups(bensalem, "quote", smallServers, 5, vector(16, 32, 0)),
				groups(bensalem, "plan", largeServers, 3, vector(128, 256, 8))...),
			streams: []stream{
				service("quoting", "price-services", 12), service("invoicing", "price-services", 8),
				quote("quoting", 70), quote("showroom-tunis", 20), urgent("quoting", "quotes-urgent"),
				lookup("catalogue", "price-list"),
				gang("floor-plans", "floor-plan-renders", 0.8, 0), gang("training", "floor-plan-renders", 0.2, 0),
				batch("quoting", "nightly", 3), batch("floor-plans", "nightly", 2), batch("invoicing", "nightly", 1.2),
				batch("showroom-tunis", "nightly", 1.2), batch("catalogue", "nightly", 1.2), batch("training", "nightly", 0.8),
			},
		},
		"sample-exchange": {
			Name: "sample-exchange", sites: exchange,
			groups: append(groups(exchange, "swatch", smallServers, 5, vector(32, 64, 0)),
				groups(exchange, "render", largeServers, 3, vector(64, 128, 8))...),
			streams: []stream{
				service("label-watch", "label-watchers", 40),
				chip("chip-orders", 70, 0, span{150, 600}), chip("contractor-portal", 15, 0, span{150, 600}),
				urgent("chip-orders", "chips-urgent"), lookup("gloss-checks", "sheen-lookup"),
				gang("grain-previews", "grain-renders", 0.8, 0),
				chip("chip-orders", 100, floodFrom, span{1000, 2000}), chip("contractor-portal", 25, floodFrom, span{1000, 2000}),
				gang("grain-previews", "grain-renders", 3, floodFrom),
				batch("colour-proofs", "proofs", 3), batch("gloss-checks", "proofs", 1.5),
			},
		},
	}
}

// Arrival is one request or job to send.
type Arrival struct {
	At   time.Duration // after the start of the run
	Kind Kind
	Via  int // index of the daemon
	Open bool
	Spec api.Spec
}

// Schedule draws the arrivals of a run with exponential gaps; the same seed gives the same arrivals.
func (d Deployment) Schedule(seed uint64, duration time.Duration, scale float64) []Arrival {
	var list []Arrival
	for i, s := range d.streams {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		if s.rate == 0 {
			list = append(list, s.arrival(r, 0, len(d.sites), i, 0))
			continue
		}
		at := time.Duration(s.from * float64(duration))
		for n := 0; ; n++ {
			at += time.Duration(r.ExpFloat64() / (s.rate * scale) * float64(time.Second))
			if at >= duration {
				break
			}
			list = append(list, s.arrival(r, at, len(d.sites), i, n))
		}
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return int(a.At - b.At) })
	return list
}

func (s stream) arrival(r *rand.Rand, at time.Duration, daemons, index, n int) Arrival {
	return Arrival{At: at, Kind: s.kind, Via: r.IntN(daemons), Open: s.open, Spec: api.Spec{
		Team: s.team, Queue: s.queue, Request: ident.RequestID(fmt.Sprintf("load-%d-%d", index, n)),
		Tasks: int(s.tasks.draw(r)), NonIdempotent: s.nonIdempotent, RunTime: api.Millis(s.run.draw(r)),
		Demand: resource.Vector{
			CPU: resource.MilliCPU(s.milliCPU.draw(r)), Memory: resource.Megabytes(s.megabytes.draw(r)),
			GPUs: resource.Count(s.gpus), Slots: 1, Connections: 1,
		},
		Payload: []byte(fmt.Sprintf("payload-%d-%d", index, n)),
	}}
}
