package placement

import (
	"hash/maphash"
	"sync"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// place is a rack in a data centre.
type place struct {
	dc   ident.DataCentre
	rack ident.Rack
}

func placeOf(info *platform.Host) *place { return &place{info.DataCentre, info.Rack} }

// spread counts a job's tasks per rack and data centre.
type spread struct {
	racks   map[place]int
	centres map[ident.DataCentre]int
}

// counts returns the job's tasks on the host's rack and in its data centre.
func (s *spread) counts(info *platform.Host) (rack, dc int) {
	if s == nil {
		return 0, 0
	}
	return s.racks[*placeOf(info)], s.centres[info.DataCentre]
}

// spreadShard is the spreads of a part of the jobs. A choice for a job holds the lock, so that the tasks of one job
// that are placed at the same time see each other.
type spreadShard struct {
	mu   sync.Mutex
	jobs map[ident.JobID]*spread
}

func (p *Pool) spreadShard(job ident.JobID) *spreadShard {
	return &p.spreads[maphash.String(p.seed, string(job))%uint64(len(p.spreads))]
}

// spreadAdd counts n more tasks of a job on a host; no shard of hosts may be locked.
func (p *Pool) spreadAdd(kind api.Kind, job ident.JobID, info *platform.Host, n int) {
	if kind != api.KindService && kind != api.KindAllAtOnce {
		return
	}
	s := p.spreadShard(job)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(job, placeOf(info), n)
}

// add counts n more tasks of a job at a place; the spread shard is locked.
func (s *spreadShard) add(job ident.JobID, at *place, n int) {
	j, ok := s.jobs[job]
	if !ok {
		j = &spread{racks: map[place]int{}, centres: map[ident.DataCentre]int{}}
		s.jobs[job] = j
	}
	if j.racks[*at] += n; j.racks[*at] == 0 {
		delete(j.racks, *at)
	}
	if j.centres[at.dc] += n; j.centres[at.dc] == 0 {
		delete(j.centres, at.dc)
	}
	if len(j.racks) == 0 && len(j.centres) == 0 {
		delete(s.jobs, job)
	}
}
