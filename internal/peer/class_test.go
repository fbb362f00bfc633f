package peer

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
)

// Guards against control traffic that includes messages caused by callers' requests or omits others.
func TestClassOf(t *testing.T) {
	for method, want := range map[string]Class{
		wire.MethodForward: Work, wire.MethodResult: Work, wire.MethodCancel: Work, wire.MethodFind: Work,
		wire.MethodGangReserve: Work, wire.MethodGangCommit: Work, wire.MethodGangCancel: Work,
		wire.MethodClaimAcquire: Work, wire.MethodClaimComplete: Work, wire.MethodClaimRelease: Work, wire.MethodClaimLookup: Work,
		wire.MethodJobGet: Work, wire.MethodJobCancel: Work, wire.MethodJobList: Work, wire.MethodJobExplain: Work,
		wire.MethodProbe: Control, wire.MethodSummary: Control, wire.MethodLimitRequest: Control, wire.MethodQuery: Control,
		wire.MethodAdoptOrigin: Control, wire.MethodClaimTransfer: Control, wire.MethodConfigPull: Control,
		wire.MethodConfigVersion: Control, "unknown": Control,
	} {
		if got := ClassOf(method); got != want {
			t.Errorf("method %s has class %s, want %s", method, got, want)
		}
	}
}
