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

// removeTimeout bounds the probes and the store calls of a member removal.
const removeTimeout = 30 * time.Second

// RemoveMemberRequest is the request to remove a member from the member view.
type RemoveMemberRequest struct {
	Member ident.MemberID `json:"member"`
	// ConfirmRunning allows the removal of a member that still runs.
	ConfirmRunning bool `json:"confirm-running,omitempty"`
}

// removeMember removes a member from the member view and returns its last record.
func (s *Server) removeMember(r *http.Request) (any, error) {
	var q RemoveMemberRequest
	if err := caller.Decode(http.MaxBytesReader(nil, r.Body, api.MaxBodyBytes), &q); err != nil {
		return nil, err
	}
	if err := ident.Check("member", string(q.Member)); err != nil {
		return nil, api.NewProblem(api.CodeInvalid, "member", "%v", err)
	}
	// The removal continues if the operator's connection breaks, so that the audit line records its outcome.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), removeTimeout)
	defer cancel()
	m, err := s.config.RemoveMember(ctx, q.Member, q.ConfirmRunning)
	if err != nil {
		return nil, fmt.Errorf("remove member %s: %w", q.Member, err)
	}
	return m, nil
}
