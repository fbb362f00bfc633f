// Package asynclog writes log lines in the background, so that slow output never blocks the callers. Lines that don't fit
// into the queue are dropped and counted.
package asynclog

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 2048
	// flushDelay bounds how long a written line waits in the buffer.
	flushDelay  = 50 * time.Millisecond
	bufferBytes = 64 << 10
)

// Writer queues lines and writes them to the output in a background goroutine.
type Writer struct {
	lines   chan string
	out     *bufio.Writer
	dropped atomic.Uint64
	done    chan struct{}
}

// New starts a Writer. Close stops it.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan string, maxQueuedLines), out: bufio.NewWriterSize(out, bufferBytes), done: make(chan struct{})}
	go w.run()
	return w
}

// WriteLine queues a line, or drops it if the queue is full. It never blocks.
func (w *Writer) WriteLine(text string) {
	select {
	case w.lines <- text:
	default:
		w.dropped.Add(1)
	}
}

// Close writes all queued lines and stops the writer. WriteLine must not be called after Close.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	var flush <-chan time.Time // set while written lines wait for a flush
	for {
		select {
		case text, ok := <-w.lines:
			if !ok {
				_ = w.out.Flush() // the log itself is the only place to report an error
				return
			}
			w.write(text)
			if flush == nil {
				flush = time.After(flushDelay)
			}
		case <-flush:
			flush = nil
			_ = w.out.Flush() // a failure to write the log can't be logged
		}
	}
}

func (w *Writer) write(text string) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"msg":"log lines dropped","count":%d}`+"\n", n)
	}
	_, _ = w.out.WriteString(text) // bufio.Writer keeps its first error; Flush returns it
	_ = w.out.WriteByte('\n')
}
