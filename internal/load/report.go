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

// TeamShare compares a team's use with its fair share while the fleet was full, as fractions of the fleet.
type TeamShare struct {
	Used     float64 `json:"used"`
	Fair     float64 `json:"fair"`
	Distance float64 `json:"distance"` // mean absolute difference of Used and Fair
}

// Cost is the control overhead of one daemon. Calls, bytes, polls and starts are per second.
type Cost struct {
	StoreCalls       map[string]float64 `json:"store-calls-per-s"`
	StoreBytes       float64            `json:"store-body-bytes-per-s"`
	PeerControlBytes float64            `json:"peer-control-bytes-per-s"`
	PeerWorkBytes    float64            `json:"peer-work-bytes-per-s"`
	Polls            float64            `json:"polls-per-s"`
	PollBodyBytes    float64            `json:"poll-body-bytes-per-s"`
	IdlePolls        float64            `json:"idle-polls-per-s"` // computed: lease renewals of a daemon's share of idle servers
	IdlePollBytes    float64            `json:"idle-poll-bytes-per-s"`
	Starts           float64            `json:"starts-per-s"`
	CPUCores         float64            `json:"processor-part"` // mean CPU cores in use, including driver and stand-ins
	HeapBytes        float64            `json:"heap-bytes"`     // including driver and stand-ins
	ResidentBytes    float64            `json:"resident-bytes"` // including driver and stand-ins
	MeasuredSeconds  float64            `json:"measured-s"`
}

// PolicyResult holds the measurements of one policy.
type PolicyResult struct {
	Policy      string                       `json:"policy"`
	Waiting     map[WorkClass]Quantiles      `json:"waiting"`
	Outcomes    map[WorkClass]map[string]int `json:"outcomes"`
	Refusals    map[WorkClass]map[string]int `json:"refusals,omitempty"`
	Packing     float64                      `json:"packing"` // mean used fraction of the hosts in use
	HostsInUse  float64                      `json:"hosts-in-use"`
	SlotsUsed   float64                      `json:"slots-used"`
	Samples     int                          `json:"samples"`
	FullSamples int                          `json:"full-samples"`
	Shares      map[ident.TeamID]TeamShare   `json:"shares"`
	Distance    float64                      `json:"distance"` // mean over the teams
	Cost        Cost                         `json:"cost-per-daemon"`
	Violations  []string                     `json:"violations"`
}

func (d *driver) result(policy string, s *sampler, cost Cost) PolicyResult {
	r := PolicyResult{
		Policy: policy, Waiting: map[WorkClass]Quantiles{}, Outcomes: d.outcomes, Refusals: d.refusals,
		Packing: round(mean(s.packing)), HostsInUse: round(mean(s.hostsInUse)), SlotsUsed: round(mean(s.slotsUsed)),
		Samples: s.sampleCount, FullSamples: s.fullSamples, Shares: map[ident.TeamID]TeamShare{}, Cost: cost, Violations: []string{},
	}
	for k, h := range d.waitHistograms() {
		r.Waiting[k] = quantiles(h)
	}
	var distances []float64
	for t, all := range s.distance {
		r.Shares[t] = TeamShare{Used: round(mean(s.usedShare[t])), Fair: round(mean(s.fairShare[t])), Distance: round(mean(all))}
		distances = append(distances, mean(all))
	}
	r.Distance = round(mean(distances))
	for _, v := range d.cell.Standins.Ledger.Violations() {
		r.Violations = append(r.Violations, v.String())
	}
	return r
}

// costMeter measures control overhead by the difference of the daemons' metrics between newCostMeter and cost.
type costMeter struct {
	operatorAddresses []string
	daemons           int
	servers           int
	before            []map[string]float64
	startTime         time.Time
	cpuAtStart        time.Duration
}

func newCostMeter(ctx context.Context, c *demo.Cell, d Deployment) (*costMeter, error) {
	m := &costMeter{daemons: len(d.sites), servers: len(c.Standins.Hosts)}
	for _, s := range d.sites {
		m.operatorAddresses = append(m.operatorAddresses, c.Daemon(s.Member).OperatorAddress())
	}
	var err error
	if m.before, err = m.readMetrics(ctx); err != nil {
		return nil, err
	}
	m.startTime, m.cpuAtStart = time.Now(), cpuTime()
	return m, nil
}

func (m *costMeter) readMetrics(ctx context.Context) ([]map[string]float64, error) {
	var all []map[string]float64
	for _, a := range m.operatorAddresses {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a+"/metrics", nil)
		if err != nil {
			return nil, fmt.Errorf("create metrics request: %w", err)
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return nil, fmt.Errorf("read metrics of %s: %w", a, err)
		}
		values, err := parseMetrics(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, values)
	}
	return all, nil
}

