package cell

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
)

const (
	// inboundShare is the divisor of MemoryBytes for what callers send. A leader of 350 servers holds 20 to 70 MB, and the heap may be
	// twice what is held before garbage is collected at gcMemoryFraction.
	inboundShare = 4
	// fileDescriptors are for files; of the others, callerDescriptorShare is the divisor for connections of callers. The rest is for
	// servers, proxies, the store and peers: a leader of 400 servers has up to 1,200 such connections.
	fileDescriptors       = 200
	callerDescriptorShare = 3
	// operatorWriteTimeout ends responses to operators and readiness checks that aren't read.
	operatorWriteTimeout = 30 * time.Second
	// peerReceiveShare is the divisor of MemoryBytes for large messages of peers, and minPeerReceive has room for one of the largest while
	// it is received and for a configuration.
	peerReceiveShare = 12
	minPeerReceive   = 12 << 20
	// defaultDescriptors applies where the settings file names no limit; it is the usual soft limit of a process.
	defaultDescriptors = 1024
	// maxOperatorConnections bounds the connections of the operator's and of the readiness listener, each on its own, so that callers
	// can't keep the platform from checking a daemon.
	maxOperatorConnections = 64
)

// Inbound are the limits on what callers send; zero values mean the defaults.
type Inbound struct {
	Memory         int64         // bytes held for callers
	Connections    int           // of callers
	BodyTimeout    time.Duration // for the arrival of a body
	MaxHeaderBytes int
}

// inboundConfig derives the bounds that aren't set from the memory and the descriptors of the host.
func (s Settings) inboundConfig() inbound.Config {
	descriptors := cmp.Or(s.MaxDescriptors, defaultDescriptors)
	return inbound.Config{
		Memory:      cmp.Or(s.Inbound.Memory, s.MemoryBytes/inboundShare),
		Connections: cmp.Or(s.Inbound.Connections, max(1, (descriptors-fileDescriptors)/callerDescriptorShare)),
		BodyTimeout: cmp.Or(s.Inbound.BodyTimeout, inbound.DefaultBodyTimeout),
	}
}

func newBudget(d *Daemon, set *metrics.Set) (*inbound.Budget, error) {
	c := d.settings.inboundConfig()
	c.Log, c.Metrics = d.log.WithName("inbound"), set
	return inbound.New(c)
}

// newHTTPServer returns a server with the limits on headers and bodies.
func (d *Daemon) newHTTPServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: cmp.Or(d.settings.Inbound.MaxHeaderBytes, inbound.DefaultMaxHeaderBytes),
	}
	d.budget.Attach(s)
	return s
}

// listenHTTP opens the listener of a server and returns the function that serves it.
func (d *Daemon) listenHTTP(name, address string, most int, s *http.Server) (func() error, error) {
	l, err := d.budget.Listen(context.Background(), name, address, most)
	if err != nil {
		return nil, err
	}
	return func() error { return ignoreServerClosed(s.Serve(l)) }, nil
}
