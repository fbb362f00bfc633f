package limit

// Adopting returns the number of tasks whose part may be reserved by a dead member and has not been moved here yet. Only
// tasks on parts that members of the present view pass on don't count.
func (s *Split) Adopting() int {
	n := 0
	epoch := s.config.View().Epoch
	for i := range s.shards {
		sh := &s.shards[i]
		sh.lock.Lock()
		for _, t := range sh.teams {
			if t.lentAt != epoch {
				n += max(0, t.short())
			}
		}
		sh.lock.Unlock()
	}
	return n
}
