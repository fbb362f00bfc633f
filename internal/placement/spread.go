package placement

import (
	"hash/maphash"
	"sync"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// rackKey identifies a rack in a data centre.
type rackKey struct {
	dc   ident.DataCentre
	rack ident.Rack
}

func rackKeyOf(info *platform.Host) *rackKey { return &rackKey{info.DataCentre, info.Rack} }

// jobSpread counts the tasks of a job per rack and per data centre.
type jobSpread struct {
	racks       map[rackKey]int
	dataCentres map[ident.DataCentre]int
}

// taskCounts returns the number of the job's tasks on the host's rack and in its data centre.
func (s *jobSpread) taskCounts(info *platform.Host) (rack, dc int) {
	if s == nil {
		return 0, 0
	}
	return s.racks[*rackKeyOf(info)], s.dataCentres[info.DataCentre]
}

// spreadShard holds the task counts of a part of the jobs. Placing a task of a spread job holds the lock, so that
// concurrent placements of the same job see each other.
type spreadShard struct {
	mu   sync.Mutex
	jobs map[ident.JobID]*jobSpread
}

func (p *Pool) spreadShard(job ident.JobID) *spreadShard {
	return &p.spreadShards[maphash.String(p.seed, string(job))%uint64(len(p.spreadShards))]
}

// addToSpread adds n to the number of a job's tasks on a host. No shard of hosts may be locked.
func (p *Pool) addToSpread(kind api.Kind, job ident.JobID, info *platform.Host, n int) {
	if kind != api.KindService && kind != api.KindAllAtOnce {
		return
	}
	s := p.spreadShard(job)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(job, rackKeyOf(info), n)
}

// add adds n to the number of a job's tasks on a rack. The caller holds the lock of the shard.
func (s *spreadShard) add(job ident.JobID, at *rackKey, n int) {
	j, ok := s.jobs[job]
	if !ok {
		j = &jobSpread{racks: map[rackKey]int{}, dataCentres: map[ident.DataCentre]int{}}
		s.jobs[job] = j
	}
	if j.racks[*at] += n; j.racks[*at] == 0 {
		delete(j.racks, *at)
	}
	if j.dataCentres[at.dc] += n; j.dataCentres[at.dc] == 0 {
		delete(j.dataCentres, at.dc)
	}
	if len(j.racks) == 0 && len(j.dataCentres) == 0 {
		delete(s.jobs, job)
	}
}
