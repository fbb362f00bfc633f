package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
)

// Class tells whether the messages of a method belong to the control cost or to the work itself.
type Class string

// Classes of methods. A work message exists only because a caller's request does; all others are control.
const (
	Control Class = "control"
	Work    Class = "work"
)

// ClassOf returns the class of a method; unknown methods count as control.
func ClassOf(method string) Class {
	switch method {
	case wire.MethodForward, wire.MethodAnswer, wire.MethodCancel, wire.MethodGangReserve, wire.MethodGangCommit,
		wire.MethodGangCancel, wire.MethodClaimAcquire, wire.MethodClaimComplete, wire.MethodClaimRelease,
		wire.MethodClaimLookup, wire.MethodFind, wire.MethodJobGet, wire.MethodJobCancel, wire.MethodJobList,
		wire.MethodJobExplain:
		return Work
	}
	return Control
}

// refusal is the reason label of a refused message.
type refusal string

// Reasons of refusals.
const (
	refusedUnknownMethod refusal = "unknown-method"
	refusedOversize      refusal = "oversize"
	refusedMalformed     refusal = "malformed"
	refusedParameters    refusal = "bad-parameters"
	refusedBusy          refusal = "busy"
	refusedSender        refusal = "wrong-sender"
	refusedCertificate   refusal = "certificate"
	refusedConnections   refusal = "too-many-connections"
	refusedPanic         refusal = "handler-panic"
)

// counters holds the transport's metrics.
type counters struct {
	set            *metrics.Set
	sent, received map[Class]*metrics.Counter
	rawSent        *metrics.Counter
	rawReceived    *metrics.Counter
	dials          *metrics.Counter
	backpressure   *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set: set, sent: map[Class]*metrics.Counter{}, received: map[Class]*metrics.Counter{},
		rawSent:      set.GetOrCreateCounter(`rosemaryspoke_peer_connection_bytes_total{direction="sent"}`),
		rawReceived:  set.GetOrCreateCounter(`rosemaryspoke_peer_connection_bytes_total{direction="received"}`),
		dials:        set.GetOrCreateCounter(`rosemaryspoke_peer_dials_total`),
		backpressure: set.GetOrCreateCounter(`rosemaryspoke_peer_backpressure_total`),
	}
	for _, class := range []Class{Control, Work} {
		name := `rosemaryspoke_peer_message_bytes_total{direction=%q,class=%q}`
		c.sent[class] = set.GetOrCreateCounter(fmt.Sprintf(name, "sent", class))
		c.received[class] = set.GetOrCreateCounter(fmt.Sprintf(name, "received", class))
	}
	return c
}

// refuse counts a refused message.
func (c *counters) refuse(reason refusal) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_peer_refused_total{reason=%q}`, reason)).Inc()
}

// refused returns how many messages were refused for the reason.
func (c *counters) refused(reason refusal) uint64 {
	return c.set.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_peer_refused_total{reason=%q}`, reason)).Get()
}
