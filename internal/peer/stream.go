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

	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/sourcegraph/jsonrpc2"
)

// errMalformed reports a frame that isn't a valid message.
var errMalformed = errors.New("malformed frame")

// readFrame reads one frame: its length as an unsigned varint, followed by that many bytes. The length is checked
// first, and the buffer grows only as bytes arrive, so that a false length allocates no memory.
func readFrame(r *bufio.Reader, limit int) ([]byte, error) {
	return readFrameFrom(r, limit, func(int) io.Reader { return r })
}

// readFrameFrom is readFrame with the reader of the frame's bytes, for which it asks once their number is known.
func readFrameFrom(r *bufio.Reader, limit int, open func(length int) io.Reader) ([]byte, error) {
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
		return nil, fmt.Errorf("%w: length is 0", errMalformed)
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, open(int(length)), int64(length)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("read frame: %w", err)
	}
	return frame.Bytes(), nil
}

// decodeFrame decodes a frame into a jsonrpc2 message. It refuses batches, because the protocol doesn't use them.
func decodeFrame(frame []byte, message any) error {
	if trimmed := bytes.TrimLeft(frame, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return fmt.Errorf("%w: message is not a JSON object", errMalformed)
	}
	if err := json.Unmarshal(frame, message); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// appendLength appends the length header of a frame.
func appendLength(b []byte, length int) []byte { return binary.AppendUvarint(b, uint64(length)) }

// isNetError reports whether an error comes from the connection and not from the data read.
func isNetError(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) || errors.Is(err, net.ErrClosed)
}

// stream is the jsonrpc2.ObjectStream of one connection. jsonrpc2 calls beforeSend and WriteObject under one lock and
// reads in one goroutine, so the class of each message is known when its bytes are counted.
type stream struct {
	conn         net.Conn
	reader       *bufio.Reader
	receive      *inbound.Pool // for frames of an accepted connection
	accepted     bool
	limit        int
	writeTimeout time.Duration
	counters     *counters

	lock           sync.Mutex
	writeClass     Class                                 // class of the next message to be written
	writeState     *sendState                            // state of the next message to be written; nil for a reply
	sendStates     map[jsonrpc2.ID]*sendState            // calls passed to jsonrpc2 and not yet written
	pendingReplies map[jsonrpc2.ID]Class                 // classes of the received requests without a reply
	lastRead       time.Time                             // time of the last received frame
	frameSize      int                                   // size of the last frame read; used only by the reading goroutine
	onError        func(reason refusalReason, err error) // reports malformed and oversize frames
}

// sendState records whether the write of a call was attempted, so that the peer may have received it.
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
			n.config.Log.Info("peer connection closed after an invalid frame", "remote", conn.RemoteAddr().String(), "error", err.Error())
		},
	}
}

// connOptions returns the jsonrpc2 options that call the stream before each sent and after each received message.
func (s *stream) connOptions() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{
		jsonrpc2.OnSend(s.beforeSend), jsonrpc2.OnRecv(s.afterReceive), jsonrpc2.SetLogger(discardLogger{}),
	}
}

// beforeSend determines the class and the send state of the message that WriteObject writes next.
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

// afterReceive counts the bytes of the message that ReadObject read last.
func (s *stream) afterReceive(request *jsonrpc2.Request, _ *jsonrpc2.Response) {
	class := Control
	if request != nil {
		class = ClassOf(request.Method)
	}
	s.counters.received[class].Add(s.frameSize)
}

// WriteObject writes one frame. A failed write closes the connection, because a part of the frame may have been sent.
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

// ReadObject reads one frame. It returns io.EOF for every error, on which jsonrpc2 closes the connection.
func (s *stream) ReadObject(message any) error {
	frame, err := s.readFrame(message)
	switch {
	case err == nil:
	case errors.Is(err, inbound.ErrFull):
		s.onError(refusedMemory, err)
		return io.EOF
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

// readFrame reads and decodes one frame. That of an accepted connection takes memory while it does, and has a time limit unless it has
// arrived already.
func (s *stream) readFrame(message any) ([]byte, error) {
	var pooled *inbound.PooledReader
	timed := false
	frame, err := readFrameFrom(s.reader, s.limit, func(length int) io.Reader {
		if !s.accepted || s.reader.Buffered() >= length {
			return s.reader
		}
		timed = true
		_ = s.conn.SetReadDeadline(time.Now().Add(frameTimeout))
		pooled = s.receive.Reader(s.reader)
		return pooled
	})
	if pooled != nil {
		defer pooled.Release()
	}
	if timed && err == nil {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
	if err == nil {
		err = decodeFrame(frame, message)
	}
	return frame, err
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

// readSince reports whether a frame arrived after t.
func (s *stream) readSince(t time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.lastRead.After(t)
}

// discardLogger discards the log lines of jsonrpc2, because the transport counts and logs the same events.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
