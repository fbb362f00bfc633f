package placement

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Bounds of a host search. They keep its cost independent of the number of hosts.
const (
	candidatesPerClass         = 4 // per class and shard
	candidatesPerShard         = 12
	candidatesPerSearch        = 24 // no further shard is searched once so many hosts were compared
	candidatesPerRequestSearch = 4  // the same bound for requests, which compare one host per shard to start quickly
	maxBoundedSearches         = 3  // bounded searches before a full search that takes the first host that fits
)

// quarantineCountMaxAge is the maximum age of the number of quarantined hosts in a NoCapacityError. Counting them takes
// a scan of all hosts.
const quarantineCountMaxAge = time.Second

// score ranks candidate hosts; the lowest wins. Its elements are compared in order.
type score [4]float64

func (a score) less(b score) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

var worstScore = score{math.Inf(1)}

// hostSearch is the state of a search for a host for one task.
type hostSearch struct {
	request   *Request
	spread    *jobSpread // of the job; nil when tasks of this kind are not spread
	query     hostQuery
	enough    int // number of compared hosts after which no further shard is searched
	compared  int // hosts compared so far
	bestHost  *host
	bestShard *shard
	bestScore score
}

// Place chooses a host for a task and charges the task's demand to it. It returns a *NoCapacityError when no host
// fits, and ErrDuplicate when the attempt is already placed. The returned attempt has the request's payload.
//
// Services go where the job has the fewest tasks on the rack, the host and the data centre. Batch work goes where the
// least capacity is left over. Requests go to the least loaded of a few hosts. Single tasks of all-at-once jobs go to
// the racks with the most tasks of the job. A search compares a few candidates per capacity class; only when none of
// them fits does it examine all hosts that the index does not rule out.
func (p *Pool) Place(r Request) (PlacedAttempt, error) {
	if r.Demand.Negative() {
		return PlacedAttempt{}, fmt.Errorf("demand %v is negative", r.Demand)
	}
	if r.Kind == api.KindService || r.Kind == api.KindAllAtOnce {
		ss := p.spreadShard(r.Job)
		ss.mu.Lock()
		defer ss.mu.Unlock()
		placed, info, err := p.searchAndPlace(&r, ss.jobs[r.Job])
		if err == nil {
			ss.add(r.Job, info, 1)
		}
		return placed, err
	}
	placed, _, err := p.searchAndPlace(&r, nil)
	return placed, err
}

// searchAndPlace searches for a host and places the task, again if the capacity was taken in between.
func (p *Pool) searchAndPlace(r *Request, job *jobSpread) (PlacedAttempt, *rackKey, error) {
	for range maxBoundedSearches {
		c := p.chooseHost(r, job, false)
		if c.bestHost == nil {
			break
		}
		if placed, ok, err := p.placeOn(c.bestShard, c.bestHost, r); ok || err != nil {
			return placed, rackKeyOf(&c.bestHost.info), err
		}
	}
	// The bounded search found nothing, or concurrent placements took the capacity each time.
	for {
		c := p.chooseHost(r, job, true)
		if c.bestHost == nil {
			return PlacedAttempt{}, nil, p.noCapacityError(r.Demand)
		}
		if placed, ok, err := p.placeOn(c.bestShard, c.bestHost, r); ok || err != nil {
			return placed, rackKeyOf(&c.bestHost.info), err
		}
	}
}

// chooseHost searches the shards, one lock at a time, and keeps the best candidate until enough hosts were compared.
// With full it stops at the first shard that has a candidate and does not bound the search inside a class.
func (p *Pool) chooseHost(r *Request, job *jobSpread, full bool) *hostSearch {
	start := p.nextRandom()
	c := &hostSearch{request: r, spread: job, bestScore: worstScore}
	if p.config.Baseline {
		p.chooseRandom(c)
		return c
	}
	c.setQuery(start >> 16)
	if full {
		c.query.maxPerClass, c.enough = 0, 1
	}
	for i := range p.shards {
		s := p.shards[(start+uint64(i))%uint64(len(p.shards))]
		s.mu.Lock()
		c.searchShard(p, s)
		s.mu.Unlock()
		if c.compared >= c.enough {
			break
		}
	}
	return c
}

// setQuery sets the index query and the number of hosts to compare by the kind of the task.
func (c *hostSearch) setQuery(start uint64) {
	c.query = hostQuery{demand: c.request.Demand, maxPerClass: candidatesPerClass, maxTotal: candidatesPerShard, start: start}
	c.enough = candidatesPerSearch
	switch c.request.Kind {
	case api.KindRequest:
		c.query.largestFirst = true
		c.query.maxTotal, c.enough = 1, candidatesPerRequestSearch
	case api.KindService:
		c.query.largestFirst = true
		c.query.maxPerClass = candidatesPerShard
	}
}

