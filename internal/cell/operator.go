package cell

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// stateDump is the state of a daemon that operators can read.
type stateDump struct {
	Member       ident.MemberID   `json:"member"`
	Ready        bool             `json:"ready"`
	ShuttingDown bool             `json:"leaving"`
	Version      ident.Version    `json:"config-version"`
	ConfigAge    string           `json:"config-age"`
	Periods      Periods          `json:"periods"`
	Cell         coordinator.Dump `json:"cell"`
}

// maxStateDumps bounds the dumps that are being made or sent: a leader's has up to megabytes, which are held until the operator has read them.
const maxStateDumps = 4

// newOperatorHandler serves metrics, the state dump, which includes the job that the query names, and the reset of past use.
func (d *Daemon) newOperatorHandler(set *metrics.Set, watcher *policy.Watcher, c *coordinator.Coordinator) http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/explain-placement", d.explainPlacement(c)).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/past-use/{team}/reset", d.resetPastUse(c)).Methods(http.MethodPost)
	dumps := make(chan struct{}, maxStateDumps)
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}).Methods(http.MethodGet)
	r.HandleFunc("/state", func(w http.ResponseWriter, q *http.Request) {
		select {
		case dumps <- struct{}{}:
			defer func() { <-dumps }()
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many state dumps are being sent", http.StatusServiceUnavailable)
			return
		}
		p := watcher.Current()
		dump := stateDump{
			Member: d.settings.Member, Ready: d.ready(), ShuttingDown: d.shuttingDown.Load(), ConfigAge: time.Since(p.ConfirmedAt).String(),
			Periods: d.periods, Cell: c.Dump(ident.JobID(q.URL.Query().Get("job"))),
		}
		if p.Policy != nil {
			dump.Version = p.Policy.Version
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(dump); err != nil {
			d.log.Info("state dump not sent", "error", err.Error())
		}
	}).Methods(http.MethodGet)
	return r
}
