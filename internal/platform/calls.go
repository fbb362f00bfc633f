package platform

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Call names a kind of call to the platform.
type Call string

// Kinds of calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallSwap   Call = "compare-and-swap"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
	CallGrant  Call = "grant-lease"
	CallRenew  Call = "renew-lease"
	CallRevoke Call = "revoke-lease"
	CallHosts  Call = "hosts"
)

// Kinds lists every kind of call.
var Kinds = []Call{CallGet, CallList, CallSwap, CallDelete, CallWatch, CallGrant, CallRenew, CallRevoke, CallHosts}

// Write reports whether the call changes the state of the store.
func (c Call) Write() bool {
	switch c {
	case CallSwap, CallDelete, CallGrant, CallRenew, CallRevoke:
		return true
	}
	return false
}

// Calls counts calls by kind.
type Calls map[Call]uint64

// Total returns the sum over all kinds.
func (c Calls) Total() uint64 {
	var sum uint64
	for _, n := range c {
		sum += n
	}
	return sum
}

// counters holds the metrics of one adapter.
type counters struct {
	set    *metrics.Set
	calls  map[Call]*metrics.Counter
	failed map[Call]*metrics.Counter
	sent   *metrics.Counter // bytes of request bodies
	read   *metrics.Counter // bytes of reply bodies
}

func newCounters(set *metrics.Set, kinds ...Call) *counters {
	c := &counters{
		set: set, calls: map[Call]*metrics.Counter{}, failed: map[Call]*metrics.Counter{},
		sent: set.GetOrCreateCounter(`rosemaryspoke_platform_bytes_total{direction="sent"}`),
		read: set.GetOrCreateCounter(`rosemaryspoke_platform_bytes_total{direction="received"}`),
	}
	for _, k := range kinds {
		c.calls[k] = set.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_platform_calls_total{call=%q}`, k))
		c.failed[k] = set.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_platform_call_failures_total{call=%q}`, k))
	}
	return c
}

func (c *counters) snapshot() Calls {
	calls := make(Calls, len(c.calls))
	for k, n := range c.calls {
		calls[k] = n.Get()
	}
	return calls
}
