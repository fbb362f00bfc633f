package asynclog

import (
	"strings"
	"sync"
	"testing"
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
