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
