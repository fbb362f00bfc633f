package ownership

import (
	"github.com/zeebo/xxh3"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// rank is the position of a member in the order of owners of one host.
type rank struct {
	distance int    // 0 for the same data centre, 1 for the same region, 2 otherwise
	weight   uint64 // rendezvous hash; a higher one comes first
	id       ident.MemberID
}

// precedes reports whether r comes before o in the order of owners.
func (r rank) precedes(o rank) bool {
	switch {
	case r.distance != o.distance:
		return r.distance < o.distance
	case r.weight != o.weight:
		return r.weight > o.weight
	}
	return r.id < o.id
}

// rankOf ranks members by distance, then by rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", IEEE/ACM Transactions on Networking, 1998) with xxh3.
func rankOf(m member.Member, h platform.Host) rank {
	distance := 2
	switch {
	case m.Region == h.Region && m.DataCentre == h.DataCentre:
		distance = 0
	case m.Region == h.Region:
		distance = 1
	}
	return rank{distance, xxh3.HashStringSeed(string(h.ID), xxh3.HashString(string(m.ID))), m.ID}
}

// firstRanked returns the first member in the order of owners that keep accepts. Unreachable members are included,
// because they keep their backend servers; draining members are not.
func firstRanked(v member.View, h platform.Host, keep func(rank) bool) (ident.MemberID, bool) {
	var best rank
	found := false
	for _, m := range v.Members {
		if m.State == member.Draining {
			continue
		}
		if r := rankOf(m, h); (!found || r.precedes(best)) && keep(r) {
			best, found = r, true
		}
	}
	return best.id, found
}

// Owner returns the member that owns the host's backend server in the view, or false if no member can own it.
func Owner(v member.View, h platform.Host) (ident.MemberID, bool) {
	return firstRanked(v, h, func(rank) bool { return true })
}

// Successor returns the member after the given one in the host's order of owners, or false if that one is the last. If it
// isn't in the view, Successor returns the owner.
func Successor(v member.View, h platform.Host, after ident.MemberID) (ident.MemberID, bool) {
	m, ok := v.Find(after)
	if !ok {
		return Owner(v, h)
	}
	from := rankOf(m, h)
	return firstRanked(v, h, func(r rank) bool { return from.precedes(r) })
}
