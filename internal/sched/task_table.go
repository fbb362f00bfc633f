package sched

import (
	"iter"
	"math/bits"
)

// chunkSize is the number of tasks in a chunk of a taskTable.
const chunkSize = 16

// taskTable holds the tasks of a step. A step may have thousands of tasks, of which few are in use at a time, so a task takes memory
// only from its first use until it is done.
type taskTable struct {
	group   *group
	count   int
	allDone bool
	chunks  []*taskChunk // nil until a task is used; nil entries have no used task
}

type taskChunk struct {
	done  uint16 // a bit for each task
	tasks [chunkSize]*task
}

func newTaskTable(g *group, count int) taskTable { return taskTable{group: g, count: count} }

func (t *taskTable) len() int { return t.count }

// isDone reports whether a task is done.
func (t *taskTable) isDone(i int) bool {
	if t.allDone || t.chunks == nil {
		return t.allDone
	}
	c := t.chunks[i/chunkSize]
	return c != nil && c.done&(1<<(i%chunkSize)) != 0
}

func (t *taskTable) chunk(i int) *taskChunk {
	if t.chunks == nil {
		t.chunks = make([]*taskChunk, (t.count+chunkSize-1)/chunkSize)
	}
	c := t.chunks[i/chunkSize]
	if c == nil {
		c = &taskChunk{}
		t.chunks[i/chunkSize] = c
	}
	return c
}

// at returns a task for use.
func (t *taskTable) at(i int) *task {
	c := t.chunk(i)
	if c.tasks[i%chunkSize] == nil {
		c.tasks[i%chunkSize] = t.unused(i)
	}
	return c.tasks[i%chunkSize]
}

// unused returns a task without history, which the table doesn't keep.
func (t *taskTable) unused(i int) *task { return &task{group: t.group, index: i, done: t.isDone(i)} }

// setDone notes that a task is done.
func (t *taskTable) setDone(i int) {
	if !t.allDone {
		t.chunk(i).done |= 1 << (i % chunkSize)
	}
}

// drop releases the memory of a done task without runs.
func (t *taskTable) drop(i int) {
	if t.chunks != nil && t.chunks[i/chunkSize] != nil {
		t.chunks[i/chunkSize].tasks[i%chunkSize] = nil
	}
}

// dropAll releases the memory of all tasks, which are done and have no runs.
func (t *taskTable) dropAll() { t.allDone, t.chunks = true, nil }

// used iterates over the tasks that take memory, in order.
func (t *taskTable) used() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, c := range t.chunks {
			if c == nil {
				continue
			}
			for _, x := range c.tasks {
				if x != nil && !yield(x) {
					return
				}
			}
		}
	}
}

// all iterates over all tasks for use, in order.
func (t *taskTable) all() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for i := range t.count {
			if !yield(t.at(i)) {
				return
			}
		}
	}
}

// waiting iterates over the tasks that have to be started, in order.
func (t *taskTable) waiting() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for i := range t.count {
			if t.isDone(i) {
				continue
			}
			if x := t.at(i); x.waiting() && !yield(x) {
				return
			}
		}
	}
}

// firstUnused returns a task that was never used and isn't done, or nil. The table doesn't keep it.
func (t *taskTable) firstUnused() *task {
	for i := 0; i < t.count && !t.allDone; i++ {
		if !t.isDone(i) && (t.chunks == nil || t.chunks[i/chunkSize] == nil || t.chunks[i/chunkSize].tasks[i%chunkSize] == nil) {
			return t.unused(i)
		}
	}
	return nil
}

// doneBits returns a bit for each task that is done.
func (t *taskTable) doneBits() []byte {
	out := make([]byte, (t.count+7)/8)
	switch {
	case t.allDone:
		for i := range t.count {
			out[i/8] |= 1 << (i % 8)
		}
	default:
		for n, c := range t.chunks {
			if c != nil {
				out[n*chunkSize/8] = byte(c.done & 0xff)
				if n*chunkSize/8+1 < len(out) {
					out[n*chunkSize/8+1] = byte(c.done >> 8)
				}
			}
		}
	}
	return out
}

// restoreDone sets the done tasks from recorded bits and returns their number.
func (t *taskTable) restoreDone(recorded []byte) int {
	done := 0
	for n, b := range recorded {
		for ; b != 0; b &= b - 1 {
			if i := n*8 + bits.TrailingZeros8(b); i < t.count {
				t.setDone(i)
				done++
			}
		}
	}
	if done == t.count {
		t.dropAll()
	}
	return done
}
