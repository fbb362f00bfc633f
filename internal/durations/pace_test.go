package durations

import (
	"testing"
	"time"
)

const second = time.Second

// Guards against a slow server that passes for one with long tasks, and against long tasks that speak against a server at its usual rate.
func TestPeers(t *testing.T) {
	const began = 10 * second // of the run that is judged
	for name, c := range map[string]struct {
		others []Pace
		want   bool
	}{
		"no other run":         {},
		"usual":                {others: []Pace{{From: 11 * second, To: 12 * second, Ratio: 1}}, want: true},
		"slow":                 {others: []Pace{{From: 11 * second, To: 12 * second, Ratio: 5}}},
		"neither":              {others: []Pace{{From: 11 * second, To: 12 * second, Ratio: 1.7}}},
		"usual before the run": {others: []Pace{{From: 8 * second, To: 10 * second, Ratio: 1}}},
		"usual, mostly before": {others: []Pace{{From: 8 * second, To: 11 * second, Ratio: 1}}},
		"usual, half before":   {others: []Pace{{From: 9 * second, To: 11 * second, Ratio: 1}}},
		"usual, mostly after":  {others: []Pace{{From: 9 * second, To: 12 * second, Ratio: 1}}, want: true},
		"as many slow ones":    {others: []Pace{{From: 11 * second, To: 12 * second, Ratio: 1}, {From: 11 * second, To: 12 * second, Ratio: 3}}},
		"slow ones before don't count": {
			others: []Pace{{From: 11 * second, To: 12 * second, Ratio: 1}, {From: 5 * second, To: 10 * second, Ratio: 3}},
			want:   true,
		},
		"empty entries": {others: make([]Pace, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			var (
				recent Recent
				peers  Peers
			)
			for _, p := range c.others {
				recent.Add(p)
			}
			recent.CountSince(began, &peers)
			if got := peers.ServerAtUsualRate(); got != c.want {
				t.Errorf("usual rate: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against memory that grows with the number of runs that ended on a server, and against old paces that outlive newer ones.
func TestRecentKeepsTheLatest(t *testing.T) {
	var r Recent
	for i := range time.Duration(100) {
		r.Add(Pace{From: i * second, To: (i + 1) * second, Ratio: 1})
	}
	var all, latest Peers
	r.CountSince(0, &all)
	r.CountSince(95*second, &latest)
	if all.Usual != recentPaces || latest.Usual != 5 {
		t.Errorf("%d paces and %d since the 95th, want %d and 5", all.Usual, latest.Usual, recentPaces)
	}
}

// A server becomes 5 times slower while a run is half done. Guards against a pace that reflects the time before.
func TestPaceShowsLatestRate(t *testing.T) {
	const expected = 10 * second
	var s Samples
	if _, ok := s.Pace(0, second, 4, expected); ok {
		t.Error("a progress of 4 points shows a pace")
	}
	for percent := 10; percent <= 50; percent += 10 {
		s.Note(time.Duration(percent/10)*second, percent)
	}
	p, ok := s.Pace(0, 5*second, 50, expected)
	if !ok || p.Ratio < 0.99 || p.Ratio > 1.01 {
		t.Errorf("pace before %v, %v, want 1", p, ok)
	}
	for percent := 60; percent <= 80; percent += 10 {
		s.Note(5*second+time.Duration(percent-50)*second/2, percent)
	}
	p, ok = s.Pace(0, 20*second, 80, expected)
	if !ok || p.Ratio < 4.9 || p.Ratio > 5.1 || p.From < 5*second {
		t.Errorf("pace afterwards %v, %v, want 5", p, ok)
	}
	if p, ok = s.Pace(0, 40*second, 80, expected); !ok || p.Ratio < 10 {
		t.Errorf("pace without further progress %v, %v, want over 10", p, ok)
	}
}
