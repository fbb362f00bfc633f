package kv_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/clock"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
)

const (
	ttl = 10 * time.Second
	// longWait is the wait of watches that must end because of an event. If none comes, the test times out.
	longWait = time.Minute
)

type fixture struct {
	store  platform.Store
	hosts  platform.HostList
	server *kv.Server
	clock  *clock.Clock
}

// adapters connect to the server through each client implementation that must fulfil the contract.
var adapters = map[string]func(t *testing.T, s *kv.Server) (platform.Store, platform.HostList){
	"in-process": func(_ *testing.T, s *kv.Server) (platform.Store, platform.HostList) {
		return s.StoreFrom("west"), s.HostListFrom("west")
	},
	"http": func(t *testing.T, s *kv.Server) (platform.Store, platform.HostList) {
		server := httptest.NewServer(s.Handler())
		t.Cleanup(server.Close)
		config := platform.HTTPConfig{BaseURL: server.URL, Region: "west"}
		store, err := platform.NewHTTPStore(config)
		must(t, err)
		hosts, err := platform.NewHTTPHostList(config)
		must(t, err)
		return store, hosts
	},
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func wantError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
}

func (f fixture) put(t *testing.T, key string, expect platform.Revision, value string, l platform.LeaseID) platform.Revision {
	t.Helper()
	revision, err := f.store.CompareAndSwap(t.Context(), key, expect, []byte(value), l)
	must(t, err)
	return revision
}

func (f fixture) value(t *testing.T, key string) string {
	t.Helper()
	item, err := f.store.Get(t.Context(), key)
	if errors.Is(err, platform.ErrNotFound) {
		return ""
	}
	must(t, err)
	return string(item.Value)
}

