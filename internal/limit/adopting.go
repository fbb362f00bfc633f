package limit

import "slices"

// Adopting returns the number of tasks whose part is reserved by a dead member and has not been moved here yet: adopted
// ones, and those accepted from a member that died before its Pass was written.
func (s *Split) Adopting() int {
	n := 0
	view := s.config.View()
	for i := range s.shards {
		sh := &s.shards[i]
		sh.lock.Lock()
		for _, t := range sh.teams {
			short := max(0, t.short())
			if !slices.ContainsFunc(t.lenders, func(l lender) bool { return !view.Has(l.member, l.incarnation) }) {
				short = min(t.adopted, short)
			}
			n += short
		}
		sh.lock.Unlock()
	}
	return n
}
