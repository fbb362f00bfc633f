package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
)

// Class separates the traffic that callers' requests cause from the control traffic of the daemons.
type Class string

// Classes of methods. Work messages are sent only because of a caller's request; all other messages are control.
const (
	Control Class = "control"
	Work    Class = "work"
)

// ClassOf returns the class of a method; unknown methods count as control.
func ClassOf(method string) Class {
	switch method {
	case wire.MethodForward, wire.MethodResult, wire.MethodCancel, wire.MethodGangReserve, wire.MethodGangCommit,
		wire.MethodGangCancel, wire.MethodClaimAcquire, wire.MethodClaimComplete, wire.MethodClaimRelease,
		wire.MethodClaimLookup, wire.MethodFind, wire.MethodJobGet, wire.MethodJobCancel, wire.MethodJobList,
		wire.MethodJobExplain:
		return Work
	}
	return Control
}

// refusalReason is the value of the reason label in the metric of refused messages and connections.
type refusalReason string

// Reasons for which a message or connection is refused.
const (
	refusedUnknownMethod refusalReason = "unknown-method"
	refusedOversize      refusalReason = "oversize"
	refusedMalformed     refusalReason = "malformed"
	refusedParameters    refusalReason = "bad-parameters"
	refusedBusy          refusalReason = "busy"
	refusedSender        refusalReason = "wrong-sender"
	refusedCertificate   refusalReason = "certificate"
	refusedConnections   refusalReason = "too-many-connections"
	refusedPanic         refusalReason = "handler-panic"
	refusedMemory        refusalReason = "memory"
)

// counters holds the metrics of the transport.
type counters struct {
	set            *metrics.Set
	sent, received map[Class]*metrics.Counter
	connSent       *metrics.Counter
	connReceived   *metrics.Counter
	dials          *metrics.Counter
	backpressure   *metrics.Counter

	silenceChecks, silentConnections *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set: set, sent: map[Class]*metrics.Counter{}, received: map[Class]*metrics.Counter{},
		connSent:     set.GetOrCreateCounter(`rosemaryspoke_peer_connection_bytes_total{direction="sent"}`),
		connReceived: set.GetOrCreateCounter(`rosemaryspoke_peer_connection_bytes_total{direction="received"}`),
		dials:        set.GetOrCreateCounter(`rosemaryspoke_peer_dials_total`),
		backpressure: set.GetOrCreateCounter(`rosemaryspoke_peer_backpressure_total`),

		silenceChecks:     set.GetOrCreateCounter(`rosemaryspoke_peer_silence_checks_total`),
		silentConnections: set.GetOrCreateCounter(`rosemaryspoke_peer_silent_connections_total`),
	}
	for _, class := range []Class{Control, Work} {
		name := `rosemaryspoke_peer_message_bytes_total{direction=%q,class=%q}`
		c.sent[class] = set.GetOrCreateCounter(fmt.Sprintf(name, "sent", class))
		c.received[class] = set.GetOrCreateCounter(fmt.Sprintf(name, "received", class))
	}
	return c
}

// countRefusal counts a refused message or connection.
func (c *counters) countRefusal(reason refusalReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_peer_refused_total{reason=%q}`, reason)).Inc()
}

// refusals returns the number of messages and connections refused for the reason.
func (c *counters) refusals(reason refusalReason) uint64 {
	return c.set.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_peer_refused_total{reason=%q}`, reason)).Get()
}
