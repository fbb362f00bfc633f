package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	reportInterval = 1500 * time.Millisecond // heartbeatMs of the sites
	maxLease       = 10 * time.Second        // holdMaxMs
	stopTime       = 50 * time.Millisecond   // at most stopTimeoutMs, 200 ms
	// endsPerList is how many unacknowledged ends a response lists, as PROTOCOL.md says.
	endsPerList = 500
)

// task is what the spec of a job of the scripts says of each of its tasks: "cpu=400 mem=100 ms=300".
type task struct{ cpu, mem, ms int64 }

func parseSpec(spec string) (t task) {
	_, _ = fmt.Sscanf(spec, "cpu=%d mem=%d ms=%d", &t.cpu, &t.mem, &t.ms)
	return t
}

type runKey struct {
	task string
	run  uint64
}

type run struct {
	task
	started time.Time
	ends    *time.Timer
}

type end struct {
	n   uint64
	key runKey
	how string
}

// worker is a backend server.
type worker struct {
	store            *store
	id, address      string
	label            string
	cpu, mem         int64
	born             time.Time
	server           *http.Server
	mu               sync.Mutex
	draining         int64         // remainingMs while it drains, else 0
	oneWay           time.Duration // delay of the link, each way
	fence            uint64
	leaseEnds        time.Time
	lapsed           bool
	running          map[runKey]*run
	highest          map[string]uint64 // highest run that was stopped or ended, by task
	finished         []end
	lastEnd, lastAck uint64
	sequence         int
	changed          chan struct{} // closed at the next end
}

// startWorker starts a server, which registers before it serves.
func startWorker(s *store, id, address, label string, cpu, mem int64) (*worker, error) {
	v := &worker{
		store: s, id: id, address: address, label: label, cpu: cpu, mem: mem, born: time.Now(), running: map[runKey]*run{},
		highest: map[string]uint64{}, changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	record("%s starts: born %d, cpu %d, mem %d, label %s", id, v.born.UnixMilli(), cpu, mem, label)
	v.report()
	v.server = &http.Server{Handler: v, ConnContext: links.withCaller}
	go func() { _ = v.server.Serve(l) }()
	go v.keepReporting()
	go v.watchLease()
	return v, nil
}

// report writes the server's entry to the store.
func (v *worker) report() {
	v.mu.Lock()
	v.sequence++
	entry := map[string]any{
		"service": service, "address": v.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"sequence": v.sequence, "born": v.born.UnixMilli(), "labels": []string{v.label, "r1-1"},
		"capacity": map[string]int64{"cpu": v.cpu, "memMb": v.mem, "gpu": 0},
	}
	v.mu.Unlock()
	value, _ := json.Marshal(entry)
	if !links.isServerCut(v.id) {
		v.store.writeAsOutsider("servers/"+v.id, value)
	}
}

func (v *worker) keepReporting() {
	for range time.Tick(reportInterval) {
		v.report()
	}
}

func (v *worker) setLinkDelay(ms int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.oneWay = time.Duration(ms) * time.Millisecond
	record("%s is reached over a link of %d ms each way", v.id, ms)
}

func (v *worker) clock() int64 { return time.Since(v.born).Milliseconds() + 1 }

// watchLease ends all runs when the lease has expired.
func (v *worker) watchLease() {
	for range time.Tick(10 * time.Millisecond) {
		v.mu.Lock()
		if !v.lapsed && !v.leaseEnds.IsZero() && time.Now().After(v.leaseEnds) {
			v.lapsed = true
			record("%s: the lease has expired with %d runs", v.id, len(v.running))
			for key := range v.running {
				v.finish(key, "lapsed")
			}
		}
		v.mu.Unlock()
	}
}

func (v *worker) extendLease(deadline int64) {
	ends := time.Now().Add(min(time.Duration(deadline-v.clock())*time.Millisecond, maxLease))
	if deadline > 0 && ends.After(v.leaseEnds) {
		v.leaseEnds, v.lapsed = ends, false
	}
}

// finish ends a run and lists its end.
func (v *worker) finish(key runKey, how string) {
	r, ok := v.running[key]
	if !ok {
		return
	}
	r.ends.Stop()
	delete(v.running, key)
	v.highest[key.task] = max(v.highest[key.task], key.run)
	v.lastEnd++
	v.finished = append(v.finished, end{n: v.lastEnd, key: key, how: how})
	record("%s end %d: task %s run %d %s", v.id, v.lastEnd, key.task, key.run, how)
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *worker) used() (cpu, mem int64) {
	for _, r := range v.running {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	return cpu, mem
}

type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    uint64 `json:"fencingToken"`
	Acked    uint64 `json:"acked"`
	Wait     int64  `json:"waitMs"`
}

// ServeHTTP receives an order and sends its response over the link.
func (v *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if links.isCut(r, v.id) {
		withhold(r)
	}
	v.mu.Lock()
	oneWay := v.oneWay
	v.mu.Unlock()
	if oneWay == 0 {
		v.carryOut(w, r)
		return
	}
	time.Sleep(oneWay)
	response := httptest.NewRecorder()
	v.carryOut(response, r)
	time.Sleep(oneWay)
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes())
}

