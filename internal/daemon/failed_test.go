package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
)

// Guards against a daemon that goes on without one of its components: the HTTP servers kept the failure from being reported.
func TestFailedComponentIsReported(t *testing.T) {
	d := startWithoutStore(t, func(*settings.Serve) {})
	if err := d.peerListener.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-d.Failed():
		if !strings.Contains(err.Error(), "run peers") {
			t.Errorf("got %v, want the failure of the peer listener", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the failure wasn't reported within 20 s")
	}
}

// Guards against an end on request that is reported as a failure.
func TestStopIsNoFailure(t *testing.T) {
	d := startWithoutStore(t, func(*settings.Serve) {})
	d.Kill()
	select {
	case err := <-d.Failed():
		t.Errorf("reported %v", err)
	default:
	}
}
