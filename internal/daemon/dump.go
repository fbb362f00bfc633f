package daemon

import (
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
)

// state is the dump of a whole daemon. It holds no keys and no payloads.
type state struct {
	Member        member.Member `json:"member"`
	View          member.View   `json:"view"`
	Ready         bool          `json:"ready"`
	StoreHealthy  bool          `json:"store-healthy"`
	Held          int           `json:"held-requests"`
	Membership    any           `json:"membership"`
	Configuration any           `json:"configuration"`
	Servers       any           `json:"backend-servers"`
	Placement     any           `json:"placement"`
	Queue         any           `json:"queue"`
	Limits        any           `json:"limits"`
	Claims        any           `json:"claims"`
	Fleet         any           `json:"fleet"`
	Blame         any           `json:"blame"`
}

func (d *Daemon) dump() any {
	return state{
		Member: d.members.Self(), View: d.members.View(), Ready: d.Ready(), StoreHealthy: d.members.StoreHealthy(),
		Held: d.requests.Held(), Membership: d.members.Dump(), Configuration: d.rollout.Dump(),
		Servers: d.table.Dump(), Placement: d.pool.Dump(), Queue: d.dispatcher.Dump(), Limits: d.limits.Dump(),
		Claims: d.claims.Dump(), Fleet: d.fleet.Dump(), Blame: d.blame.Dump(),
	}
}

// rotate loads the certificates of all ports again. Each of the two sets keeps its old material when its own fails.
func (d *Daemon) rotate() error {
	var failed error
	for _, set := range []struct {
		name         string
		certificates *peer.Certificates
	}{{"peer", d.certs}, {"caller", d.portCerts}} {
		if set.certificates == nil {
			continue
		}
		if err := set.certificates.Reload(); err != nil {
			failed = errors.Join(failed, fmt.Errorf("the %s certificate stays as it was: %w", set.name, err))
		}
	}
	return failed
}
