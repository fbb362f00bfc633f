package load

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Quantiles summarise a distribution of durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P99   float64 `json:"p99-ms"`
	P999  float64 `json:"p99.9-ms"`
	Max   float64 `json:"max-ms"`
}

const (
	maxRecordedWait   = 2 * time.Minute
	significantDigits = 3 // decimal digits of precision
)

// newHistogram returns a histogram for durations in microseconds up to maxRecordedWait.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedWait.Microseconds(), significantDigits)
}

// record adds a duration, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, wait time.Duration) {
	_ = h.RecordValue(min(max(1, wait.Microseconds()), maxRecordedWait.Microseconds()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

// teamDemand is a team's input to the fair division of the fleet.
type teamDemand struct {
	team     ident.TeamID
	weight   float64
	maxShare float64 // fraction of the fleet that the team could use: up to its limit if backlogged, else its present use
}

// fairShares divides total among the teams by weighted max-min fairness: in proportion to their weights, up to their
// maximum shares. What a team can't use is divided among the others in the same way.
func fairShares(total float64, teams []teamDemand) map[ident.TeamID]float64 {
	shares := make(map[ident.TeamID]float64, len(teams))
	sorted := slices.Clone(teams)
	slices.SortFunc(sorted, func(a, b teamDemand) int {
		return cmp.Or(cmp.Compare(a.maxShare/a.weight, b.maxShare/b.weight), cmp.Compare(a.team, b.team))
	})
	remainingWeight := 0.0
	for _, t := range sorted {
		remainingWeight += t.weight
	}
	for _, t := range sorted {
		share := min(t.maxShare, total*t.weight/remainingWeight)
		shares[t.team] = share
		total -= share
		remainingWeight -= t.weight
	}
	return shares
}

// packing returns the mean dominant share of used capacity over the hosts that run at least one attempt, and their number.
// A host's share is at most 1, also when its capacity has shrunk below its use.
func packing(hosts []hostState) (fraction float64, inUse int) {
	sum := 0.0
	for _, h := range hosts {
		if h.Attempts == 0 {
			continue
		}
		inUse++
		sum += min(1, h.Capacity.Sub(h.Free).DominantShare(h.Capacity))
	}
	if inUse == 0 {
		return 0, 0
	}
	return sum / float64(inUse), inUse
}

// hostState holds the sampled fields of one backend server in a daemon's state dump.
type hostState struct {
	Capacity resource.Vector `json:"capacity"`
	Free     resource.Vector `json:"free"`
	Attempts int             `json:"attempts"`
}

// parseMetrics parses the Prometheus text format into values keyed by metric name with labels.
func parseMetrics(r io.Reader) (map[string]float64, error) {
	values := map[string]float64{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ')
		if at < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		v, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("parse metric %q: %w", line, err)
		}
		values[line[:at]] = v
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	return values, nil
}

// labelValue returns the value of the label key in a metric name with labels, or "".
func labelValue(name, key string) string {
	_, rest, ok := strings.Cut(name, key+`="`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// counterIncrease sums the increase of all counters whose name has the prefix and contains every given label text.
func counterIncrease(before, after map[string]float64, prefix string, labels ...string) float64 {
	sum := 0.0
	for name, v := range after {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		if slices.ContainsFunc(labels, func(l string) bool { return !strings.Contains(name, l) }) {
			continue
		}
		sum += v - before[name]
	}
	return sum
}

// cpuTime returns the user and system CPU time of this process, or 0 if it is not available.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentBytes returns the resident set size of this process, or 0 if it is not available.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize())
}

// mean returns the arithmetic mean, or 0 for no values.
func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// round rounds to three decimals to keep the JSON report readable.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }
