// Package asynclog writes log lines without ever blocking their writers: lines beyond the buffer are dropped and counted.
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
	// flushInterval is the longest time that a line stays in the buffer.
	flushInterval = 50 * time.Millisecond
	bufferBytes   = 64 << 10
)

// Writer collects lines and writes them in a goroutine of its own.
type Writer struct {
	lines   chan string
	out     *bufio.Writer
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a writer that runs until Close.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan string, maxQueuedLines), out: bufio.NewWriterSize(out, bufferBytes), done: make(chan struct{})}
	go w.run()
	return w
}

// WriteLine queues a line, or drops it when the buffer is full.
func (w *Writer) WriteLine(text string) {
	select {
	case w.lines <- text:
	default:
		w.dropped.Add(1)
	}
}

// Close writes what is queued. No line may follow it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	flush := time.NewTimer(flushInterval)
	for {
		select {
		case text, ok := <-w.lines:
			if !ok {
				_ = w.out.Flush() // nobody is left to report to
				return
			}
			w.write(text)
			if len(w.lines) > 0 {
				continue
			}
			flush.Reset(flushInterval)
		case <-flush.C:
			_ = w.out.Flush() // a failed write of the log can't be logged
		}
	}
}

func (w *Writer) write(text string) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"msg":"log lines dropped","count":%d}`+"\n", n)
	}
	_, _ = w.out.WriteString(text) // the buffered writer keeps its first error
	_ = w.out.WriteByte('\n')
}
