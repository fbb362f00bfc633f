//go:build review

// Package lab runs daemons as processes on loopback addresses, with stand-ins of the platform's store, of workers and of requesters,
// and records what was sent, answered and run. The cases of review 2 use it.
package lab

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zone is the only zone of a deployment.
const zone = "zone-a"

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// Lab is a small deployment with its stand-ins.
type Lab struct {
	Store   *Store
	Daemons []*Daemon
	Workers []*Worker
	// Trouble tells whether the disruption of the case is played.
	Trouble bool
	// Listed chooses the jobs whose runs are written to the record; nil means all.
	Listed func(job string) bool

	ctx     context.Context
	dir     string
	started time.Time

	mu      sync.Mutex
	record  *os.File
	demands map[string][]int64 // thousandths of a core of each step, by job
	runs    []*Run
}

// Start starts the store and an empty deployment. The first argument of the program is the folder of the case.
func Start() *Lab {
	l := &Lab{ctx: context.Background(), started: time.Now(), Trouble: os.Getenv("TROUBLE") != "0", demands: map[string][]int64{}}
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(notRun)
	}
	var err error
	l.record, err = os.Create(filepath.Join(os.Args[1], "record.txt"))
	l.check(err)
	l.dir, err = os.MkdirTemp("", "review-2-")
	l.check(err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.Record("the case was interrupted")
		l.exit(notRun)
	}()
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "settings and logs of the daemons:", l.dir)
	}
	l.Record("times are seconds since the start; TROUBLE=%v", l.Trouble)
	l.Store = newStore(l)
	return l
}

func (l *Lab) since() time.Duration { return time.Since(l.started) }

// Now returns the time since the start of the record.
func (l *Lab) Now() time.Duration { return l.since() }

// Until waits until a time since the start of the record.
func (l *Lab) Until(at time.Duration) { time.Sleep(at - l.since()) }

// Record writes a line with the time to record.txt.
func (l *Lab) Record(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f  %s\n", l.since().Seconds(), fmt.Sprintf(format, values...))
}

// check ends a case that can't run.
func (l *Lab) check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		l.exit(notRun)
	}
}

// Finish writes the verdict and ends the case and all its processes.
func (l *Lab) Finish(violations []string) {
	for _, d := range l.Daemons {
		if n := d.OwnEnds(); n > 0 {
			l.Record("daemon %s ended %d times by itself", d.Name, n)
		}
	}
	for _, v := range violations {
		l.Record("BROKEN: %s", v)
	}
	if len(violations) > 0 {
		l.Record("verdict: the rule was broken (%d times)", len(violations))
		l.exit(broken)
	}
	l.Record("verdict: the rule held")
	l.exit(held)
}

// NotRun ends a case whose premise didn't come about.
func (l *Lab) NotRun(reason string) {
	l.Record("verdict: not run, %s", reason)
	l.exit(notRun)
}

func (l *Lab) exit(code int) {
	for _, d := range l.Daemons {
		d.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
	os.Exit(code)
}

// AddWorker starts a worker.
func (l *Lab) AddWorker(id, service string, cpu int64, latency time.Duration) *Worker {
	w := &Worker{ID: id, Service: service, Rack: "rack-" + service, CPU: cpu, Latency: latency, lab: l, address: "127.0.0.1:0"}
	w.Up()
	w.register()
	l.Workers = append(l.Workers, w)
	go func() {
		for range time.Tick(1500 * time.Millisecond) { // heartbeatMs
			w.register()
		}
	}()
	return w
}

// Runs returns all runs so far, in the order of their starts.
func (l *Lab) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		out = append(out, *r)
	}
	return out
}

// MostInUse returns the most thousandths of a core that were in use on all workers at one moment since a time.
func (l *Lab) MostInUse(since time.Duration) int64 {
	runs := l.Runs()
	inUse := func(at time.Duration) (sum int64) {
		for _, r := range runs {
			if r.Start <= at && (r.End == 0 || r.End > at) {
				sum += r.CPU
			}
		}
		return sum
	}
	most := inUse(since)
	for _, r := range runs {
		if r.Start > since {
			most = max(most, inUse(r.Start))
		}
	}
	return most
}

func (l *Lab) listed(task string) bool { return l.Listed == nil || l.Listed(JobOf(task)) }

// JobOf returns the job of a task.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// StepOf returns the step of a task.
func StepOf(task string) int {
	parts := strings.Split(task, ".")
	n, err := strconv.Atoi(parts[min(2, len(parts)-1)])
	if err != nil {
		return -1
	}
	return n
}

// begin notes the start of a run.
func (l *Lab) begin(r *Run, fence uint64) {
	r.Start = l.since()
	l.mu.Lock()
	l.runs = append(l.runs, r)
	l.mu.Unlock()
	if l.listed(r.Task) {
		l.Record("worker %s starts task %s run %d (fence %d)", r.Worker, r.Task, r.Number, fence)
	}
}

// end notes the end of a run.
func (l *Lab) end(r *Run, how string) {
	l.mu.Lock()
	r.End, r.How = l.since(), how
	l.mu.Unlock()
	if l.listed(r.Task) {
		l.Record("worker %s ends task %s run %d: %s", r.Worker, r.Task, r.Number, how)
	}
}

// demand returns the thousandths of a core of a task.
func (l *Lab) demand(task string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	steps := l.demands[JobOf(task)]
	if i := StepOf(task); i >= 0 && i < len(steps) {
		return steps[i]
	}
	return 0
}
