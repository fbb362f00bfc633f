package soak

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	store "github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

const (
	silenceWait  = 150 * time.Millisecond // for bytes that must not arrive
	deliveryWait = 5 * time.Second        // for bytes that must arrive
)

// proxiedPair is a connection through a proxy, as both ends have it.
type proxiedPair struct{ caller, server net.Conn }

// open opens a connection through the proxy to the listener behind it.
func open(t *testing.T, p *proxy, l net.Listener) proxiedPair {
	t.Helper()
	caller, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	pair := proxiedPair{caller, acceptFrom(t, p, caller, l)}
	t.Cleanup(func() { _, _ = caller.Close(), pair.server.Close() })
	if !delivers(pair.caller, pair.server, true) || !delivers(pair.server, pair.caller, true) {
		t.Fatal("a new connection delivers nothing")
	}
	return pair
}

// acceptFrom accepts the connection that a proxy opens for its caller's. Others may come first: daemons of runs beside this test dial ports
// that were free for it.
func acceptFrom(t *testing.T, p *proxy, caller net.Conn, l net.Listener) net.Conn {
	t.Helper()
	for {
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		for until := time.Now().Add(deliveryWait); time.Now().Before(until); time.Sleep(time.Millisecond) {
			if from := p.sourceFor(caller.LocalAddr()); from != nil {
				if from.String() == server.RemoteAddr().String() {
					return server
				}
				break
			}
		}
		_ = server.Close()
	}
}

// sourceFor returns the address from which the proxy has connected to its server for a caller, or nil if it hasn't yet.
func (p *proxy) sourceFor(caller net.Addr) net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, server := range p.pairs {
		if c.RemoteAddr().String() == caller.String() {
			return server.LocalAddr()
		}
	}
	return nil
}

// Guards against tests that take the connection of another program, which dials a port that it used before, for the proxy's. Their new
// connection then delivered nothing (TestCutDataCentre in CI, twice).
func TestOpenIgnoresForeignConnections(t *testing.T) {
	t.Parallel()
	p, l := startProxy(t)
	foreign, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = foreign.Close() }()
	open(t, p, l)
}

// delivers reports whether what one end sends arrives at the other one. It waits longer if that is expected.
func delivers(from, to net.Conn, expected bool) bool {
	if _, err := from.Write([]byte("x")); err != nil {
		return false
	}
	return read(to, expected) == nil
}

func read(c net.Conn, expected bool) error {
	wait := silenceWait
	if expected {
		wait = deliveryWait
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(make([]byte, 1))
	return err
}

// startProxy starts a proxy before a listener.
func startProxy(t *testing.T) (*proxy, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.close()
		_ = l.Close()
	})
	return p, l
}

