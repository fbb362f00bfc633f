//go:build review

package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxListedEnds = 500
	maxHold       = 10 * time.Second // bound holdMaxMs
	stopTime      = 50 * time.Millisecond
)

// Run is one run of a task as its worker saw it.
type Run struct {
	Worker, Task string
	Life         int
	Number       uint64
	CPU          int64
	Start, End   time.Duration // since the start of the record; End is 0 while the run is at work
	How          string
	lasts        bool
}

type runKey struct {
	task   string
	number uint64
}

// Worker is a stand-in of a worker that doesn't guard its capacity.
type Worker struct {
	ID, Service, Rack string
	CPU               int64
	Latency           time.Duration // one way
	lab               *Lab

	mu       sync.Mutex
	address  string
	server   *http.Server
	up       bool
	life     int
	born     time.Time
	fence    uint64
	deadline time.Time
	running  map[runKey]*Run
	ended    [][]any // rows of the list `finished`
	lastEnd  uint64
	acked    uint64
	highest  map[string]uint64 // highest run of each task that was stopped or has ended
	changed  chan struct{}     // closed when a run ends
	sequence int
}

// Up starts the next life of the worker at its address. It is registered with its next heartbeat.
func (w *Worker) Up() {
	w.mu.Lock()
	w.up = true
	w.life++
	w.born, w.fence, w.deadline = time.Now(), 0, time.Time{}
	w.running, w.ended, w.lastEnd, w.acked, w.highest = map[runKey]*Run{}, nil, 0, 0, map[string]uint64{}
	w.changed = make(chan struct{})
	listener, err := net.Listen("tcp", w.address)
	w.lab.check(err)
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.start))
	mux.HandleFunc("POST /run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /hold", w.handle(w.hold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	server, life := w.server, w.life
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.lapse(life)
	w.lab.Record("worker %s of service %s begins life %d with %d thousandths of a core", w.ID, w.Service, life, w.CPU)
}

// Down ends the worker as a crash does: all that runs on it ends, and its channels are closed.
func (w *Worker) Down() {
	w.mu.Lock()
	for _, r := range w.running {
		w.lab.end(r, "crash")
	}
	w.running = map[runKey]*Run{}
	w.up = false
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	w.lab.Record("worker %s crashes", w.ID)
}

// register writes the worker's entry to the store while it is up.
func (w *Worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": w.Service, "address": w.address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"sequence": w.sequence, "capacity": map[string]any{"cpu": w.CPU, "memMb": 64000, "gpu": 0}, "labels": []string{"a", w.Rack},
		"remainingMs": 0, "born": w.born.UnixMilli(),
	})
	w.lab.check(err)
	w.lab.Store.Put("servers/"+w.ID, entry)
}

// call is the body of each call to a worker.
type call struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    uint64 `json:"fencingToken"`
	Acked    uint64 `json:"acked"`
	Wait     int64  `json:"waitMs"`
}

// handle decodes a call, checks its instance and its fence and answers it. The fields of the worker are guarded meanwhile.
func (w *Worker) handle(do func(ctx context.Context, c call) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		time.Sleep(w.Latency)
		var c call
		code, body := http.StatusBadRequest, map[string]any{}
		if err := json.NewDecoder(r.Body).Decode(&c); err == nil {
			w.mu.Lock()
			switch {
			case r.Header.Get("Target-Instance") != w.ID:
				code = http.StatusMisdirectedRequest
			case c.Fence < w.fence:
				code, body = http.StatusConflict, map[string]any{"reason": "fence"}
			default:
				w.fence = c.Fence
				code, body = do(r.Context(), c)
			}
			body["clockMs"], body["born"] = time.Since(w.born).Milliseconds(), w.born.UnixMilli()
			w.mu.Unlock()
		}
		time.Sleep(w.Latency)
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(code)
		_ = json.NewEncoder(out).Encode(body)
	}
}

// extend takes a deadline on the worker's clock. A lease is never shortened, and never longer than maxHold.
func (w *Worker) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	deadline := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); deadline.After(latest) {
		deadline = latest
	}
	if deadline.After(w.deadline) {
		w.deadline = deadline
	}
}

