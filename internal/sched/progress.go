package sched

import (
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
	// Idle and DoneAhead stand for further occurrences where listing them, or a bit for each done task, takes more than
	// maxListedBytes. Daemons before these fields can't read them.
	Idle      []IdleOccurrences `json:"idle,omitempty"`
	DoneAhead []numberRange     `json:"done-ahead,omitempty"` // done occurrences above DoneBefore
}

// IdleOccurrences are occurrences of which the same steps are complete and no other step has a task that was started.
type IdleOccurrences struct {
	Complete []int         `json:"complete"` // indexes of the steps
	Numbers  []numberRange `json:"numbers"`
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
	Done     [][]byte               `json:"done,omitempty"`     // a bit for each task, by step; trailing zero bytes may be absent
	Complete []int                  `json:"complete,omitempty"` // steps without bits in Done that are complete
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
