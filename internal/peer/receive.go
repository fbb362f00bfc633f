package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/tcp"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/sourcegraph/jsonrpc2"
)

// handler processes one request. A returned *jsonrpc2.Error is sent unchanged.
type handler func(ctx context.Context, from *peerIdentity, params json.RawMessage) (any, error)

// senderProvider is implemented by a message that embeds wire.Sender.
type senderProvider interface{ MessageSender() wire.Sender }

// Handle registers the typed handler of a method. The handler's context is cancelled when the caller's connection
// closes.
func Handle[Req, Resp any](n *Node, method string, h func(context.Context, Req) (Resp, error)) {
	n.handlersLock.Lock()
	defer n.handlersLock.Unlock()
	n.handlers[method] = func(ctx context.Context, from *peerIdentity, params json.RawMessage) (any, error) {
		var request Req
		if err := json.Unmarshal(params, &request); err != nil {
			n.counters.countRefusal(refusedParameters)
			return nil, rpcError(CodeBadParameters, err.Error())
		}
		if o, ok := any(request).(senderProvider); ok {
			if err := from.checkMember(o.MessageSender().Member); err != nil {
				n.counters.countRefusal(refusedSender)
				return nil, rpcError(CodeWrongSender, err.Error())
			}
		}
		return h(ctx, request)
	}
}

// inboundConn is one accepted connection.
type inboundConn struct {
	node     *Node
	conn     net.Conn
	stream   *stream
	identity *peerIdentity // names in the peer's certificate; nil without TLS
	inFlight chan struct{}
}

// serveConn serves an accepted connection until it closes.
func (n *Node) serveConn(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	in := &inboundConn{node: n, inFlight: make(chan struct{}, n.config.MaxInFlight)}
	if !n.register(in, raw) {
		n.counters.countRefusal(refusedConnections)
		return
	}
	defer n.unregister(in)
	conn, from, err := n.handshakeInbound(ctx, raw)
	if err != nil {
		n.counters.countRefusal(refusedCertificate)
		n.config.Log.Info("peer connection refused: handshake failed", "remote", raw.RemoteAddr().String(), "error", err.Error())
		return
	}
	n.acceptedLock.Lock()
	in.conn, in.identity = conn, from
	n.acceptedLock.Unlock()
	if err := sendGreeting(conn); err != nil {
		return
	}
	in.stream = newStream(conn, n)
	in.stream.accepted, in.stream.receive = true, n.config.Receive
	rpc := jsonrpc2.NewConn(ctx, in.stream, in, in.stream.connOptions()...)
	<-rpc.DisconnectNotify()
	// Wait for the handlers of this connection, whose contexts are cancelled.
	for range cap(in.inFlight) {
		in.inFlight <- struct{}{}
	}
}

// register adds an accepted connection and returns false if maxConnections are open.
func (n *Node) register(in *inboundConn, raw net.Conn) bool {
	n.acceptedLock.Lock()
	defer n.acceptedLock.Unlock()
	if len(n.accepted) >= maxConnections {
		return false
	}
	in.conn = raw
	n.accepted[in] = struct{}{}
	return true
}

func (n *Node) unregister(in *inboundConn) {
	n.acceptedLock.Lock()
	defer n.acceptedLock.Unlock()
	delete(n.accepted, in)
}

// Handle implements jsonrpc2.Handler. The reading goroutine calls it, so it doesn't wait for the method's handler.
func (in *inboundConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	n := in.node
	if r.Method == methodPing && !r.Notif {
		go in.reply(ctx, conn, r, struct{}{}, nil) // not through the handlers, whose limit may be reached
		return
	}
	if r.Notif || r.Params == nil || !in.trackRequest(r) {
		n.counters.countRefusal(refusedMalformed)
		_ = conn.Close()
		return
	}
	n.handlersLock.RLock()
	h, ok := n.handlers[r.Method]
	n.handlersLock.RUnlock()
	if !ok {
		n.counters.countRefusal(refusedUnknownMethod)
		in.reply(ctx, conn, r, nil, rpcError(CodeUnknownMethod, "unknown method"))
		return
	}
	select {
	case in.inFlight <- struct{}{}:
	default:
		n.counters.countRefusal(refusedBusy)
		in.reply(ctx, conn, r, nil, rpcError(CodeBusy, ErrBackpressure.Error()))
		return
	}
	taken, ok := n.config.Receive.Take(len(*r.Params))
	if !ok {
		<-in.inFlight
		n.counters.countRefusal(refusedMemory)
		in.reply(ctx, conn, r, nil, rpcError(CodeBusy, ErrBackpressure.Error()))
		return
	}
	go func() {
		defer func() { <-in.inFlight }()
		defer n.config.Receive.Give(taken)
		result, err := in.run(ctx, h, r)
		in.reply(ctx, conn, r, result, err)
	}()
}

