package limit

// PendingAdoptions returns the number of tasks whose part may be reserved by a dead member and has not been moved here yet. Only
// tasks on parts that members of the present view pass on don't count.
func (a *Allocator) PendingAdoptions() int {
	n := 0
	epoch := a.config.View().Epoch
	for i := range a.shards {
		sh := &a.shards[i]
		sh.lock.Lock()
		for _, t := range sh.teams {
			if t.borrowedSince != epoch {
				n += max(0, t.deficit())
			}
		}
		sh.lock.Unlock()
	}
	return n
}
