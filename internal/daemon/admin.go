package daemon

import (
	"context"
	"crypto/ed25519"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/rollout"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// PublishSigned prepares a bundle, signs it with an operator's key and publishes it as the version after expect.
func (d *Daemon) PublishSigned(
	ctx context.Context, b bundle.Bundle, expect ident.Version, key ed25519.PrivateKey,
) (rollout.Receipt, error) {
	proposal, err := d.rollout.Prepare(ctx, b, expect)
	if err != nil {
		return rollout.Receipt{}, fmt.Errorf("prepare bundle: %w", err)
	}
	receipt, err := d.rollout.Publish(ctx, b, expect, []bundle.SignOff{bundle.Sign(key, proposal.Digest)})
	if err != nil {
		return receipt, fmt.Errorf("publish bundle: %w", err)
	}
	return receipt, nil
}

// AllServersAttached reports whether all backend servers that this daemon owns are attached.
func (d *Daemon) AllServersAttached() bool {
	_, complete := d.table.InventoryComplete()
	return complete
}

// OwnedServers returns the number of backend servers that this daemon owns.
func (d *Daemon) OwnedServers() int { return len(d.table.OwnedHosts()) }

// ConfigVersion returns the version of the configuration in force.
func (d *Daemon) ConfigVersion() ident.Version { return d.rollout.Current().Version() }

// HeldRequests returns the number of requests whose callers wait for an answer.
func (d *Daemon) HeldRequests() int { return d.requests.Held() }
