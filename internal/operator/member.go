package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/caller"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// removeTimeout bounds the probes and the store calls of a removal.
const removeTimeout = 30 * time.Second

// RemoveMemberRequest names a member to be taken out of the view.
type RemoveMemberRequest struct {
	Member ident.MemberID `json:"member"`
	// ConfirmRunning confirms that the member is removed although it still runs.
	ConfirmRunning bool `json:"confirm-running,omitempty"`
}

// removeMember takes a member out of the view and returns it.
func (s *Server) removeMember(r *http.Request) (any, error) {
	var q RemoveMemberRequest
	if err := caller.Decode(http.MaxBytesReader(nil, r.Body, api.MaxBodyBytes), &q); err != nil {
		return nil, err
	}
	if err := ident.Check("member", string(q.Member)); err != nil {
		return nil, api.NewProblem(api.CodeInvalid, "member", "%v", err)
	}
	// The removal goes on when the operator's connection breaks, so that the audit line has its outcome.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), removeTimeout)
	defer cancel()
	m, err := s.config.RemoveMember(ctx, q.Member, q.ConfirmRunning)
	if err != nil {
		return nil, fmt.Errorf("remove member %s: %w", q.Member, err)
	}
	return m, nil
}
