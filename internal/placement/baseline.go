package placement

import "slices"

// chooseRandom takes each host with room with the same probability (reservoir sampling).
func (p *Pool) chooseRandom(c *choice) {
	for _, s := range p.shards {
		s.mu.Lock()
		for _, h := range s.list {
			if h.leaving || !c.request.Demand.Fits(h.free) || slices.Contains(c.request.Avoid, h.info.ID) ||
				p.config.Blocked(h.info.ID) != "" {
				continue
			}
			if c.seen++; p.next()%uint64(c.seen) == 0 {
				c.best, c.shard = h, s
			}
		}
		s.mu.Unlock()
	}
}