// searchShard compares the shard's candidates with the best host so far. The caller holds the lock of the shard.
func (c *hostSearch) searchShard(p *Pool, s *shard) {
	now := p.config.Now()
	n, _ := s.index.find(c.query, func(h *host) bool {
		if slices.Contains(c.request.Avoid, h.info.ID) || p.config.BlockReason(h.info.ID) != "" ||
			!c.request.Demand.Fits(h.available(c.request.Urgent, now)) {
			return false
		}
		if v := c.scoreOf(h); v.less(c.bestScore) {
			c.bestHost, c.bestShard, c.bestScore = h, s, v
		}
		return true
	})
	c.compared += n
}

// scoreOf returns the score of a host that has enough free capacity.
func (c *hostSearch) scoreOf(h *host) score {
	r := c.request
	gpus := 0.0 // penalty for placing work without GPUs on a host with GPUs
	if r.Demand.GPUs == 0 && h.capacity.GPUs > 0 {
		gpus = 1 + float64(h.free.GPUs)
	}
	leftover := h.free.Sub(r.Demand).DominantShare(h.capacity)
	switch r.Kind {
	case api.KindService:
		rack, dc := c.spread.taskCounts(&h.info)
		onHost := 0
		if rack > 0 {
			onHost = h.tasksOf(r.Job)
		}
		return score{gpus, float64(rack)*1024 + float64(onHost), float64(dc), -leftover}
	case api.KindRequest:
		return score{gpus, h.capacity.Sub(h.free).Add(r.Demand).DominantShare(h.capacity)}
	case api.KindAllAtOnce:
		rack, _ := c.spread.taskCounts(&h.info)
		return score{gpus, -float64(rack), leftover}
	}
	return score{gpus, leftover}
}

// tasksOf returns the number of the job's tasks on the host.
func (h *host) tasksOf(job ident.JobID) int {
	n := 0
	for _, t := range h.attempts {
		if t.Task.Job == job {
			n++
		}
	}
	return n
}

// placeOn places the task on the host if the host is still attached, accepts work and has enough free capacity.
func (p *Pool) placeOn(s *shard, h *host, r *Request) (placed PlacedAttempt, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts[h.info.ID] != h || h.leaving || !r.Demand.Fits(h.available(r.Urgent, p.config.Now())) {
		return PlacedAttempt{}, false, nil
	}
	if !p.recordAttempt(r.Attempt, h.info.ID) {
		return PlacedAttempt{}, false, fmt.Errorf("%w: %s", ErrDuplicate, r.Attempt)
	}
	t := &PlacedAttempt{Host: h.info.ID, Kind: r.Kind, Urgent: r.Urgent, Task: r.task(), Since: p.config.Now()}
	placed = *t
	t.Task.Payload = nil
	if r.Urgent {
		h.preemptingUntil = time.Time{} // the reserved capacity has been taken
	}
	s.addAttempt(h, t)
	return placed, true, nil
}

// noCapacityError counts the hosts per cause that prevents them from taking the demand.
func (p *Pool) noCapacityError(demand resource.Vector) *NoCapacityError {
	e := &NoCapacityError{Quarantined: p.countQuarantined()}
	hosts, largeEnough := 0, 0
	for _, s := range p.shards {
		s.mu.Lock()
		hosts += len(s.hosts)
		e.Leaving += s.leaving
		for capacity, n := range s.capacities {
			if demand.Fits(capacity) {
				largeEnough += n
			} else {
				e.TooSmall += n
			}
		}
		s.mu.Unlock()
	}
	e.Full = max(largeEnough-e.Quarantined, 0)
	switch {
	case hosts == 0:
		e.Reason = NoHosts
	case e.TooSmall == hosts:
		e.Reason = TooLarge
	default:
		e.Reason = AllFull
	}
	return e
}

// countQuarantined returns the number of hosts that are blocked and not leaving, at most quarantineCountMaxAge old.
func (p *Pool) countQuarantined() int {
	now := p.config.Now()
	p.quarantineMu.Lock()
	defer p.quarantineMu.Unlock()
	if now.Before(p.quarantineCountExpiry) {
		return p.quarantineCount
	}
	n := 0
	for _, s := range p.shards {
		s.mu.Lock()
		for id, h := range s.hosts {
			if !h.leaving && p.config.BlockReason(id) != "" {
				n++
			}
		}
		s.mu.Unlock()
	}
	p.quarantineCount, p.quarantineCountExpiry = n, now.Add(quarantineCountMaxAge)
	return n
}

// CouldFit reports whether the demand fits the total capacity of any host that is not leaving, and if not, why.
func (p *Pool) CouldFit(demand resource.Vector) (bool, string) {
	hosts := 0
	var largest resource.Vector
	for _, s := range p.shards {
		s.mu.Lock()
		for capacity, n := range s.capacities {
			if demand.Fits(capacity) {
				s.mu.Unlock()
				return true, ""
			}
			hosts += n
			largest = largest.Max(capacity)
		}
		s.mu.Unlock()
	}
	if hosts == 0 {
		return false, string(NoHosts)
	}
	return false, fmt.Sprintf("%s: demand %v, at most %v on %d backend servers", TooLarge, demand, largest, hosts)
}
