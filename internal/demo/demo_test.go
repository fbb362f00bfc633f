package demo

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
)

// TestRun guards against a path that serves some kinds of work only: each kind must be placed, run and answered while
// a daemon is replaced, without a broken invariant at the backend servers.
func TestRun(t *testing.T) {
	result, err := Run(context.Background(), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if !result.OK() {
		t.Errorf("rows %+v, violations %v", result.Rows, result.Violations)
	}
}