// Guards against a fault that doesn't act, acts on new connections as well, or tells an end that the connection is lost: by a reset
// of a fault that overlaps, or by the end of the other connection.
func TestSilencedConnections(t *testing.T) {
	for name, c := range map[string]struct {
		direction          direction
		toServer, toCaller bool // deliver
	}{
		"both directions": {bothWays, false, false},
		"to the server":   {toServer, false, true},
		"to the caller":   {toCaller, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, l := startProxy(t)
			old, ended := open(t, p, l), open(t, p, l)
			p.silence(c.direction, everyConnection)
			for range 2 {
				if got := delivers(old.caller, old.server, c.toServer); got != c.toServer {
					t.Errorf("delivers to the server: %t, want %t", got, c.toServer)
				}
				if got := delivers(old.server, old.caller, c.toCaller); got != c.toCaller {
					t.Errorf("delivers to the caller: %t, want %t", got, c.toCaller)
				}
			}
			open(t, p, l)
			_ = ended.caller.Close()
			if err := read(ended.server, c.toServer); c.toServer != errors.Is(err, io.EOF) {
				t.Errorf("the server's end: %v after the caller closed the connection", err)
			}
			if p.reset(); !c.toServer && !isTimeout(read(old.server, false)) || !c.toCaller && !isTimeout(read(old.caller, false)) {
				t.Error("a silent connection delivers a reset")
			}
		})
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Guards against a fault that silences other connections than those that it names.
func TestSilencedLinks(t *testing.T) {
	links := []string{"peer 0", "peer 1", "store 0", "store 1", "server 0", "server 1"}
	for f, want := range map[fault]map[string]direction{
		peerSilent:       {"peer 1": bothWays},
		peerSilentTo:     {"peer 1": toServer},
		peerSilentFrom:   {"peer 1": toCaller},
		storeLinkSilent:  {"store 1": bothWays},
		storeSilentTo:    {"store 1": toServer},
		storeSilentFrom:  {"store 1": toCaller},
		serverLinkSilent: {"server 1": bothWays},
		serverSilentTo:   {"server 1": toServer},
		serverSilentFrom: {"server 1": toCaller},
		serversSilent:    {"server 0": bothWays, "server 1": bothWays},
		allSilent: {
			"peer 0": bothWays, "peer 1": bothWays, "store 0": bothWays, "store 1": bothWays, "server 0": bothWays, "server 1": bothWays,
		},
	} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			c := &cell{}
			pairs := map[string]proxiedPair{}
			for _, name := range links {
				p, l := startProxy(t)
				pairs[name] = open(t, p, l)
				switch name[:2] {
				case "pe":
					c.peerProxies = append(c.peerProxies, p)
				case "st":
					c.storeProxies = append(c.storeProxies, p)
				default:
					c.slots = append(c.slots, &slot{proxy: p, up: true})
				}
			}
			c.daemons = make([]*process, 2)
			c.startFault(plannedFault{Fault: f, Target: 1})()
			for name, pair := range pairs {
				d, silent := want[name]
				toServerOpen, toCallerOpen := !silent || d == toCaller, !silent || d == toServer
				if got := delivers(pair.caller, pair.server, toServerOpen); got != toServerOpen {
					t.Errorf("%s delivers to the server: %t", name, got)
				}
				if got := delivers(pair.server, pair.caller, toCallerOpen); got != toCallerOpen {
					t.Errorf("%s delivers to the caller: %t", name, got)
				}
			}
		})
	}
}

// Guards against a fault of a share of the connections that silences all or none.
func TestMostConnectionsSilent(t *testing.T) {
	p, l := startProxy(t)
	idle, _ := startProxy(t)
	c := &cell{
		daemons: make([]*process, 1), storeProxies: []*proxy{p}, slots: []*slot{{proxy: idle}}, random: rand.New(rand.NewPCG(1, 5)),
	}
	pairs := make([]proxiedPair, 40)
	for i := range pairs {
		pairs[i] = open(t, p, l)
	}
	c.startFault(plannedFault{Fault: mostSilent})()
	silent := 0
	for _, pair := range pairs {
		if !delivers(pair.caller, pair.server, false) {
			silent++
		}
	}
	if silent < 20 || silent == len(pairs) {
		t.Errorf("%d of %d connections are silent", silent, len(pairs))
	}
}

// Guards against daemons that reach each other without the proxies, so that no fault of their connections acts.
func TestPeerAddressIsThatOfTheProxy(t *testing.T) {
	s := newTranslatingStore(txstore.New(time.Now), map[string]string{"127.1.1.1:20000": "127.0.0.1:4000"})
	if _, err := s.Transact(context.Background(), store.Transaction{Writes: []store.Write{
		{Key: "a", Value: []byte(`{"address":"127.1.1.1:20000","n":1}`)}, {Key: "b", Value: []byte(`{"address":"127.1.1.1:200001"}`)},
	}}); err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{
		"a": `{"address":"127.0.0.1:4000","n":1}`, "b": `{"address":"127.1.1.1:200001"}`,
	} {
		if got, err := s.Get(context.Background(), key); err != nil || string(got.Value) != want {
			t.Errorf("%s is %s, want %s, %v", key, got.Value, want, err)
		}
	}
}
