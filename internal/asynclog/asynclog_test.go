package asynclog

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedOutput blocks all writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// Guards against a log that blocks the daemon while nothing reads its output, and against lines that are dropped without
// a record of it.
func TestBlockedOutputDropsLines(t *testing.T) {
	o := &blockedOutput{release: make(chan struct{})}
	w := New(o)
	started := time.Now()
	line := strings.Repeat("x", 100)
	for range 4 * maxQueuedLines {
		w.WriteLine(line)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("queueing the lines took %s while the output was blocked", took)
	}
	close(o.release)
	time.Sleep(3 * flushDelay)
	w.WriteLine("last")
	w.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, want := range []string{`"msg":"log lines dropped"`, "last\n"} {
		if !strings.Contains(o.text.String(), want) {
			t.Errorf("the log doesn't contain %q", want)
		}
	}
}

// countedOutput records the writes.
type countedOutput struct {
	mu     sync.Mutex
	writes []string
}

func (o *countedOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes = append(o.writes, string(p))
	return len(p), nil
}

func (o *countedOutput) lines() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(strings.Join(o.writes, ""), "\n")
}

// Guards against lines that stay in the buffer while others follow, and are lost when the process is killed.
func TestSteadyLinesAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 10 * time.Millisecond
		o := &countedOutput{}
		w := New(o)
		for n := range 100 {
			w.WriteLine("line")
			time.Sleep(pause)
			if late := n + 1 - o.lines(); late > int(flushDelay/pause) {
				t.Errorf("%d lines not written after line %d", late, n)
				break
			}
		}
		w.Close()
	})
}

// Guards against lines that are cut where a reader takes only the first part of a large write. Only a line that is longer than
// the buffer may take several writes.
func TestWritesHoldWholeLines(t *testing.T) {
	const (
		length = 300
		count  = 3 * bufferBytes / length
	)
	o := &countedOutput{}
	w := New(o)
	for range count {
		w.WriteLine(strings.Repeat("x", length))
	}
	w.WriteLine(strings.Repeat("y", 2*bufferBytes))
	w.WriteLine("last")
	w.Close()
	for n, text := range o.writes {
		if !strings.Contains(text, "y") && (len(text) > bufferBytes || !strings.HasSuffix(text, "\n")) {
			t.Errorf("write %d has %d bytes and ends with %q", n, len(text), text[len(text)-1:])
		}
	}
	if got := strings.Split(strings.Join(o.writes, ""), "\n"); len(got) != count+3 || len(got[count]) != 2*bufferBytes || got[count+1] != "last" {
		t.Errorf("%d lines written, want %d and the last ones whole", len(got)-1, count+2)
	}
}

// Guards against a log without output while lines keep coming: each line restarted the delay until the flush, so that lines
// appeared only once the buffer was full.
func TestSteadyLinesAreFlushed(t *testing.T) {
	o := &blockedOutput{release: make(chan struct{})}
	close(o.release)
	w := New(o)
	defer w.Close()
	text := func() string {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.text.String()
	}
	const pause = flushDelay / 5
	for started := time.Now(); text() == ""; time.Sleep(pause) {
		w.WriteLine("line")
		if time.Since(started) > 20*flushDelay {
			t.Fatalf("no output after %s of lines every %s", time.Since(started), pause)
		}
	}
}
