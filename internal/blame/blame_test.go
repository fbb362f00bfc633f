package blame

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

type fixture struct {
	now time.Time
	*Tracker
}

func newFixture(tb testing.TB, c Config) *fixture {
	tb.Helper()
	f := &fixture{now: time.Unix(1_000_000, 0)}
	c.Now = func() time.Time { return f.now }
	t, err := New(c)
	if err != nil {
		tb.Fatal(err)
	}
	f.Tracker = t
	return f
}

func host(i int) ident.HostID { return ident.HostID(fmt.Sprint("host-", i)) }

// succeedOn records one success of another job on each of n hosts.
func (f *fixture) succeedOn(n int) {
	for i := range n {
		f.RecordSuccess(host(i), "good")
	}
}

func (f *fixture) quarantineHost() {
	f.succeedOn(20)
	for _, job := range []ident.JobID{"a", "b", "c"} {
		f.RecordFailure(host(0), job)
	}
}

func TestFaultAttribution(t *testing.T) {
	// The comment of a case names the failure that it guards against.
	cases := map[string]func(t *testing.T, f *fixture){
		// A host that fails every task it starts and attracts more of them because it is always free.
		"a host that fails several jobs is quarantined": func(t *testing.T, f *fixture) {
			f.quarantineHost()
			if f.BlockReason(host(0)) == "" || f.BlockReason(host(1)) != "" || f.AllowStart(host(0)) || !f.AllowStart(host(1)) {
				t.Fatal("want host 0 alone to be blocked after three failures")
			}
		},
		// A host that is taken out for one bad job.
		"one job alone doesn't quarantine a host": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			for range 10 {
				f.RecordFailure(host(0), "bad")
			}
			if reason := f.BlockReason(host(0)); reason != "" {
				t.Fatal(reason)
			}
		},
		// A host that is taken out for rare failures over a long time.
		"a success clears the host": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			for i := range 10 {
				f.RecordFailure(host(0), ident.JobID(fmt.Sprint("job-", i)))
				f.RecordSuccess(host(0), "good")
			}
			if reason := f.BlockReason(host(0)); reason != "" {
				t.Fatal(reason)
			}
		},
		// A job that fails everywhere and uses up the retries, and the hosts it takes with it.
		"a job that fails where others succeed is stopped": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			f.RecordFailure(host(9), "other")
			f.RecordFailure(host(9), "other")
			f.RecordFailure(host(9), "bad")
			for i := range DefaultJobHosts {
				f.RecordFailure(host(i), "bad")
			}
			if _, stop := f.StopReason("bad"); stop || f.BlockReason(host(9)) == "" {
				t.Fatal("want host 9 to be blocked and the job to go on until others succeed")
			}
			f.succeedOn(DefaultJobHosts)
			if reason, stop := f.StopReason("bad"); !stop || reason == "" {
				t.Fatal("the job goes on")
			}
			if _, stop := f.StopReason("other"); stop {
				t.Fatal("another job is stopped")
			}
			if got := f.Dump().Hosts; f.BlockReason(host(9)) != "" || len(got) != 1 || got[0].Failures != 2 {
				t.Fatalf("the job's failures still count: %+v", got)
			}
			f.RecordFailure(host(9), "bad") // the last of its tasks
			if f.BlockReason(host(9)) != "" {
				t.Fatal("a failure of a stopped job counts against the host")
			}
		},
		// A busy job that is stopped because its rack broke.
		"a job isn't blamed for hosts that have just broken": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			for i := range 6 {
				f.RecordFailure(host(i), "busy")
			}
			if reason, stop := f.StopReason("busy"); stop {
				t.Fatal(reason)
			}
		},
		// A good job that is stopped because broken hosts take it one after the other.
		"a job isn't blamed for broken hosts": func(t *testing.T, f *fixture) {
			for i := range 6 {
				f.RecordFailure(host(i), "good")
			}
			if reason, stop := f.StopReason("good"); stop {
				t.Fatal(reason)
			}
		},
		// A job of many tasks that is stopped for a few of them.
		"a job that has succeeded goes on": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			f.RecordFailure(host(0), "flaky")
			f.RecordSuccess(host(1), "flaky")
			for i := range 10 {
				f.RecordFailure(host(i+2), "flaky")
			}
			f.succeedOn(20)
			if reason, stop := f.StopReason("flaky"); stop {
				t.Fatal(reason)
			}
		},
		// A crowd of tasks on a host that is still broken, or one that never comes back.
		"one probe at a time after a growing cooldown": func(t *testing.T, f *fixture) {
			f.quarantineHost()
			cooldown := DefaultCooldown
			for range 8 {
				f.now = f.now.Add(cooldown - 1)
				if f.BlockReason(host(0)) == "" || f.AllowStart(host(0)) {
					t.Fatalf("probed before %v", cooldown)
				}
				f.now = f.now.Add(1)
				if f.BlockReason(host(0)) != "" || !f.AllowStart(host(0)) || f.AllowStart(host(0)) || f.BlockReason(host(0)) == "" {
					t.Fatalf("want one probe after %v", cooldown)
				}
				f.RecordFailure(host(0), "a")
				cooldown = min(2*cooldown, DefaultMaxCooldown)
			}
			f.now = f.now.Add(cooldown)
			f.AllowStart(host(0))
			f.RecordSuccess(host(0), "a")
			if f.BlockReason(host(0)) != "" || f.Dump().Quarantined != 0 {
				t.Fatal("blocked after a successful probe")
			}
		},
		// A host that stays out because the result of its probe was lost.
		"a lost probe is followed by another": func(t *testing.T, f *fixture) {
			f.quarantineHost()
			f.now = f.now.Add(DefaultCooldown)
			f.AllowStart(host(0))
			f.now = f.now.Add(DefaultCooldown)
			if !f.AllowStart(host(0)) {
				t.Fatal("no second probe")
			}
		},
		// A fleet that takes itself out when a shared dependency fails.
		"a failure of everything doesn't quarantine the fleet": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			for i := range 20 {
				for _, job := range []ident.JobID{"a", "b", "c", "d"} {
					f.RecordFailure(host(i), job)
				}
			}
			if n := f.Dump().Quarantined; n > 5 {
				t.Fatalf("%d of 20 hosts are in quarantine", n)
			}
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(t, newFixture(t, Config{})) })
	}
}

