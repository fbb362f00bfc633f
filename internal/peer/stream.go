package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

var errMalformed = errors.New("malformed frame")

// readFrame reads one frame: its length as unsigned varint, then that many bytes. The length is checked first, and
// memory grows only as bytes arrive, so that a false length reserves nothing.
func readFrame(r *bufio.Reader, limit int) ([]byte, error) {
	length, err := binary.ReadUvarint(r)
	if err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err) {
			return nil, err
		}
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if length > uint64(limit) {
		return nil, fmt.Errorf("%w: %d bytes, at most %d allowed", ErrTooLarge, length, limit)
	}
	if length == 0 {
		return nil, fmt.Errorf("%w: empty", errMalformed)
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, r, int64(length)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("read frame: %w", err)
	}
	return frame.Bytes(), nil
}

// decodeFrame parses a frame into a jsonrpc2 message. Batches are refused, because the protocol sends none.
func decodeFrame(frame []byte, message any) error {
	if trimmed := bytes.TrimLeft(frame, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return fmt.Errorf("%w: not an object", errMalformed)
	}
	if err := json.Unmarshal(frame, message); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// appendLength appends the header of a frame.
func appendLength(b []byte, length int) []byte { return binary.AppendUvarint(b, uint64(length)) }

func isNetError(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) || errors.Is(err, net.ErrClosed)
}

// stream is the jsonrpc2.ObjectStream of one connection. jsonrpc2 calls its hooks and WriteObject under one lock and
// reads in one goroutine, so each message's class is known when its bytes are counted.
type stream struct {
	conn         net.Conn
	reader       *bufio.Reader
	limit        int
	writeTimeout time.Duration
	counters     *counters

	lock           sync.Mutex
	writeClass     Class                                 // class of the message about to be written
	writeState     *sendState                            // the call about to be written, nil for a reply
	sendStates     map[jsonrpc2.ID]*sendState            // calls handed to jsonrpc2 and not yet written
	pendingReplies map[jsonrpc2.ID]Class                 // received requests without a reply
	lastRead       time.Time                             // when the last frame arrived
	frameSize      int                                   // size of the frame read last; used by the reading goroutine only
	onError        func(reason refusalReason, err error) // reports malformed and oversize frames
}

// sendState records whether any byte of a call may have left.
type sendState struct {
	attempted bool
	tooLarge  bool
}

func newStream(conn net.Conn, n *Node) *stream {
	return &stream{
		conn: conn, reader: bufio.NewReader(conn), limit: n.config.MaxFrameBytes,
		writeTimeout: n.config.CallTimeout, counters: n.counters,
		sendStates: map[jsonrpc2.ID]*sendState{}, pendingReplies: map[jsonrpc2.ID]Class{},
		onError: func(reason refusalReason, err error) {
			n.counters.countRefusal(reason)
			n.config.Log.Info("peer connection closed on a bad frame", "remote", conn.RemoteAddr().String(), "error", err.Error())
		},
	}
}

// connOptions are the jsonrpc2 hooks that tell the stream what it reads and writes.
func (s *stream) connOptions() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{
		jsonrpc2.OnSend(s.beforeSend), jsonrpc2.OnRecv(s.afterReceive), jsonrpc2.SetLogger(discardLogger{}),
	}
}

func (s *stream) beforeSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.writeState = nil
	switch {
	case request != nil:
		s.writeClass = ClassOf(request.Method)
		s.writeState = s.sendStates[request.ID]
		delete(s.sendStates, request.ID)
	case response != nil:
		s.writeClass = Control
		if class, ok := s.pendingReplies[response.ID]; ok {
			s.writeClass = class
		}
		delete(s.pendingReplies, response.ID)
	}
}

func (s *stream) afterReceive(request *jsonrpc2.Request, _ *jsonrpc2.Response) {
	class := Control
	if request != nil {
		class = ClassOf(request.Method)
	}
	s.counters.received[class].Add(s.frameSize)
}

// WriteObject writes one frame. A failed write closes the connection, because the frame may be cut.
func (s *stream) WriteObject(message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	s.lock.Lock()
	class, calling := s.writeClass, s.writeState
	s.lock.Unlock()
	if len(body) > s.limit {
		if calling != nil {
			calling.tooLarge = true
		}
		return fmt.Errorf("%w: %d bytes, at most %d allowed", ErrTooLarge, len(body), s.limit)
	}
	frame := append(appendLength(make([]byte, 0, len(body)+binary.MaxVarintLen32), len(body)), body...)
	if calling != nil {
		calling.attempted = true
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	if _, err := s.conn.Write(frame); err != nil {
		_ = s.conn.Close()
		return fmt.Errorf("write frame: %w", err)
	}
	s.counters.sent[class].Add(len(frame))
	return nil
}

// ReadObject reads one frame; an error closes the connection.
func (s *stream) ReadObject(message any) error {
	frame, err := readFrame(s.reader, s.limit)
	if err == nil {
		err = decodeFrame(frame, message)
	}
	switch {
	case err == nil:
	case errors.Is(err, ErrTooLarge):
		s.onError(refusedOversize, err)
		return io.EOF
	case errors.Is(err, errMalformed):
		s.onError(refusedMalformed, err)
		return io.EOF
	default:
		return io.EOF
	}
	s.frameSize = len(frame) + len(appendLength(nil, len(frame)))
	s.lock.Lock()
	s.lastRead = time.Now()
	s.lock.Unlock()
	return nil
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

// readSince reports whether a frame arrived after t.
func (s *stream) readSince(t time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.lastRead.After(t)
}

// discardLogger drops jsonrpc2's own log lines; the transport counts and logs the same events itself.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
