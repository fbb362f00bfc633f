package cell

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// maxQueryBytes bounds the body of a placement query. A job of 64 steps takes a few kilobytes.
const maxQueryBytes = 64 << 10

// explainPlacement handles GET /explain-placement?job=ID or ?queue=ID&team=ID&tasks=N&milli-cpu=N..., and POST with the JSON of a query.
func (d *Daemon) explainPlacement(c *coordinator.Coordinator) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query, err := decodeQuery(w, r)
		var placement sched.PlacementExplanation
		if err == nil {
			placement, err = c.ExplainPlacement(r.Context(), query)
		}
		w.Header().Set("Content-Type", "application/json")
		var answer any = placement
		if err != nil {
			w.WriteHeader(queryStatus(err))
			answer = struct {
				Error string `json:"error"`
			}{err.Error()}
		}
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			d.log.Info("answer to a placement query not sent", "error", err.Error())
		}
	}
}

// queryStatus returns the status for the error of a placement query.
func queryStatus(err error) int {
	switch {
	case errors.Is(err, sched.ErrBadQuery):
		return http.StatusBadRequest
	case errors.Is(err, sched.ErrUnknownJob), errors.Is(err, sched.ErrUnknownQueue), errors.Is(err, sched.ErrUnknownTeam):
		return http.StatusNotFound
	case errors.Is(err, coordinator.ErrTooManyQueries):
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// decodeQuery reads a placement query from the URL or the body.
func decodeQuery(w http.ResponseWriter, r *http.Request) (sched.PlacementQuery, error) {
	var query sched.PlacementQuery
	if r.Method == http.MethodPost {
		body := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes))
		body.DisallowUnknownFields()
		if err := body.Decode(&query); err != nil {
			return query, fmt.Errorf("%w: %w", sched.ErrBadQuery, err)
		}
		return query, nil
	}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return query, fmt.Errorf("%w: %w", sched.ErrBadQuery, err)
	}
	query.Job, query.Queue, query.Team = ident.JobID(values.Get("job")), ident.QueueID(values.Get("queue")), ident.TeamID(values.Get("team"))
	numbers := map[string]int64{}
	for name := range values {
		switch name {
		case "job", "queue", "team":
			continue
		case "step", "occurrence", "tasks", "milli-cpu", "memory-mb", "gpus":
		default:
			return query, fmt.Errorf("%w: unknown parameter %q", sched.ErrBadQuery, name)
		}
		n, err := strconv.ParseInt(values.Get(name), 10, 32)
		if err != nil || n < 0 {
			return query, fmt.Errorf("%w: %s must be a number from 0 to 2147483647, got %q", sched.ErrBadQuery, name, values.Get(name))
		}
		numbers[name] = n
	}
	if n, ok := numbers["step"]; ok {
		step := int(n)
		query.Step = &step
	}
	if n, ok := numbers["occurrence"]; ok {
		occurrence := int(n)
		query.Occurrence = &occurrence
	}
	if query.Job == "" {
		query.Steps = []sched.Step{{Count: int(numbers["tasks"]), Demand: resource.Vector{
			CPU: resource.MilliCPU(numbers["milli-cpu"]), Memory: resource.Megabytes(numbers["memory-mb"]), GPUs: resource.Count(numbers["gpus"]),
		}}}
	}
	return query, nil
}