// contract has a check for each rule that every implementation must keep.
var contract = map[string]func(t *testing.T, f fixture){
	"a get returns the value and revision of a created key": func(t *testing.T, f fixture) {
		revision := f.put(t, "a", 0, "one", 0)
		item, err := f.store.Get(t.Context(), "a")
		must(t, err)
		if item.Key != "a" || string(item.Value) != "one" || item.Revision != revision || revision == 0 {
			t.Fatalf("item %+v, written at %d", item, revision)
		}
	},
	"a missing key is not found": func(t *testing.T, f fixture) {
		_, err := f.store.Get(t.Context(), "a")
		wantError(t, err, platform.ErrNotFound)
		wantError(t, f.store.Delete(t.Context(), "a", 1), platform.ErrNotFound)
	},
	"only one of two swaps that expect the same revision succeeds": func(t *testing.T, f fixture) {
		first := f.put(t, "a", 0, "one", 0)
		_, err := f.store.CompareAndSwap(t.Context(), "a", 0, []byte("x"), 0)
		wantError(t, err, platform.ErrConflict)
		second := f.put(t, "a", first, "two", 0)
		_, err = f.store.CompareAndSwap(t.Context(), "a", first, []byte("x"), 0)
		wantError(t, err, platform.ErrConflict)
		if second <= first || f.value(t, "a") != "two" {
			t.Fatalf("revisions %d then %d, value %q", first, second, f.value(t, "a"))
		}
	},
	"a delete that expects an old revision is refused": func(t *testing.T, f fixture) {
		first := f.put(t, "a", 0, "one", 0)
		second := f.put(t, "a", first, "two", 0)
		wantError(t, f.store.Delete(t.Context(), "a", first), platform.ErrConflict)
		must(t, f.store.Delete(t.Context(), "a", second))
		if third := f.put(t, "a", 0, "three", 0); third <= second+1 {
			t.Fatalf("revision %d after a delete of revision %d", third, second)
		}
	},
	"a list returns the items under the prefix in key order": func(t *testing.T, f fixture) {
		for _, k := range []string{"p/b", "q/x", "p/a", "p"} {
			f.put(t, k, 0, k, 0)
		}
		items, err := f.store.List(t.Context(), "p/")
		must(t, err)
		if len(items) != 2 || items[0].Key != "p/a" || items[1].Key != "p/b" || string(items[1].Value) != "p/b" {
			t.Fatalf("items %+v", items)
		}
	},
	"a value of the largest size is stored and a larger one is refused": func(t *testing.T, f fixture) {
		largest := bytes.Repeat([]byte{0xff}, platform.MaxValueBytes)
		_, err := f.store.CompareAndSwap(t.Context(), "a", 0, append(largest, 0), 0)
		wantError(t, err, platform.ErrTooLarge)
		_, err = f.store.CompareAndSwap(t.Context(), "a", 0, largest, 0)
		must(t, err)
		if f.value(t, "a") != string(largest) {
			t.Fatal("the largest value was changed")
		}
	},
	"an expired lease deletes its keys": func(t *testing.T, f fixture) {
		l, err := f.store.GrantLease(t.Context(), ttl)
		must(t, err)
		f.put(t, "a", 0, "one", l)
		f.clock.Advance(ttl - time.Millisecond)
		must(t, f.store.RenewLease(t.Context(), l))
		f.clock.Advance(ttl - time.Millisecond)
		if f.value(t, "a") != "one" {
			t.Fatal("the key was deleted before the renewed lease expired")
		}
		f.clock.Advance(time.Millisecond)
		if f.value(t, "a") != "" {
			t.Fatal("the key outlived its lease")
		}
		wantError(t, f.store.RenewLease(t.Context(), l), platform.ErrNotFound)
		_, err = f.store.CompareAndSwap(t.Context(), "b", 0, nil, l)
		wantError(t, err, platform.ErrNotFound)
	},
	"a revoked lease deletes its keys and no others": func(t *testing.T, f fixture) {
		l, err := f.store.GrantLease(t.Context(), ttl)
		must(t, err)
		f.put(t, "a", 0, "one", l)
		moved := f.put(t, "b", 0, "two", l)
		f.put(t, "b", moved, "three", 0)
		must(t, f.store.RevokeLease(t.Context(), l))
		if f.value(t, "a") != "" || f.value(t, "b") != "three" {
			t.Fatal("a leased key survived, or a key without a lease was deleted")
		}
		wantError(t, f.store.RevokeLease(t.Context(), l), platform.ErrNotFound)
	},
	"a watch returns only later changes under its prefix": func(t *testing.T, f fixture) {
		first := f.put(t, "p/a", 0, "one", 0)
		f.put(t, "q", 0, "other prefix", 0)
		last := f.put(t, "p/b", 0, "two", 0)
		events, next, err := f.store.Watch(t.Context(), "p/", first, longWait)
		must(t, err)
		if len(events) != 1 || events[0].Key != "p/b" || events[0].Revision != last || next < last {
			t.Fatalf("events %+v up to %d", events, next)
		}
		events, again, err := f.store.Watch(t.Context(), "p/", next, 0)
		must(t, err)
		if len(events) != 0 || again < next {
			t.Fatalf("events %+v up to %d after %d", events, again, next)
		}
	},
	"a pending watch reports the deletion of a key whose lease expires": func(t *testing.T, f fixture) {
		l, err := f.store.GrantLease(t.Context(), ttl)
		must(t, err)
		written := f.put(t, "p/a", 0, "one", l)
		done := make(chan []platform.Event, 1)
		go func() {
			events, _, _ := f.store.Watch(context.Background(), "p/", written, longWait)
			done <- events
		}()
		f.clock.Advance(ttl)
		f.server.Tick()
		events := <-done
		if len(events) != 1 || !events[0].Deleted || events[0].Key != "p/a" {
			t.Fatalf("events %+v", events)
		}
	},
	"a watch from an old revision reports a deletion after the log was compacted": func(t *testing.T, f fixture) {
		revision := f.put(t, "p/a", 0, "one", 0)
		must(t, f.store.Delete(t.Context(), "p/a", revision))
		direct := fixture{store: f.server.Store()}
		last := direct.put(t, "q", 0, "", 0)
		for range 3000 { // enough writes to compact the change log
			last = direct.put(t, "q", last, "", 0)
		}
		events, _, err := f.store.Watch(t.Context(), "p/", revision, 0)
		must(t, err)
		if len(events) != 1 || !events[0].Deleted {
			t.Fatalf("events %+v", events)
		}
	},
	"a store that is down refuses calls, without effect, and keeps its keys": func(t *testing.T, f fixture) {
		revision := f.put(t, "a", 0, "one", 0)
		f.server.SetDown(true)
		_, err := f.store.Get(t.Context(), "a")
		wantError(t, err, platform.ErrUnavailable)
		_, err = f.store.CompareAndSwap(t.Context(), "a", revision, []byte("two"), 0)
		wantError(t, err, platform.ErrUnavailable)
		_, err = f.hosts.Hosts(t.Context())
		wantError(t, err, platform.ErrUnavailable)
		f.server.SetDown(false)
		if f.value(t, "a") != "one" {
			t.Fatal("a refused write took effect")
		}
	},
	"a pending watch ends when the store goes down": func(t *testing.T, f fixture) {
		done := make(chan error, 1)
		go func() {
			_, _, err := f.store.Watch(context.Background(), "p/", 0, longWait)
			done <- err
		}()
		f.server.SetDown(true)
		wantError(t, <-done, platform.ErrUnavailable)
	},
	"calls from a region that is cut off are refused": func(t *testing.T, f fixture) {
		f.server.CutOffRegions("east")
		f.put(t, "a", 0, "one", 0)
		f.server.CutOffRegions("east", "west")
		_, err := f.store.Get(t.Context(), "a")
		wantError(t, err, platform.ErrUnavailable)
	},
	"a write whose reply is lost takes effect": func(t *testing.T, f fixture) {
		f.server.LoseNextReplies(2)
		_, err := f.store.CompareAndSwap(t.Context(), "a", 0, []byte("one"), 0)
		wantError(t, err, platform.ErrUnknownOutcome)
		if f.value(t, "a") != "one" {
			t.Fatal("the write has no effect")
		}
		_, err = f.store.GrantLease(t.Context(), ttl)
		wantError(t, err, platform.ErrUnknownOutcome)
		_, err = f.store.GrantLease(t.Context(), ttl)
		must(t, err)
	},
	"random loss of replies is reproducible by the seed": func(t *testing.T, f fixture) {
		f.server.SetReplyLoss(0.5)
		lost := 0
		for range 64 {
			if _, err := f.store.GrantLease(t.Context(), ttl); err != nil {
				wantError(t, err, platform.ErrUnknownOutcome)
				lost++
			}
		}
		if lost != 40 { // the result of math/rand/v2 PCG with seed 7
			t.Fatalf("%d of 64 replies lost", lost)
		}
	},
	"an abandoned slow write has an unknown outcome": func(t *testing.T, f fixture) {
		f.server.SetDelay(time.Hour)
		cancelAfterArrival := func(kind platform.CallKind, call func(context.Context) error) error {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				for f.server.Counts()[kind] == 0 { // a call is counted when it arrives
					time.Sleep(time.Millisecond)
				}
				cancel()
			}()
			return call(ctx)
		}
		wantError(t, cancelAfterArrival(platform.CallSwap, func(ctx context.Context) error {
			_, err := f.store.CompareAndSwap(ctx, "a", 0, []byte("one"), 0)
			return err
		}), platform.ErrUnknownOutcome)
		wantError(t, cancelAfterArrival(platform.CallGet, func(ctx context.Context) error {
			_, err := f.store.Get(ctx, "a")
			return err
		}), platform.ErrUnavailable)
	},
	"a change of the host list is visible after the delay": func(t *testing.T, f fixture) {
		for _, state := range []platform.HostState{platform.HostLive, platform.HostLeaving} {
			f.server.SetHosts([]platform.Host{{ID: "h1", Address: "127.0.0.1:1", Region: "west", State: state}})
			f.clock.Advance(ttl / 2)
		}
		states := func() (states []platform.HostState) {
			hosts, err := f.hosts.Hosts(t.Context())
			must(t, err)
			for _, h := range hosts {
				states = append(states, h.State)
			}
			return states
		}
		if got := states(); !slices.Equal(got, []platform.HostState{platform.HostLive}) {
			t.Fatalf("first list: %v", got)
		}
		f.clock.Advance(ttl / 2)
		if got := states(); !slices.Equal(got, []platform.HostState{platform.HostLeaving}) {
			t.Fatalf("second list: %v", got)
		}
	},
}

// TestContract guards against a client that reports a wrong outcome: success, refusal or unknown.
func TestContract(t *testing.T) {
	for adapter, connect := range adapters {
		for name, check := range contract {
			t.Run(adapter+"/"+name, func(t *testing.T) {
				t.Parallel()
				c := clock.New(time.Unix(1_000_000, 0))
				server := kv.New(kv.Config{Now: c.Now, HostListDelay: ttl, Seed: 7})
				store, hosts := connect(t, server)
				check(t, fixture{store: store, hosts: hosts, server: server, clock: c})
			})
		}
	}
}