func (v *worker) carryOut(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if r.Header.Get("Target-Instance") != v.id {
		reply(w, http.StatusMisdirectedRequest, nil)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/")
	v.mu.Lock()
	defer v.mu.Unlock()
	if o.Fence < v.fence {
		record("%s refuses %s with fence %d, it has seen %d", v.id, path, o.Fence, v.fence)
		reply(w, http.StatusConflict, map[string]any{"clockMs": v.clock(), "reason": "fence"})
		return
	}
	v.fence = o.Fence
	switch path {
	case "run-start":
		v.start(w, o)
	case "run-stop":
		v.stop(w, o)
	case "hold":
		v.hold(w, r, o)
		if links.isCut(r, v.id) {
			panic(http.ErrAbortHandler)
		}
	case "pace":
		reply(w, http.StatusOK, map[string]any{"clockMs": v.clock()})
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (v *worker) start(w http.ResponseWriter, o order) {
	key := runKey{o.Task, o.Run}
	refuse := func(reason string) {
		record("%s refuses task %s run %d: %s", v.id, o.Task, o.Run, reason)
		reply(w, http.StatusConflict, map[string]any{"clockMs": v.clock(), "reason": reason})
	}
	if o.Deadline <= v.clock() {
		refuse("late")
		return
	}
	v.extendLease(o.Deadline)
	if v.running[key] == nil {
		if o.Run <= v.highest[o.Task] {
			refuse("old")
			return
		}
		t := parseSpec(o.Spec)
		v.running[key] = &run{task: t, started: time.Now(), ends: time.AfterFunc(time.Duration(t.ms)*time.Millisecond, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.finish(key, "done")
		})}
		cpu, mem := v.used()
		record("%s start: task %s run %d, in use cpu %d of %d, mem %d of %d, fence %d", v.id, o.Task, o.Run, cpu, v.cpu, mem, v.mem, o.Fence)
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": v.clock()})
}

func (v *worker) stop(w http.ResponseWriter, o order) {
	record("%s stop: task %s run %d", v.id, o.Task, o.Run)
	v.highest[o.Task] = max(v.highest[o.Task], o.Run)
	for key := range v.running {
		if key.task == o.Task && key.run <= o.Run {
			time.AfterFunc(stopTime, func() {
				v.mu.Lock()
				defer v.mu.Unlock()
				v.finish(key, "stopped")
			})
		}
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": v.clock()})
}

// hold takes note of ends, extends the lease, waits for an end and lists what runs and what has ended.
func (v *worker) hold(w http.ResponseWriter, r *http.Request, o order) {
	if o.Acked > v.lastAck {
		v.lastAck = o.Acked
		record("%s: ends up to %d are taken note of", v.id, o.Acked)
	}
	for len(v.finished) > 0 && v.finished[0].n <= o.Acked {
		v.finished = v.finished[1:]
	}
	v.extendLease(o.Deadline)
	timeout := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(v.finished) == 0; {
		changed := v.changed
		v.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		v.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for key, x := range v.running {
		percent := min(99, 100*time.Since(x.started).Milliseconds()/max(x.ms, 1))
		running = append(running, []any{key.task, key.run, "", percent, x.cpu})
	}
	for _, e := range v.finished[:min(len(v.finished), endsPerList)] {
		finished = append(finished, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{
		"clockMs": v.clock(), "born": v.born.UnixMilli(), "running": running, "finished": finished,
	})
}
