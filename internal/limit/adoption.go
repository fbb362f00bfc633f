package limit

// PendingAdoptions returns the number of running tasks above this member's allocations that may still count against the
// allocation of a dead member. Tasks that count against allocations of members in the current view, which those
// members are about to transfer, are left out.
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
