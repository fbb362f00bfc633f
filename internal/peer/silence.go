package peer

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// methodPing is answered by the reading goroutine's side of the transport, whatever the handlers do. A peer that doesn't
// know it replies with an error, which shows as well that the connection works.
const methodPing = "link.ping"

const (
	// minPatience is how long a ping may stay unanswered before a second connection is opened for comparison.
	minPatience = 200 * time.Millisecond
	// maxPatience bounds the patience, which doubles with each second connection, so that a slow or overloaded peer isn't
	// dialled again and again.
	maxPatience = 1600 * time.Millisecond
	// patienceMemory is the time without a second connection after which the patience is minPatience again.
	patienceMemory = 20 * time.Second
	// lastChance is how long the old connection gets to deliver once the new one works. A peer that was paused answers on
	// both within milliseconds.
	lastChance = 50 * time.Millisecond
)

// checkSilence finds out whether the connection has gone silent for good, which neither end is told of, and replaces it if
// so. A slow link or a paused peer looks the same at first. So a second connection is opened and compared: it shares the
// link, its queues and the peer's processor with the first, so only if it delivers a reply while the first, which was
// pinged before, delivers nothing, the first one is silent. Calls in progress on it end with ErrUnknownOutcome.
func (o *outboundConn) checkSilence() {
	l := o.link
	patience, ok := l.beginCheck(o)
	if !ok {
		return
	}
	defer l.endCheck()
	started := time.Now()
	ctx, cancel := context.WithTimeout(o.node.ctx, patience+2*handshakeTimeout)
	defer cancel()
	go o.ping(ctx)
	o.sleep(ctx, patience)
	if !o.isOpen() || o.activity.progressSince(started) {
		return
	}
	o.node.counters.silenceChecks.Inc()
	l.growPatience()
	compared, err := l.dialAndHandshake(ctx, o.address)
	if err != nil {
		return // the peer or the path to it fails, which says nothing about this connection
	}
	if !compared.ping(ctx) {
		_ = compared.rpc.Close()
		return
	}
	o.sleep(ctx, lastChance)
	if !o.isOpen() || o.activity.progressSince(started) || !l.replace(o, compared) {
		_ = compared.rpc.Close()
		return
	}
	o.node.counters.silentConnections.Inc()
	o.node.config.Log.Info("silent connection to a peer replaced", "peer", o.address, "silent-for", time.Since(started).String())
	_ = o.rpc.Close()
}

// ping sends a ping and reports whether a reply arrived before the context ended.
func (o *outboundConn) ping(ctx context.Context) bool {
	select {
	case o.writeSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	o.lastID++
	waiter, err := o.rpc.DispatchCall(ctx, methodPing, struct{}{}, jsonrpc2.PickID(jsonrpc2.ID{Num: o.lastID}))
	<-o.writeSlot
	if err != nil {
		return false
	}
	started := time.Now()
	err = waiter.Wait(ctx, nil)
	return err == nil || o.stream.readSince(started)
}

// sleep waits, unless the context or the connection ends before.
func (o *outboundConn) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-o.rpc.DisconnectNotify():
	}
}

// beginCheck returns the patience of a check of the connection, or false if it isn't the link's present one or a check is
// in progress.
func (l *link) beginCheck(o *outboundConn) (time.Duration, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.closed || l.checking || l.conn != o {
		return 0, false
	}
	l.checking = true
	if time.Since(l.comparedAt) > patienceMemory {
		l.patience = minPatience
	}
	return l.patience, true
}

func (l *link) endCheck() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.checking = false
}

// growPatience records that a second connection is opened for comparison.
func (l *link) growPatience() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.comparedAt, l.patience = time.Now(), min(2*l.patience, maxPatience)
}

// replace makes a new connection the link's present one. It returns false if the old one isn't that any more.
func (l *link) replace(o, compared *outboundConn) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.closed || l.conn != o {
		return false
	}
	l.conn = compared
	return true
}
