package demo

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
)

// TestRun guards against code paths that serve only some kinds of work: each kind must be placed, run and answered while
// a daemon is stopped, without a violated invariant at the backend servers.
func TestRun(t *testing.T) {
	result, err := Run(context.Background(), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if !result.OK() {
		t.Errorf("work was not answered or an invariant was violated: rows %+v, violations %v", result.Rows, result.Violations)
	}
}