func (w *Worker) start(_ context.Context, c call) (int, map[string]any) {
	w.extend(c.Deadline)
	key := runKey{c.Task, c.Run}
	switch {
	case w.running[key] != nil:
		return http.StatusOK, map[string]any{}
	case c.Run <= w.highest[c.Task]:
		if w.lab.listed(c.Task) {
			w.lab.Record("worker %s refuses task %s run %d as old: run %d has ended there", w.ID, c.Task, c.Run, w.highest[c.Task])
		}
		return http.StatusConflict, map[string]any{"reason": "old"}
	case !w.born.Add(time.Duration(c.Deadline) * time.Millisecond).After(time.Now()):
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	work, err := workOf(c.Spec, c.Task)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r := &Run{Worker: w.ID, Task: c.Task, Life: w.life, Number: c.Run, CPU: w.lab.demand(c.Task)}
	w.running[key] = r
	w.lab.begin(r, c.Fence)
	life := w.life
	switch {
	case !work.lasts:
		time.AfterFunc(work.time, func() { w.finish(life, key, "done") })
	case w.lab.since() < work.failsUntil:
		time.AfterFunc(work.time, func() { w.finish(life, key, "failed") })
	default:
		r.lasts = true
	}
	return http.StatusOK, map[string]any{}
}

// work is what a task does.
type work struct {
	time       time.Duration
	lasts      bool          // the task runs until it is stopped
	failsUntil time.Duration // until then, since the start of the record, each run of a task that lasts fails after the time
}

// workOf returns the work of a task. The spec lists the milliseconds that a task of each step takes. Of a task that lasts it is
// "lasts", the milliseconds after which its runs fail, and the second until which they do.
func workOf(spec, task string) (work, error) {
	var ms, until int
	if n, err := fmt.Sscanf(spec, "lasts %d %d", &ms, &until); err == nil && n == 2 {
		return work{time.Duration(ms) * time.Millisecond, true, time.Duration(until) * time.Second}, nil
	}
	times, step := strings.Split(spec, ","), StepOf(task)
	if step < 0 || step >= len(times) {
		return work{}, fmt.Errorf("spec %q has no step of task %q", spec, task)
	}
	ms, err := strconv.Atoi(times[step])
	if err != nil {
		return work{}, fmt.Errorf("spec %q: %w", spec, err)
	}
	return work{time: time.Duration(ms) * time.Millisecond}, nil
}

// finish ends a run if it is at work in a life of the worker.
func (w *Worker) finish(life int, key runKey, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.running[key]; r != nil && w.life == life {
		w.list(key, r, how)
	}
}

// list moves a run from those at work to those that have ended.
func (w *Worker) list(key runKey, r *Run, how string) {
	delete(w.running, key)
	w.highest[key.task] = max(w.highest[key.task], key.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, key.task, key.number, how, ""})
	w.lab.end(r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) stop(_ context.Context, c call) (int, map[string]any) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	key, life := runKey{c.Task, c.Run}, w.life
	if w.running[key] != nil {
		time.AfterFunc(stopTime, func() { w.finish(life, key, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (w *Worker) hold(ctx context.Context, c call) (int, map[string]any) {
	w.extend(c.Deadline)
	if c.Acked > w.acked {
		w.acked = min(c.Acked, w.lastEnd)
		for len(w.ended) > 0 && w.ended[0][0].(uint64) <= w.acked {
			w.ended = w.ended[1:]
		}
	}
	if len(w.ended) == 0 && c.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for key, r := range w.running {
		percent := 100
		if !r.lasts {
			percent = min(99, 1+int((w.lab.since()-r.Start)/(100*time.Millisecond)))
		}
		running = append(running, []any{key.task, key.number, "", percent, 0})
	}
	ended := w.ended[:min(len(w.ended), maxListedEnds)]
	return http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, ended...)}
}

// lapse ends all runs of a life whenever the lease has expired.
func (w *Worker) lapse(life int) {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		if time.Now().After(w.deadline) {
			for key, r := range w.running {
				w.list(key, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// Unacked returns how many ended runs the worker lists that nobody has taken note of, and how many it has listed in this life.
func (w *Worker) Unacked() (unacked int, listed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ended), w.lastEnd
}
