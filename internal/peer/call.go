package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/sourcegraph/jsonrpc2"
)

// senderSetter is implemented by a pointer to a message that embeds wire.Sender.
type senderSetter interface{ SetDefaultSender(wire.Sender) }

// Call sends a request to a member and waits for the reply. Its error wraps ErrUnreachable, ErrUnknownOutcome,
// ErrBackpressure, ErrTooLarge or a *RemoteError.
func Call[Req, Resp any](ctx context.Context, n *Node, to ident.MemberID, method string, req Req) (Resp, error) {
	var resp Resp
	address, ok := n.config.Address(to)
	if !ok {
		return resp, fmt.Errorf("call %s on %s: %w: member has no known address", method, to, ErrUnreachable)
	}
	if err := call(ctx, n, "member/"+string(to), to, address, method, &req, &resp); err != nil {
		return resp, fmt.Errorf("call %s on %s: %w", method, to, err)
	}
	return resp, nil
}

// CallAddress is like Call for a peer of which only the address is known, as before membership is known. The peer's
// certificate must be signed by one of the authorities; the name in it isn't checked.
func CallAddress[Req, Resp any](ctx context.Context, n *Node, address, method string, req Req) (Resp, error) {
	var resp Resp
	if err := call(ctx, n, "address/"+address, "", address, method, &req, &resp); err != nil {
		return resp, fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return resp, nil
}

// call sends a request over the link with the key, within the link's limit of concurrent calls and the call timeout.
func call(ctx context.Context, n *Node, linkKey string, to ident.MemberID, address, method string, req, resp any) error {
	if s, ok := req.(senderSetter); ok {
		s.SetDefaultSender(n.config.Self())
	}
	l, err := n.link(linkKey, to)
	if err != nil {
		return err
	}
	select {
	case l.inFlight <- struct{}{}:
		defer func() { <-l.inFlight }()
	default:
		n.counters.backpressure.Inc()
		return ErrBackpressure
	}
	ctx, cancel := context.WithTimeout(ctx, n.config.CallTimeout)
	defer cancel()
	conn, err := l.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return conn.call(ctx, method, req, resp)
}

// call sends one request and waits for its reply.
func (o *outboundConn) call(ctx context.Context, method string, req, resp any) error {
	o.activity.callStarted()
	defer o.activity.callEnded()
	// The slot is taken before jsonrpc2's own write lock, because waiting for that lock ignores the context.
	select {
	case o.writeSlot <- struct{}{}:
	case <-o.rpc.DisconnectNotify():
		return fmt.Errorf("%w: connection lost", ErrUnreachable)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnreachable, ctx.Err())
	}
	o.lastID++ // ids start at 1, because a reply without an id is decoded with id 0 and must match no call
	id := jsonrpc2.ID{Num: o.lastID}
	state := &sendState{}
	o.stream.lock.Lock()
	o.stream.sendStates[id] = state
	o.stream.lock.Unlock()
	started := o.node.now()
	waiter, err := o.rpc.DispatchCall(ctx, method, req, jsonrpc2.PickID(id))
	o.stream.lock.Lock()
	delete(o.stream.sendStates, id)
	o.stream.lock.Unlock()
	<-o.writeSlot
	switch {
	case err == nil:
	case state.tooLarge:
		return err
	case state.attempted:
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	default:
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	var raw json.RawMessage
	if err := waiter.Wait(ctx, &raw); err != nil {
		var remote *jsonrpc2.Error
		if errors.As(err, &remote) {
			return &RemoteError{Method: method, Code: Code(remote.Code), Message: remote.Message}
		}
		if ctx.Err() != nil {
			o.recordAbandoned(started)
		}
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if err := json.Unmarshal(raw, resp); err != nil {
		o.node.counters.countRefusal(refusedMalformed)
		return fmt.Errorf("%w: decode reply: %w", ErrUnknownOutcome, err)
	}
	return nil
}
