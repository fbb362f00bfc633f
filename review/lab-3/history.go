//go:build review

package main

import (
	"slices"
	"sync"
	"time"
)

// history holds the starts and the ends of the runs of each task, on all workers.
type history struct {
	mu     sync.Mutex
	starts map[string][]time.Time
	ends   map[string][]*end // an end may only be read with the lock of its worker
}

func newHistory() *history {
	return &history{starts: map[string][]time.Time{}, ends: map[string][]*end{}}
}

// started notes a start and returns the number of starts of the task so far.
func (h *history) started(task string, at time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts[task] = append(h.starts[task], at)
	return len(h.starts[task])
}

func (h *history) ended(e *end) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends[e.task] = append(h.ends[e.task], e)
}

func (h *history) startsOf(task string) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.starts[task])
}

// endsOf returns copies of the ends of a task.
func (h *history) endsOf(task string) []end {
	h.mu.Lock()
	ends := slices.Clone(h.ends[task])
	h.mu.Unlock()
	var copies []end
	for _, e := range ends {
		e.worker.mu.Lock()
		copies = append(copies, *e)
		e.worker.mu.Unlock()
	}
	return copies
}
