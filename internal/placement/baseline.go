package placement

import "slices"

// chooseRandom chooses among all hosts with enough free capacity with equal probability (reservoir sampling).
func (p *Pool) chooseRandom(c *hostSearch) {
	for _, s := range p.shards {
		s.mu.Lock()
		for _, h := range s.list {
			if h.leaving || !c.request.Demand.Fits(h.free) || slices.Contains(c.request.Avoid, h.info.ID) ||
				p.config.BlockReason(h.info.ID) != "" {
				continue
			}
			if c.compared++; p.nextRandom()%uint64(c.compared) == 0 {
				c.bestHost, c.bestShard = h, s
			}
		}
		s.mu.Unlock()
	}
}
