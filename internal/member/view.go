package member

import (
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// State is the state of a member in the view.
type State string

// States of a member.
const (
	Active      State = "active"
	Draining    State = "draining"
	Unreachable State = "unreachable"
)

// Member is one daemon in the view.
type Member struct {
	ID          ident.MemberID    `json:"id"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Address     string            `json:"address"` // peer address, host:port by IP
	DataCentre  ident.DataCentre  `json:"data-centre"`
	Region      ident.Region      `json:"region"`
	State       State             `json:"state"`
}

// View is one state of the membership; two views with the same epoch are equal. Treat it as immutable.
type View struct {
	Epoch   ident.Epoch `json:"epoch"`
	Members []Member    `json:"members"` // sorted by id
	// RegionFirstEpoch holds for each region the epoch at which its first member ever joined.
	RegionFirstEpoch map[ident.Region]ident.Epoch `json:"founded,omitempty"`
}

// Find returns the member with the id.
func (v View) Find(id ident.MemberID) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// HasIncarnation reports whether the view holds this incarnation of the member.
func (v View) HasIncarnation(id ident.MemberID, incarnation ident.Incarnation) bool {
	m, ok := v.Find(id)
	return ok && m.Incarnation == incarnation
}

// Filter returns the members in one of the states, in id order.
func (v View) Filter(states ...State) []Member {
	var kept []Member
	for _, m := range v.Members {
		if slices.Contains(states, m.State) {
			kept = append(kept, m)
		}
	}
	return kept
}
