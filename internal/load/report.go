package load

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/ownership"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TeamShare compares a team's use with its fair part while the fleet was full, as parts of the fleet.
type TeamShare struct {
	Used     float64 `json:"used"`
	Fair     float64 `json:"fair"`
	Distance float64 `json:"distance"` // mean of the absolute difference
}

// Cost is the control cost per daemon.
type Cost struct {
	StoreCalls      map[string]float64 `json:"store-calls-per-s"`
	StoreBytes      float64            `json:"store-body-bytes-per-s"`
	PeerControl     float64            `json:"peer-control-bytes-per-s"`
	PeerWork        float64            `json:"peer-work-bytes-per-s"`
	Polls           float64            `json:"polls-per-s"`
	PollBody        float64            `json:"poll-body-bytes-per-s"`
	IdlePolls       float64            `json:"idle-polls-per-s"` // renewals that the number of servers alone needs
	IdlePollBytes   float64            `json:"idle-poll-bytes-per-s"`
	Starts          float64            `json:"starts-per-s"`
	ProcessorPart   float64            `json:"processor-part"` // of a core, including driver and stand-ins
	HeapBytes       float64            `json:"heap-bytes"`     // including driver and stand-ins
	ResidentBytes   float64            `json:"resident-bytes"` // including driver and stand-ins
	MeasuredSeconds float64            `json:"measured-s"`
}

// PolicyRun is what one policy did with the arrivals.
type PolicyRun struct {
	Policy     string                     `json:"policy"`
	Waiting    map[Kind]Quantiles         `json:"waiting"`
	Outcomes   map[Kind]map[string]int    `json:"outcomes"`
	Refusals   map[Kind]map[string]int    `json:"refusals,omitempty"`
	Packing    float64                    `json:"packing"` // used part of the hosts in use
	HostsInUse float64                    `json:"hosts-in-use"`
	SlotsUsed  float64                    `json:"slots-used"`
	Samples    int                        `json:"samples"`
	Full       int                        `json:"full-samples"`
	Shares     map[ident.TeamID]TeamShare `json:"shares"`
	Distance   float64                    `json:"distance"` // mean over the teams
	Cost       Cost                       `json:"cost-per-daemon"`
	Violations []string                   `json:"violations"`
}

func (d *driver) result(policy string, s *sampler, cost Cost) PolicyRun {
	r := PolicyRun{
		Policy: policy, Waiting: map[Kind]Quantiles{}, Outcomes: d.outcomes, Refusals: d.refusals,
		Packing: round(mean(s.packed)), HostsInUse: round(mean(s.hosts)), SlotsUsed: round(mean(s.slots)),
		Samples: s.samples, Full: s.full, Shares: map[ident.TeamID]TeamShare{}, Cost: cost, Violations: []string{},
	}
	for k, h := range d.waits() {
		r.Waiting[k] = quantiles(h)
	}
	var distances []float64
	for t, all := range s.distance {
		r.Shares[t] = TeamShare{Used: round(mean(s.used[t])), Fair: round(mean(s.deserved[t])), Distance: round(mean(all))}
		distances = append(distances, mean(all))
	}
	r.Distance = round(mean(distances))
	for _, v := range d.cell.Standins.Ledger.Violations() {
		r.Violations = append(r.Violations, v.String())
	}
	return r
}

// meter reads the daemons' counters before and after a run.
type meter struct {
	operators []string
	daemons   int
	servers   int
	before    []map[string]float64
	begun     time.Time
	processor time.Duration
}

func newMeter(ctx context.Context, c *demo.Cell, d Deployment) (*meter, error) {
	m := &meter{daemons: len(d.sites), servers: len(c.Standins.Hosts)}
	for _, s := range d.sites {
		m.operators = append(m.operators, c.Daemon(s.Member).OperatorAddress())
	}
	var err error
	if m.before, err = m.read(ctx); err != nil {
		return nil, err
	}
	m.begun, m.processor = time.Now(), processorTime()
	return m, nil
}

func (m *meter) read(ctx context.Context) ([]map[string]float64, error) {
	var all []map[string]float64
	for _, a := range m.operators {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a+"/metrics", nil)
		if err != nil {
			return nil, fmt.Errorf("prepare metrics request: %w", err)
		}
		reply, err := http.DefaultClient.Do(r)
		if err != nil {
			return nil, fmt.Errorf("read metrics of %s: %w", a, err)
		}
		values, err := parseMetrics(reply.Body)
		_ = reply.Body.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, values)
	}
	return all, nil
}

