package policy

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/internal/uptime"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const testKey = "config"

func decodeVersion(value []byte) (*Policy, error) {
	n, err := strconv.Atoi(string(value))
	return &Policy{Version: ident.Version(n)}, err
}

func startWatcher(t *testing.T, s *txstore.Store) *Watcher {
	w := NewWatcher(s, testKey, decodeVersion, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return w
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out after 5 s waiting for: %s", what)
}

func (w *Watcher) hasVersion(v ident.Version) func() bool {
	return func() bool { return w.version() == v }
}

func TestWatcher(t *testing.T) {
	for name, check := range map[string]func(*testing.T, *txstore.Store){
		"a new version is applied by the watch": func(t *testing.T, s *txstore.Store) {
			w := startWatcher(t, s)
			await(t, "first version", w.hasVersion(3))
			s.Put(testKey, []byte("5"))
			await(t, "second version", w.hasVersion(5))
		},
		"older and unreadable versions are ignored": func(t *testing.T, s *txstore.Store) {
			w := startWatcher(t, s)
			await(t, "first version", w.hasVersion(3))
			s.Put(testKey, []byte("2"))
			s.Put(testKey, []byte("no number"))
			s.Put(testKey, []byte("4"))
			await(t, "newest version", w.hasVersion(4))
		},
		// Guards against a busy loop of reads and failing watches when the configuration is older than the store's history.
		// It caused 1,300 reads in 20 s on glwfse-spoke-grown.
		"a configuration older than the history is watched without a busy loop": func(t *testing.T, s *txstore.Store) {
			s.Put("other", nil)
			s.Compact()
			started := time.Now()
			w := startWatcher(t, s)
			await(t, "first version", w.hasVersion(3))
			time.Sleep(400 * time.Millisecond)
			n, took := s.CallCount("watch"), time.Since(started)
			if limit := 2 + int(took/watchTimeout); n > limit { // the first one returns at once
				t.Errorf("%d watch calls in %s, want at most %d", n, took, limit)
			}
		},
		"a change that was compacted before the watch saw it is read": func(t *testing.T, s *txstore.Store) {
			w := startWatcher(t, s)
			await(t, "first version", w.hasVersion(3))
			s.SetFault(func(call, _ string) txstore.Fault {
				if call == "watch" {
					return txstore.Unavailable
				}
				return txstore.None
			})
			s.Put(testKey, []byte("6"))
			s.Compact()
			s.SetFault(nil)
			await(t, "second version", w.hasVersion(6))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := txstore.New(time.Now)
			s.Put(testKey, []byte("3"))
			check(t, s)
		})
	}
}

// Guards against a configuration that counts as confirmed while the store does not respond.
func TestConfirmationDuringStoreOutage(t *testing.T) {
	s := txstore.New(time.Now)
	s.Put(testKey, []byte("3"))
	w := startWatcher(t, s)
	await(t, "first version", w.hasVersion(3))
	s.SetFault(func(string, string) txstore.Fault { return txstore.Unavailable })
	stopped := time.Now()
	time.Sleep(1500 * time.Millisecond)
	if c := w.Current(); c.ConfirmedAt.After(stopped) || c.Fresh(time.Now(), time.Second) {
		t.Errorf("confirmed %s after the store stopped responding", c.ConfirmedAt.Sub(stopped))
	}
	s.SetFault(nil)
	await(t, "confirmation", func() bool { return w.Current().Fresh(time.Now(), 500*time.Millisecond) })
}

// Guards against a daemon that uses keys after its host was suspended, as if the configuration had been confirmed just before.
func TestConfirmationAgesDuringSuspension(t *testing.T) {
	s := txstore.New(time.Now)
	s.Put(testKey, []byte("3"))
	w := NewWatcher(s, testKey, decodeVersion, logr.Discard())
	if err := w.refresh(context.Background()); err != nil || !w.Current().Fresh(time.Now(), time.Second) {
		t.Fatalf("not fresh after a read: %v", err)
	}
	const suspension = 5 * time.Second
	w.uptime = func() time.Duration { return uptime.Now() + suspension }
	if c := w.Current(); c.Fresh(time.Now(), suspension) {
		t.Errorf("confirmed %s ago after a suspension of %s", time.Since(c.ConfirmedAt), suspension)
	}
}

func TestMatch(t *testing.T) {
	route := func(host, prefix string, id ident.QueueID) Route {
		return Route{Host: host, Prefix: prefix, Queue: sched.Queue{ID: id}}
	}
	p := &Policy{Routes: []Route{route("a", "/x/", "short"), route("a", "/x/y/", "long"), route("b", "/x/", "other")}}
	for name, c := range map[string]struct {
		host, path, queue, rest string
	}{
		"longest prefix":    {"a", "/x/y/1", "long", "1"},
		"shorter prefix":    {"a", "/x/z", "short", "z"},
		"other host":        {"b", "/x/y/1", "other", "y/1"},
		"unknown host":      {"c", "/x/1", "", ""},
		"no route for path": {"a", "/q", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, rest, _ := p.Match(c.host, c.path)
			if string(r.Queue.ID) != c.queue || rest != c.rest {
				t.Errorf("got queue %q and rest %q", r.Queue.ID, rest)
			}
		})
	}
}
