package limit

// Adopting returns the number of adopted tasks whose part has not been moved here from a dead member yet.
func (s *Split) Adopting() int {
	n := 0
	for i := range s.shards {
		sh := &s.shards[i]
		sh.lock.Lock()
		for _, t := range sh.teams {
			n += min(t.adopted, max(0, t.used-t.share.Part))
		}
		sh.lock.Unlock()
	}
	return n
}