// cost returns the growth of the counters since newMeter, per second and daemon.
func (m *meter) cost(ctx context.Context) (Cost, error) {
	seconds, processor := time.Since(m.begun).Seconds(), processorTime()-m.processor
	after, err := m.read(ctx)
	if err != nil {
		return Cost{}, err
	}
	per := float64(m.daemons) * seconds
	sum := func(prefix string, labels ...string) float64 {
		total := 0.0
		for i := range after {
			total += sumOf(m.before[i], after[i], prefix, labels...)
		}
		return round(total / per)
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	c := Cost{
		StoreCalls:  map[string]float64{},
		StoreBytes:  sum("rosemaryspoke_platform_bytes_total"),
		PeerControl: sum("rosemaryspoke_peer_message_bytes_total", `class="control"`),
		PeerWork:    sum("rosemaryspoke_peer_message_bytes_total", `class="work"`),
		Polls:       sum("rosemaryspoke_backend_exchanges_total", `/poll"`),
		PollBody:    sum("rosemaryspoke_backend_body_bytes_total", `/poll"`),
		Starts:      sum("rosemaryspoke_starts_total"),
		IdlePolls:   round(float64(m.servers) / float64(m.daemons) / ownership.DefaultMinRenewal.Seconds()),

		ProcessorPart: round(processor.Seconds() / per), HeapBytes: float64(memory.HeapInuse) / float64(m.daemons),
		ResidentBytes: float64(residentBytes()) / float64(m.daemons), MeasuredSeconds: round(seconds),
	}
	c.IdlePollBytes = round(c.IdlePolls * ownership.BytesPerExchange)
	for name := range after[0] {
		if call := label(name, "call"); strings.HasPrefix(name, "rosemaryspoke_platform_calls_total") {
			c.StoreCalls[call] = sum("rosemaryspoke_platform_calls_total", `"`+call+`"`)
		}
	}
	return c, nil
}

// Print writes the report as a table with one column per policy.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s: %d backend servers, %d daemons, %d arrivals in %s, seed %d, scale %g\n%s\n\n",
		r.Deployment, r.Servers, r.Daemons, r.Arrivals, r.Duration, r.Seed, r.Scale, r.Transport)
	row := func(name string, value func(p PolicyRun) string) {
		_, _ = fmt.Fprint(t, name)
		for _, p := range r.Policies {
			_, _ = fmt.Fprint(t, "\t", value(p))
		}
		_, _ = fmt.Fprintln(t)
	}
	row("", func(p PolicyRun) string { return p.Policy })
	for _, k := range Kinds {
		row("waiting p50/p99/p99.9 ms "+string(k), func(p PolicyRun) string {
			q := p.Waiting[k]
			return fmt.Sprintf("%.1f / %.1f / %.1f (%d)", q.P50, q.P99, q.P999, q.Count)
		})
	}
	for _, k := range Kinds {
		row("outcomes "+string(k), func(p PolicyRun) string { return pairs(p.Outcomes[k]) })
	}
	row("packing of the hosts in use", func(p PolicyRun) string { return fmt.Sprintf("%.3f on %.1f hosts", p.Packing, p.HostsInUse) })
	row("slots used", func(p PolicyRun) string { return fmt.Sprintf("%.3f", p.SlotsUsed) })
	row("samples with a full fleet", func(p PolicyRun) string { return fmt.Sprintf("%d of %d", p.Full, p.Samples) })
	for _, team := range r.teams() {
		row("used / fair / distance "+string(team), func(p PolicyRun) string {
			s := p.Shares[team]
			return fmt.Sprintf("%.3f / %.3f / %.3f", s.Used, s.Fair, s.Distance)
		})
	}
	row("mean distance from the fair part", func(p PolicyRun) string { return fmt.Sprintf("%.3f", p.Distance) })
	r.printCost(row)
	row("violations", func(p PolicyRun) string { return fmt.Sprint(len(p.Violations)) })
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (r Report) printCost(row func(name string, value func(p PolicyRun) string)) {
	row("per daemon: starts/s", func(p PolicyRun) string { return fmt.Sprintf("%.1f", p.Cost.Starts) })
	row("per daemon: store calls/s", func(p PolicyRun) string {
		var list []string
		for _, k := range slices.Sorted(maps.Keys(p.Cost.StoreCalls)) {
			if v := p.Cost.StoreCalls[k]; v > 0 {
				list = append(list, fmt.Sprintf("%s %.2f", k, v))
			}
		}
		return strings.Join(list, ", ")
	})
	row("per daemon: store body B/s", func(p PolicyRun) string { return fmt.Sprintf("%.0f", p.Cost.StoreBytes) })
	row("per daemon: peer control / work B/s", func(p PolicyRun) string {
		return fmt.Sprintf("%.0f / %.0f", p.Cost.PeerControl, p.Cost.PeerWork)
	})
	row("per daemon: polls/s, body B/s", func(p PolicyRun) string { return fmt.Sprintf("%.1f, %.0f", p.Cost.Polls, p.Cost.PollBody) })
	row("per daemon: idle renewals/s, B/s (computed)", func(p PolicyRun) string {
		return fmt.Sprintf("%.1f, %.0f", p.Cost.IdlePolls, p.Cost.IdlePollBytes)
	})
	row("per daemon: part of a core (whole process / daemons)", func(p PolicyRun) string { return fmt.Sprintf("%.3f", p.Cost.ProcessorPart) })
	row("per daemon: heap / resident MB (whole process / daemons)", func(p PolicyRun) string {
		return fmt.Sprintf("%.1f / %.1f", p.Cost.HeapBytes/(1<<20), p.Cost.ResidentBytes/(1<<20))
	})
}

func (r Report) teams() []ident.TeamID {
	teams := map[ident.TeamID]bool{}
	for _, p := range r.Policies {
		for t := range p.Shares {
			teams[t] = true
		}
	}
	return slices.Sorted(maps.Keys(teams))
}

func pairs(counts map[string]int) string {
	var list []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(list, ", ")
}
