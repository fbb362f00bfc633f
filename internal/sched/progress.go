package sched

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Progress is the durable state of a job apart from its description. It excludes runs, which servers report.
type Progress struct {
	State State     `json:"state,omitempty"` // set for terminal states only
	Ended time.Time `json:"ended,omitzero"`
	// Remaining is what may still have been in progress when the job ended. The next leader counts it against the team's limit.
	Remaining Remaining `json:"remaining,omitzero"`
	Begun     bool      `json:"begun,omitempty"`
	// Services are those, besides the one of the queue at acceptance, on whose servers tasks may have been started. Each is recorded
	// before the first start there. Records of daemons before it name none.
	Services    []ServiceID                `json:"services,omitempty"`
	DoneBefore  int                        `json:"done-before,omitempty"` // all occurrences below this number are done
	Occurrences map[int]OccurrenceProgress `json:"occurrences,omitempty"`
}

// Remaining is the demand of runs that may be in progress.
type Remaining struct {
	Demand        resource.Vector   `json:"demand"`
	BestEffortCPU resource.MilliCPU `json:"best-effort-cpu,omitempty"` // part of best-effort tasks in the demand
}

// add adds n tasks of a step.
func (r *Remaining) add(step *Step, n int) {
	demand := step.Demand.Times(int64(n))
	r.Demand = r.Demand.Add(demand)
	if step.BestEffort {
		r.BestEffortCPU += demand.CPU
	}
}

// OccurrenceProgress is the progress of one occurrence.
type OccurrenceProgress struct {
	Done     [][]byte               `json:"done,omitempty"`     // a bit for each task, by step
	Failures map[string][]RunNumber `json:"failures,omitempty"` // failed runs by step.index; the index of a gang is gangIndex
	Saved    map[string]Checkpoint  `json:"saved,omitempty"`    // by step.index
}

// taskKey returns the key step.index under which progress of a task is recorded.
func taskKey(step, index int) string { return strconv.Itoa(step) + "." + strconv.Itoa(index) }

func parseTaskKey(text string) (step, index int, ok bool) {
	a, b, found := strings.Cut(text, ".")
	step, err1 := strconv.Atoi(a)
	index, err2 := strconv.Atoi(b)
	return step, index, found && err1 == nil && err2 == nil
}

// gangIndex is the index under which the failed runs of a gang are recorded.
const gangIndex = -1

// progress returns the durable state of the job.
func (j *job) progress() Progress {
	if j.state.Terminal() {
		return Progress{State: j.state, Ended: j.endedAt, Begun: j.begun}
	}
	p := Progress{
		Begun: j.begun, Services: slices.Clone(j.services), DoneBefore: j.doneBefore, Occurrences: map[int]OccurrenceProgress{},
	}
	for k, o := range j.occurrences {
		p.Occurrences[k] = o.progress()
	}
	return p
}

func (o *occurrence) progress() OccurrenceProgress {
	p := OccurrenceProgress{Failures: map[string][]RunNumber{}, Saved: map[string]Checkpoint{}}
	for _, g := range o.groups {
		bits := make([]byte, (len(g.tasks)+7)/8)
		for n, t := range g.tasks {
			if t.done {
				bits[n/8] |= 1 << (n % 8)
				continue
			}
			if len(t.failedRuns) > 0 {
				p.Failures[taskKey(g.index, n)] = slices.Clone(t.failedRuns)
			}
			if t.checkpoint != "" {
				p.Saved[taskKey(g.index, n)] = t.checkpoint
			}
		}
		if len(g.failedRuns) > 0 {
			p.Failures[taskKey(g.index, gangIndex)] = slices.Clone(g.failedRuns)
		}
		p.Done = append(p.Done, bits)
	}
	return p
}

// restore applies recorded progress to a newly created occurrence.
func (o *occurrence) restore(p OccurrenceProgress) {
	for i, bits := range p.Done {
		if i >= len(o.groups) {
			break
		}
		g := o.groups[i]
		for n, t := range g.tasks {
			if n/8 < len(bits) && bits[n/8]&(1<<(n%8)) != 0 {
				t.markDone()
				g.done++
			}
		}
	}
	for name, runs := range p.Failures {
		step, index, ok := parseTaskKey(name)
		if !ok || step < 0 || step >= len(o.groups) || index >= len(o.groups[step].tasks) {
			continue
		}
		g := o.groups[step]
		if index == gangIndex {
			g.failedRuns = runs
			continue
		}
		if index >= 0 {
			g.tasks[index].failedRuns = runs
		}
	}
	for name, saved := range p.Saved {
		step, index, ok := parseTaskKey(name)
		if ok && step >= 0 && step < len(o.groups) && index >= 0 && index < len(o.groups[step].tasks) {
			o.groups[step].tasks[index].checkpoint = saved
		}
	}
	o.done = o.allComplete()
}

func (o *occurrence) allComplete() bool {
	for _, g := range o.groups {
		if !g.complete() {
			return false
		}
	}
	return true
}

// TakeExpired removes up to limit ended jobs whose retention has expired and returns their ids.
func (s *Scheduler) TakeExpired(now time.Time, limit int) []ident.JobID {
	var ids []ident.JobID
	for len(s.endedJobs) > 0 && len(ids) < limit {
		j := s.endedJobs[0]
		if now.Sub(j.endedAt) < s.options.Retention || s.dirtyJobs[j.spec.ID] != nil || j.live() > 0 {
			break
		}
		s.endedJobs = s.endedJobs[1:]
		delete(s.jobs, j.spec.ID)
		ids = append(ids, j.spec.ID)
	}
	return ids
}
