package platform

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// CallKind is a kind of call to the platform.
type CallKind string

// Kinds of calls.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallSwap   CallKind = "compare-and-swap"
	CallDelete CallKind = "delete"
	CallWatch  CallKind = "watch"
	CallGrant  CallKind = "grant-lease"
	CallRenew  CallKind = "renew-lease"
	CallRevoke CallKind = "revoke-lease"
	CallHosts  CallKind = "hosts"
)

// CallKinds lists every kind of call.
var CallKinds = []CallKind{CallGet, CallList, CallSwap, CallDelete, CallWatch, CallGrant, CallRenew, CallRevoke, CallHosts}

// IsWrite reports whether the call changes the state of the store.
func (c CallKind) IsWrite() bool {
	switch c {
	case CallSwap, CallDelete, CallGrant, CallRenew, CallRevoke:
		return true
	}
	return false
}

// CallCounts holds the number of calls by kind.
type CallCounts map[CallKind]uint64

// Total returns the sum over all kinds.
func (c CallCounts) Total() uint64 {
	var sum uint64
	for _, n := range c {
		sum += n
	}
	return sum
}

// counters holds the metrics of one adapter.
type counters struct {
	set      *metrics.Set
	calls    map[CallKind]*metrics.Counter
	failed   map[CallKind]*metrics.Counter
	sent     *metrics.Counter // bytes of request bodies
	received *metrics.Counter // bytes of reply bodies
}

func newCounters(set *metrics.Set, kinds ...CallKind) *counters {
	c := &counters{
		set: set, calls: map[CallKind]*metrics.Counter{}, failed: map[CallKind]*metrics.Counter{},
		sent:     set.GetOrCreateCounter(`rosemaryspoke_platform_bytes_total{direction="sent"}`),
		received: set.GetOrCreateCounter(`rosemaryspoke_platform_bytes_total{direction="received"}`),
	}
	for _, k := range kinds {
		c.calls[k] = set.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_platform_calls_total{call=%q}`, k))
		c.failed[k] = set.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_platform_call_failures_total{call=%q}`, k))
	}
	return c
}

func (c *counters) snapshot() CallCounts {
	calls := make(CallCounts, len(c.calls))
	for k, n := range c.calls {
		calls[k] = n.Get()
	}
	return calls
}
