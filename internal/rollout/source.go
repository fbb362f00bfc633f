package rollout

import (
	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Bundle returns the version and the whole bundle in force with the hashes of its keys, as an operator changes and publishes it again.
// Treat it as immutable.
func (r *Rollout) Bundle() (ident.Version, bundle.Bundle) {
	h := r.held.Load()
	return h.version(), h.bundle
}
