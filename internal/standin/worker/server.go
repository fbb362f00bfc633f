package worker

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// inProcessServer implements backend.Server by direct calls to a worker.
type inProcessServer struct {
	w *Worker
}

// Server returns the worker as an in-process backend server.
func (w *Worker) Server() backend.Server { return inProcessServer{w} }

// withFaults runs a command with the faults that apply before and after its effect.
func withFaults[T any](w *Worker, op Op, command func() (T, error)) (T, error) {
	var zero T
	if err := w.faults.beforeCall(op); err != nil {
		return zero, err
	}
	value, err := command()
	if w.faults.replyLost(op) {
		return zero, backend.ErrUnknownOutcome
	}
	return value, err
}

// Attach implements backend.Server.
func (l inProcessServer) Attach(ctx context.Context, f backend.Fence, lease backend.Millis) (backend.Inventory, error) {
	return callDetached(ctx, func() (backend.Inventory, error) {
		return withFaults(l.w, OpAttach, func() (backend.Inventory, error) { return l.w.attach(f, lease) })
	})
}

// Poll implements backend.Server.
func (l inProcessServer) Poll(ctx context.Context, r backend.PollRequest) (backend.PollReply, error) {
	return callDetached(ctx, func() (backend.PollReply, error) {
		return withFaults(l.w, OpPoll, func() (backend.PollReply, error) { return l.w.poll(ctx, r) })
	})
}

// Start implements backend.Server.
func (l inProcessServer) Start(ctx context.Context, f backend.Fence, t backend.Task) error {
	return l.command(ctx, OpStart, func() error { return l.w.start(f, t) })
}

// Stop implements backend.Server.
func (l inProcessServer) Stop(ctx context.Context, f backend.Fence, attempt ident.AttemptID) (backend.StopState, error) {
	return callDetached(ctx, func() (backend.StopState, error) {
		return withFaults(l.w, OpStop, func() (backend.StopState, error) { return l.w.stop(f, attempt) })
	})
}

// Checkpoint implements backend.Server.
func (l inProcessServer) Checkpoint(ctx context.Context, f backend.Fence, attempt ident.AttemptID) error {
	return l.command(ctx, OpCheckpoint, func() error { return l.w.checkpoint(f, attempt) })
}

// Throttle implements backend.Server.
func (l inProcessServer) Throttle(ctx context.Context, f backend.Fence, attempt ident.AttemptID, percent int) error {
	return l.command(ctx, OpThrottle, func() error { return l.w.throttle(f, attempt, percent) })
}

// command runs a command that returns only an error.
func (l inProcessServer) command(ctx context.Context, op Op, command func() error) error {
	_, err := callDetached(ctx, func() (struct{}, error) {
		return withFaults(l.w, op, func() (struct{}, error) { return struct{}{}, command() })
	})
	return err
}

// Handler returns the worker's HTTP handler. It serves the protocol of backend.HTTP and the test paths /faults, /restart,
// /violations and /runs, to which faults don't apply.
func (w *Worker) Handler() http.Handler {
	r := mux.NewRouter()
	handle(r, backend.PathAttach, w, OpAttach, func(_ context.Context, q backend.AttachRequest) (any, error) {
		return w.attach(q.Fence, q.Lease)
	})
	handle(r, backend.PathPoll, w, OpPoll, func(ctx context.Context, q backend.PollRequest) (any, error) {
		return w.poll(ctx, q)
	})
	handle(r, backend.PathStart, w, OpStart, func(_ context.Context, q backend.StartRequest) (any, error) {
		return nil, w.start(q.Fence, q.Task)
	})
	handle(r, backend.PathStop, w, OpStop, func(_ context.Context, q backend.AttemptRequest) (any, error) {
		state, err := w.stop(q.Fence, q.Attempt)
		return backend.StopReply{State: state}, err
	})
	handle(r, backend.PathCheckpoint, w, OpCheckpoint, func(_ context.Context, q backend.AttemptRequest) (any, error) {
		return nil, w.checkpoint(q.Fence, q.Attempt)
	})
	handle(r, backend.PathThrottle, w, OpThrottle, func(_ context.Context, q backend.AttemptRequest) (any, error) {
		return nil, w.throttle(q.Fence, q.Attempt, q.Percent)
	})
	r.HandleFunc("/faults", func(rw http.ResponseWriter, req *http.Request) {
		var fault Fault
		if decodeBody(rw, req, &fault) && w.faults.Apply(fault) != nil {
			http.Error(rw, "unknown fault", http.StatusBadRequest)
		}
	}).Methods(http.MethodPost)
	r.HandleFunc("/restart", func(rw http.ResponseWriter, req *http.Request) {
		var capacity resource.Vector
		if decodeBody(rw, req, &capacity) {
			w.Restart(capacity)
		}
	}).Methods(http.MethodPost)
	r.HandleFunc("/violations", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.Violations())
	}).Methods(http.MethodGet)
	r.HandleFunc("/runs", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.Runs())
	}).Methods(http.MethodGet)
	return r
}

// handle registers the handler of one protocol call.
func handle[Request any](r *mux.Router, path string, w *Worker, op Op, serve func(context.Context, Request) (any, error)) {
	r.HandleFunc(path, func(rw http.ResponseWriter, req *http.Request) {
		var q Request
		if !decodeBody(rw, req, &q) {
			return
		}
		value, err := withFaults(w, op, func() (any, error) { return serve(req.Context(), q) })
		refusal, refused := backend.RefusalOf(err)
		switch {
		case refused:
			writeJSON(rw, http.StatusConflict, refusal)
		case err != nil:
			panic(http.ErrAbortHandler) // close the connection without a reply
		case value == nil:
			rw.Header()["Date"] = nil
			rw.WriteHeader(http.StatusNoContent)
		default:
			writeJSON(rw, http.StatusOK, value)
		}
	}).Methods(http.MethodPost)
}

// decodeBody decodes a request body of limited size. On failure it writes a refusal and returns false.
func decodeBody(rw http.ResponseWriter, req *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, backend.MaxBodyBytes)).Decode(v)
	if err == nil {
		return true
	}
	message := "malformed body"
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message = "body is too large"
	}
	writeJSON(rw, http.StatusConflict, backend.Refusal{Code: "refused", Message: message})
	return false
}

// writeJSON sends a JSON reply with as few headers as net/http allows.
func writeJSON(rw http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rw.Header()["Date"] = nil
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}
