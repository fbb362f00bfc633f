//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

const (
	maxLease = 10 * time.Second       // holdMaxMs
	stopTime = 100 * time.Millisecond // stopTimeoutMs is 200
	moment   = 5 * time.Millisecond   // interval at which runs are looked at
)

// outcome is how a run of a task ends, and after how long.
type outcome struct {
	after time.Duration
	how   string // done or failed
}

// worker is a backend server by PROTOCOL.md, with what the cases use of it.
type worker struct {
	record  *record
	history *history
	info    sched.Server
	booted  time.Time
	ends    func(task string, run int) outcome // of the run-th run of a task, from 1 on

	mu       sync.Mutex
	fence    uint64
	lease    time.Time
	runs     map[string]*run
	old      map[string]uint64 // highest run of a task that was stopped or ended
	finished []*end            // that aren't acknowledged
	last     uint64
	changed  chan struct{} // closed at the next end
	// cutOff reports whether the sender of a fencing token doesn't reach the worker; nil means that all do.
	cutOff func(fence uint64) bool
}

// end is the end of a run.
type end struct {
	worker *worker
	number uint64
	task   string
	run    uint64
	how    string
	at     time.Time
	// notedAt is when the end was acknowledged. An end is lapsed if the worker's lease had lapsed by then.
	notedAt time.Time
	lapsed  bool
}

type run struct {
	number       uint64
	began, until time.Time
	how          string
	stopAt       time.Time
}

// newWorker serves a worker on a free loopback port.
func newWorker(r *record, h *history, info sched.Server, ends func(string, int) outcome) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", info.ID, err)
	}
	now := time.Now()
	info.Address, info.Incarnation = l.Addr().String(), now.UnixMilli()
	w := &worker{record: r, history: h, info: info, ends: ends, changed: make(chan struct{})}
	w.beginLife(now.Add(-time.Hour))
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	go func() {
		for {
			time.Sleep(moment)
			w.mu.Lock()
			w.endRuns(time.Now())
			w.mu.Unlock()
		}
	}()
	return w, nil
}

// beginLife begins a life of the worker, which knows nothing of the one before.
func (w *worker) beginLife(booted time.Time) {
	w.booted, w.fence, w.lease = booted, 0, time.Time{}
	w.runs, w.old, w.finished, w.last = map[string]*run{}, map[string]uint64{}, nil, 0
}

// restart ends the life of the worker and begins another one under its id.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.beginLife(now)
	w.info.Incarnation = now.UnixMilli()
	w.record.note("%s: has crashed and is back under its id", w.info.ID)
}

// setCutOff sets who doesn't reach the worker.
func (w *worker) setCutOff(cutOff func(fence uint64) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff = cutOff
}

// endRuns ends the runs that are done, stopped or without a lease.
func (w *worker) endRuns(now time.Time) {
	for _, e := range w.finished {
		e.lapsed = e.lapsed || now.After(w.lease)
	}
	for task, r := range w.runs {
		how := ""
		switch {
		case now.After(w.lease):
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case now.After(r.until):
			how = r.how
		default:
			continue
		}
		delete(w.runs, task)
		w.old[task] = max(w.old[task], r.number)
		w.last++
		e := &end{worker: w, number: w.last, task: task, run: r.number, how: how, at: now}
		w.finished = append(w.finished, e)
		w.history.ended(e)
		w.record.note("%s: run %d of %s ended %s", w.info.ID, r.number, task, how)
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Deadline int64  `json:"deadlineMs"`
	Fence    uint64 `json:"fencingToken"`
	Acked    uint64 `json:"acked"`
	Wait     int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	var o order
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if in.Header.Get("Target-Instance") != string(w.info.ID) {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.cutOff != nil && w.cutOff(o.Fence) {
		w.mu.Unlock()
		<-in.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reply := http.StatusConflict, map[string]any{}
	if reason := w.carryOut(in, &o, reply); reason != "" {
		reply["reason"] = reason
	} else {
		status = http.StatusOK
	}
	reply["clockMs"] = time.Since(w.booted).Milliseconds()
	w.mu.Unlock()
	raw, err := json.Marshal(reply)
	if err != nil {
		status = http.StatusInternalServerError
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(raw)
}

// carryOut carries out an order and returns why it is refused, or "". It gives up the lock while a hold waits.
func (w *worker) carryOut(in *http.Request, o *order, reply map[string]any) string {
	now := time.Now()
	w.endRuns(now)
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	switch in.URL.Path {
	case "/run-start":
		return w.start(o, now)
	case "/run-stop":
		w.old[o.Task] = max(w.old[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
		}
	case "/hold":
		w.finished = slices.DeleteFunc(w.finished, func(e *end) bool {
			if e.number <= o.Acked {
				e.notedAt = now
				w.record.note("%s: the end of run %d of %s is taken note of; lease lapsed before: %t", w.info.ID, e.run, e.task, e.lapsed)
			}
			return e.number <= o.Acked
		})
		w.extendLease(o.Deadline, now)
		w.awaitEnd(in, now.Add(time.Duration(o.Wait)*time.Millisecond))
		w.list(reply)
	}
	return ""
}

// start starts a run. The workers of the cases don't guard their capacity.
func (w *worker) start(o *order, now time.Time) string {
	if now.Sub(w.booted).Milliseconds() > o.Deadline {
		return "late"
	}
	w.extendLease(o.Deadline, now)
	switch r := w.runs[o.Task]; {
	case r != nil && r.number == o.Run:
		return ""
	case r != nil || o.Run <= w.old[o.Task]:
		return "old"
	}
	e := w.ends(o.Task, w.history.started(o.Task, now))
	w.runs[o.Task] = &run{number: o.Run, began: now, until: now.Add(e.after), how: e.how}
	w.record.note("%s: run %d of %s started by the leader with fencing token %d, lease for %.1f s",
		w.info.ID, o.Run, o.Task, o.Fence, w.lease.Sub(now).Seconds())
	return ""
}

// extendLease sets the end of the lease to a reading of the worker's clock. It never shortens it.
func (w *worker) extendLease(deadline int64, now time.Time) {
	end := w.booted.Add(time.Duration(deadline) * time.Millisecond)
	if most := now.Add(maxLease); end.After(most) {
		end = most
	}
	if end.After(w.lease) {
		w.lease = end
	}
}

// awaitEnd waits until a run has ended, at most until a time.
func (w *worker) awaitEnd(in *http.Request, until time.Time) {
	for len(w.finished) == 0 && time.Now().Before(until) && in.Context().Err() == nil {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-in.Context().Done():
		}
		w.mu.Lock()
	}
}

// list adds the runs in progress and the ends that aren't acknowledged to a reply.
func (w *worker) list(reply map[string]any) {
	now := time.Now()
	running := [][]any{}
	for task, r := range w.runs {
		percent := min(100*now.Sub(r.began)/max(r.until.Sub(r.began), 1), 99)
		if r.until.Sub(r.began) > time.Minute {
			percent = 100 // a task that lasts is at work
		}
		running = append(running, []any{task, r.number, "", int(percent), 0})
	}
	finished := [][]any{}
	for _, e := range w.finished[:min(len(w.finished), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply["born"], reply["running"], reply["finished"] = w.info.Incarnation, running, finished
}
