package cell

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// resetAnswer is the answer to a reset of a team's past use.
type resetAnswer struct {
	Team   ident.TeamID `json:"team,omitempty"`
	Former *pastuse.Use `json:"former,omitempty"`
	Error  string       `json:"error,omitempty"`
}

// resetPastUse handles POST /past-use/TEAM/reset, in which TEAM is escaped. The router matches the escaped path, as the name of a team may
// contain any character.
func (d *Daemon) resetPastUse(c *coordinator.Coordinator) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		team, err := url.PathUnescape(mux.Vars(r)["team"])
		if err != nil {
			d.answerReset(w, http.StatusBadRequest, resetAnswer{Error: "the name of the team isn't escaped correctly"})
			return
		}
		former, err := c.ResetPastUse(r.Context(), ident.TeamID(team))
		answer := resetAnswer{Team: ident.TeamID(team)}
		status := http.StatusOK
		switch {
		case err == nil:
			answer.Former = &former
		case errors.Is(err, coordinator.ErrUnknownTeam):
			status = http.StatusNotFound
		case errors.Is(err, coordinator.ErrPastUseOff):
			status = http.StatusConflict
		default:
			status = http.StatusServiceUnavailable
		}
		if err != nil {
			answer.Error = err.Error()
		}
		d.answerReset(w, status, answer)
	}
}

func (d *Daemon) answerReset(w http.ResponseWriter, status int, a resetAnswer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(a); err != nil {
		d.log.Info("answer to a reset not sent", "error", err.Error())
	}
}
