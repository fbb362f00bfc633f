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

// succeedOn records one success of the job "good" on each of the first n hosts.
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
	// The comment above a case names the fault that it guards against.
	cases := map[string]func(t *testing.T, f *fixture){
		// A host that fails every task at once is always free and therefore gets even more tasks.
		"a host that fails several jobs is quarantined": func(t *testing.T, f *fixture) {
			f.quarantineHost()
			if f.BlockReason(host(0)) == "" || f.BlockReason(host(1)) != "" || f.AllowStart(host(0)) || !f.AllowStart(host(1)) {
				t.Fatal("want host 0 alone to be blocked after three failures")
			}
		},
		// A host is quarantined because of one faulty job.
		"failures of a single job don't quarantine a host": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			for range 10 {
				f.RecordFailure(host(0), "bad")
			}
			if reason := f.BlockReason(host(0)); reason != "" {
				t.Fatal(reason)
			}
		},
		// A host is quarantined because of rare failures over a long time.
		"a success resets the host's failures": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			for i := range 10 {
				f.RecordFailure(host(0), ident.JobID(fmt.Sprint("job-", i)))
				f.RecordSuccess(host(0), "good")
			}
			if reason := f.BlockReason(host(0)); reason != "" {
				t.Fatal(reason)
			}
		},
		// A job that fails everywhere uses up the retry budget and causes hosts to be quarantined.
		"a job that fails where others succeed is stopped": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			f.RecordFailure(host(9), "other")
			f.RecordFailure(host(9), "other")
			f.RecordFailure(host(9), "bad")
			for i := range DefaultJobHosts {
				f.RecordFailure(host(i), "bad")
			}
			if _, stop := f.StopReason("bad"); stop || f.BlockReason(host(9)) == "" {
				t.Fatal("want host 9 to be blocked and the job not to be stopped before other jobs succeed")
			}
			f.succeedOn(DefaultJobHosts)
			if reason, stop := f.StopReason("bad"); !stop || reason == "" {
				t.Fatal("the job isn't stopped")
			}
			if _, stop := f.StopReason("other"); stop {
				t.Fatal("another job is stopped")
			}
			if got := f.Dump().Hosts; f.BlockReason(host(9)) != "" || len(got) != 1 || got[0].Failures != 2 {
				t.Fatalf("failures of the stopped job still count against hosts: %+v", got)
			}
			f.RecordFailure(host(9), "bad") // the last of its tasks
			if f.BlockReason(host(9)) != "" {
				t.Fatal("a failure of a stopped job counts against the host")
			}
		},
		// A busy job is stopped because its rack broke.
		"a job isn't stopped for hosts that broke after earlier successes": func(t *testing.T, f *fixture) {
			f.succeedOn(20)
			for i := range 6 {
				f.RecordFailure(host(i), "busy")
			}
			if reason, stop := f.StopReason("busy"); stop {
				t.Fatal(reason)
			}
		},
		// A job without fault is stopped because it is placed on one broken host after the other.
		"a job isn't stopped for hosts where nothing succeeded": func(t *testing.T, f *fixture) {
			for i := range 6 {
				f.RecordFailure(host(i), "good")
			}
			if reason, stop := f.StopReason("good"); stop {
				t.Fatal(reason)
			}
		},
		// A job with many tasks is stopped because a few of them fail.
		"a job that has succeeded once isn't stopped": func(t *testing.T, f *fixture) {
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
		// Many tasks start at once on a host that is still broken, or a repaired host stays in quarantine.
		"one probe at a time after a cooldown that doubles": func(t *testing.T, f *fixture) {
			f.quarantineHost()
			cooldown := DefaultCooldown
			for range 8 {
				f.now = f.now.Add(cooldown - 1)
				if f.BlockReason(host(0)) == "" || f.AllowStart(host(0)) {
					t.Fatalf("a probe was allowed before the cooldown of %v", cooldown)
				}
				f.now = f.now.Add(1)
				if f.BlockReason(host(0)) != "" || !f.AllowStart(host(0)) || f.AllowStart(host(0)) || f.BlockReason(host(0)) == "" {
					t.Fatalf("want exactly one probe after the cooldown of %v", cooldown)
				}
				f.RecordFailure(host(0), "a")
				cooldown = min(2*cooldown, DefaultMaxCooldown)
			}
			f.now = f.now.Add(cooldown)
			f.AllowStart(host(0))
			f.RecordSuccess(host(0), "a")
			if f.BlockReason(host(0)) != "" || f.Dump().Quarantined != 0 {
				t.Fatal("the host is still quarantined after a successful probe")
			}
		},
		// A host stays in quarantine because the result of its probe was lost.
		"another probe is allowed if the result of the first is lost": func(t *testing.T, f *fixture) {
			f.quarantineHost()
			f.now = f.now.Add(DefaultCooldown)
			f.AllowStart(host(0))
			f.now = f.now.Add(DefaultCooldown)
			if !f.AllowStart(host(0)) {
				t.Fatal("no second probe was allowed")
			}
		},
		// All hosts are quarantined because a shared dependency fails.
		"failures on all hosts quarantine only a fraction of them": func(t *testing.T, f *fixture) {
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

// Guards against memory that grows with the number of hosts and jobs ever seen, and against a wrong count of quarantined
// hosts after the record of a quarantined host is evicted.
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
		t.Fatalf("%d hosts, %d jobs, %d hosts quarantined but %d counted", d.KnownHosts, d.KnownJobs, open, d.Quarantined)
	}
}

// scenarioResult counts the failed starts of a scenario, on broken hosts and of the broken job.
type scenarioResult struct{ failedOnBrokenHosts, startsOfBrokenJob float64 }

// runScenario starts 20,000 tasks of 40 jobs on 48 hosts, of which 3 fail everything for a third of the time and one job
// fails everywhere. A broken host is free again at once, so during that time half of the starts go to a broken host
// unless it is blocked.
func runScenario(tb testing.TB, withBreaker bool) (o scenarioResult) {
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
		if withBreaker {
			for try := 0; try < 48 && (f.BlockReason(host(at)) != "" || !f.AllowStart(host(at))); try++ {
				at = (at + 1) % 48
			}
			if _, stop := f.StopReason(job); stop {
				continue
			}
		}
		if broken && at < 3 {
			o.failedOnBrokenHosts++
			f.RecordFailure(host(at), job)
		} else if job == "job-7" {
			o.startsOfBrokenJob++
			f.RecordFailure(host(at), job)
		} else {
			f.RecordSuccess(host(at), job)
		}
	}
	return o
}

// BenchmarkBreaker compares the circuit breaker (Model Routes, circuit breaker) and the stopping of jobs with neither.
func BenchmarkBreaker(b *testing.B) {
	for name, breaker := range map[string]bool{"none": false, "breaker": true} {
		b.Run(name, func(b *testing.B) {
			var o scenarioResult
			for b.Loop() {
				o = runScenario(b, breaker)
			}
			b.ReportMetric(o.failedOnBrokenHosts, "failed-on-broken-hosts")
			b.ReportMetric(o.startsOfBrokenJob, "starts-of-the-broken-job")
		})
	}
}

// BenchmarkMemory reports the heap bytes per host, with four failing jobs each.
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