// trackRequest stores the class of a request until its reply is sent. It returns false if a request with the same id is
// pending, which is a protocol error.
func (in *inboundConn) trackRequest(r *jsonrpc2.Request) bool {
	in.stream.lock.Lock()
	defer in.stream.lock.Unlock()
	if _, open := in.stream.pendingReplies[r.ID]; open {
		return false
	}
	in.stream.pendingReplies[r.ID] = ClassOf(r.Method)
	return true
}

// run calls the handler and turns a panic into an error.
func (in *inboundConn) run(ctx context.Context, h handler, r *jsonrpc2.Request) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			in.node.counters.countRefusal(refusedPanic)
			in.node.config.Log.Error(fmt.Errorf("panic: %v", p), "peer handler panicked", "method", r.Method)
			err = rpcError(CodeInternal, "handler failed")
		}
	}()
	return h(ctx, in.identity, *r.Params)
}

// reply sends the result or the error of a request.
func (in *inboundConn) reply(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, result any, err error) {
	response := &jsonrpc2.Response{ID: r.ID}
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Result = nil
		if !errors.As(err, &response.Error) {
			response.Error = rpcError(CodeHandlerFailed, err.Error())
		}
	}
	if err := conn.SendResponse(ctx, response); errors.Is(err, ErrTooLarge) {
		in.node.counters.countRefusal(refusedOversize)
		rejection := &jsonrpc2.Response{ID: r.ID, Error: rpcError(CodeReplyTooLarge, ErrTooLarge.Error())}
		_ = conn.SendResponse(ctx, rejection)
	}
}

// rpcError returns the error of a reply.
func rpcError(code Code, message string) *jsonrpc2.Error {
	return &jsonrpc2.Error{Code: int64(code), Message: message}
}

// handshakeInbound enables keep-alive probes on an accepted connection and runs its TLS handshake.
func (n *Node) handshakeInbound(ctx context.Context, raw net.Conn) (net.Conn, *peerIdentity, error) {
	if t, ok := raw.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3})
		_ = tcp.SetUserTimeout(t, userTimeout)
	}
	counted := &countedConn{Conn: raw, counters: n.counters}
	if n.config.TLS == nil {
		if n.lacksTLS(raw.RemoteAddr().String()) {
			return nil, nil, fmt.Errorf("accept from %s: %w", raw.RemoteAddr(), ErrInsecure)
		}
		return counted, nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return n.config.TLS.serverHandshake(ctx, counted)
}

// countedConn counts the bytes on the wire, including those of TLS.
type countedConn struct {
	net.Conn
	counters *counters
	activity *activity // nil for accepted connections
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.connReceived.Add(n)
	if n > 0 && c.activity != nil {
		c.activity.received()
	}
	return n, err
}

// Write implements net.Conn. It writes large buffers in parts, so that a slow write shows progress.
func (c *countedConn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(len(b), written+writePart)])
		c.counters.connSent.Add(n)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
		if c.activity != nil {
			c.activity.wrotePart()
		}
	}
}

// peerIdentity contains the names in the verified certificate of a peer. It is nil for a connection without TLS.
type peerIdentity struct {
	names []string
}

// checkMember returns an error if the certificate doesn't name the member.
func (p *peerIdentity) checkMember(id ident.MemberID) error {
	if id == "" {
		return errors.New("message has no sender")
	}
	if p == nil {
		return nil
	}
	for _, name := range p.names {
		if name == string(id) {
			return nil
		}
	}
	return fmt.Errorf("certificate names %q, not member %q", p.names, id)
}