// cost returns the control overhead since newCostMeter, per second and daemon.
func (m *costMeter) cost(ctx context.Context) (Cost, error) {
	seconds, cpu := time.Since(m.startTime).Seconds(), cpuTime()-m.cpuAtStart
	after, err := m.readMetrics(ctx)
	if err != nil {
		return Cost{}, err
	}
	daemonSeconds := float64(m.daemons) * seconds
	rate := func(prefix string, labels ...string) float64 {
		total := 0.0
		for i := range after {
			total += counterIncrease(m.before[i], after[i], prefix, labels...)
		}
		return round(total / daemonSeconds)
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	c := Cost{
		StoreCalls:       map[string]float64{},
		StoreBytes:       rate("rosemaryspoke_platform_bytes_total"),
		PeerControlBytes: rate("rosemaryspoke_peer_message_bytes_total", `class="control"`),
		PeerWorkBytes:    rate("rosemaryspoke_peer_message_bytes_total", `class="work"`),
		Polls:            rate("rosemaryspoke_backend_exchanges_total", `/poll"`),
		PollBodyBytes:    rate("rosemaryspoke_backend_body_bytes_total", `/poll"`),
		Starts:           rate("rosemaryspoke_starts_total"),
		IdlePolls:        round(float64(m.servers) / float64(m.daemons) / ownership.DefaultMinRenewal.Seconds()),

		CPUCores: round(cpu.Seconds() / daemonSeconds), HeapBytes: float64(memory.HeapInuse) / float64(m.daemons),
		ResidentBytes: float64(residentBytes()) / float64(m.daemons), MeasuredSeconds: round(seconds),
	}
	c.IdlePollBytes = round(c.IdlePolls * ownership.BytesPerExchange)
	for name := range after[0] {
		if call := labelValue(name, "call"); strings.HasPrefix(name, "rosemaryspoke_platform_calls_total") {
			c.StoreCalls[call] = rate("rosemaryspoke_platform_calls_total", `"`+call+`"`)
		}
	}
	return c, nil
}

// Print writes the report as a table with one column per policy.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s: %d backend servers, %d daemons, %d arrivals in %s, seed %d, scale %g\n%s\n\n",
		r.Deployment, r.Servers, r.Daemons, r.Arrivals, r.Duration, r.Seed, r.Scale, r.Transport)
	row := func(name string, value func(p PolicyResult) string) {
		_, _ = fmt.Fprint(t, name)
		for _, p := range r.Policies {
			_, _ = fmt.Fprint(t, "\t", value(p))
		}
		_, _ = fmt.Fprintln(t)
	}
	row("", func(p PolicyResult) string { return p.Policy })
	for _, class := range WorkClasses {
		row("waiting p50/p99/p99.9 ms "+string(class), func(p PolicyResult) string {
			q := p.Waiting[class]
			return fmt.Sprintf("%.1f / %.1f / %.1f (%d)", q.P50, q.P99, q.P999, q.Count)
		})
	}
	for _, k := range WorkClasses {
		row("outcomes "+string(k), func(p PolicyResult) string { return formatCounts(p.Outcomes[k]) })
	}
	row("packing of the hosts in use", func(p PolicyResult) string { return fmt.Sprintf("%.3f on %.1f hosts", p.Packing, p.HostsInUse) })
	row("slots used", func(p PolicyResult) string { return fmt.Sprintf("%.3f", p.SlotsUsed) })
	row("samples with a full fleet", func(p PolicyResult) string { return fmt.Sprintf("%d of %d", p.FullSamples, p.Samples) })
	for _, team := range r.teams() {
		row("used / fair / distance "+string(team), func(p PolicyResult) string {
			s := p.Shares[team]
			return fmt.Sprintf("%.3f / %.3f / %.3f", s.Used, s.Fair, s.Distance)
		})
	}
	row("mean distance from the fair share", func(p PolicyResult) string { return fmt.Sprintf("%.3f", p.Distance) })
	r.printCost(row)
	row("violations", func(p PolicyResult) string { return fmt.Sprint(len(p.Violations)) })
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (r Report) printCost(row func(name string, value func(p PolicyResult) string)) {
	row("per daemon: starts/s", func(p PolicyResult) string { return fmt.Sprintf("%.1f", p.Cost.Starts) })
	row("per daemon: store calls/s", func(p PolicyResult) string {
		var list []string
		for _, k := range slices.Sorted(maps.Keys(p.Cost.StoreCalls)) {
			if v := p.Cost.StoreCalls[k]; v > 0 {
				list = append(list, fmt.Sprintf("%s %.2f", k, v))
			}
		}
		return strings.Join(list, ", ")
	})
	row("per daemon: store body B/s", func(p PolicyResult) string { return fmt.Sprintf("%.0f", p.Cost.StoreBytes) })
	row("per daemon: peer control / work B/s", func(p PolicyResult) string {
		return fmt.Sprintf("%.0f / %.0f", p.Cost.PeerControlBytes, p.Cost.PeerWorkBytes)
	})
	row("per daemon: polls/s, body B/s", func(p PolicyResult) string { return fmt.Sprintf("%.1f, %.0f", p.Cost.Polls, p.Cost.PollBodyBytes) })
	row("per daemon: idle renewals/s, B/s (computed)", func(p PolicyResult) string {
		return fmt.Sprintf("%.1f, %.0f", p.Cost.IdlePolls, p.Cost.IdlePollBytes)
	})
	row("per daemon: CPU cores (whole process / daemons)", func(p PolicyResult) string { return fmt.Sprintf("%.3f", p.Cost.CPUCores) })
	row("per daemon: heap / resident MB (whole process / daemons)", func(p PolicyResult) string {
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

func formatCounts(counts map[string]int) string {
	var list []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(list, ", ")
}