// TestBoundedMemory guards against records that grow with the hosts and jobs ever seen, and a count of quarantined
// hosts that drifts when a quarantined host's record is dropped.
func TestBoundedMemory(t *testing.T) {
	f := newFixture(t, Config{MaxHosts: 50, MaxJobs: 50})
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 20_000 {
		if i%3 == 0 {
			f.RecordSuccess(host(r.IntN(500)), ident.JobID(fmt.Sprint("job-", i)))
		} else {
			f.RecordFailure(host(r.IntN(500)), ident.JobID(fmt.Sprint("job-", r.IntN(300))))
		}
		f.now = f.now.Add(time.Second)
		f.AllowStart(host(r.IntN(500)))
	}
	open := 0
	d := f.Dump()
	for _, h := range d.Hosts {
		if h.Quarantined {
			open++
		}
	}
	if d.KnownHosts > 50 || d.KnownJobs > 50 || d.Quarantined != open {
		t.Fatalf("%d hosts, %d jobs, %d quarantined of %d counted", d.KnownHosts, d.KnownJobs, open, d.Quarantined)
	}
}

// scenarioResult is the outcome of a seeded scenario.
type scenarioResult struct{ failed, lost float64 }

// runScenario starts 20,000 tasks of 40 jobs on 48 hosts, of which 3 fail everything for a third of the time and one job
// fails everywhere. A failing host is free again at once, so that half of the starts meet one that isn't blocked.
func runScenario(tb testing.TB, breaker bool) (o scenarioResult) {
	f := newFixture(tb, Config{})
	r := rand.New(rand.NewPCG(6, 6))
	const starts = 20_000
	for i := range starts {
		f.now = f.now.Add(100 * time.Millisecond)
		broken := i > starts/3 && i < 2*starts/3
		at := r.IntN(48)
		if broken && r.IntN(2) == 0 {
			at = r.IntN(3)
		}
		job := ident.JobID(fmt.Sprint("job-", r.IntN(40)))
		if breaker {
			for try := 0; try < 48 && (f.BlockReason(host(at)) != "" || !f.AllowStart(host(at))); try++ {
				at = (at + 1) % 48
			}
			if _, stop := f.StopReason(job); stop {
				continue
			}
		}
		if broken && at < 3 {
			o.failed++
			f.RecordFailure(host(at), job)
		} else if job == "job-7" {
			o.lost++
			f.RecordFailure(host(at), job)
		} else {
			f.RecordSuccess(host(at), job)
		}
	}
	return o
}

// BenchmarkBreaker compares the circuit breaker (Model Routes, circuit breaker) and the stop of jobs with neither.
func BenchmarkBreaker(b *testing.B) {
	for name, breaker := range map[string]bool{"none": false, "breaker": true} {
		b.Run(name, func(b *testing.B) {
			var o scenarioResult
			for b.Loop() {
				o = runScenario(b, breaker)
			}
			b.ReportMetric(o.failed, "failed-on-broken-hosts")
			b.ReportMetric(o.lost, "starts-of-the-broken-job")
		})
	}
}

// BenchmarkMemory reports the heap per host with four failing jobs.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := newFixture(b, Config{})
		for i := range 6300 {
			for j := range 4 {
				f.RecordFailure(host(i), ident.JobID(fmt.Sprint("job-", (i+j)%4000)))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/6300, "B/host")
		runtime.KeepAlive(f)
	}
}
