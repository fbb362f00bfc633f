package daemon

import (
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
)

// stateDump is the state of all components, for operators. It must not contain keys or payloads.
type stateDump struct {
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
	return stateDump{
		Member: d.members.Self(), View: d.members.View(), Ready: d.Ready(), StoreHealthy: d.members.StoreHealthy(),
		Held: d.requests.Held(), Membership: d.members.Dump(), Configuration: d.rollout.Dump(),
		Servers: d.table.Dump(), Placement: d.pool.Dump(), Queue: d.dispatcher.Dump(), Limits: d.limits.Dump(),
		Claims: d.claims.Dump(), Fleet: d.fleet.Dump(), Blame: d.blame.Dump(),
	}
}

// reloadCertificates reloads the certificates of all ports. A set that fails to load keeps its previous certificate; the
// other one is still reloaded.
func (d *Daemon) reloadCertificates() error {
	var errs error
	for _, set := range []struct {
		name         string
		certificates *peer.Certificates
	}{{"peer", d.peerCerts}, {"caller", d.httpCerts}} {
		if set.certificates == nil {
			continue
		}
		if err := set.certificates.Reload(); err != nil {
			errs = errors.Join(errs, fmt.Errorf("reload %s certificate, the previous one stays in use: %w", set.name, err))
		}
	}
	return errs
}
