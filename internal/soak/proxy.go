package soak

import (
	"maps"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats its connections.
type mode int

const (
	modeForward       mode = iota
	modeDelay              // requests to the server are delayed by requestDelay
	modeBlockAll           // no bytes pass in either direction; connections stay open
	modeBlockReplies       // no bytes pass from the server; connections stay open
	modeBlockRequests      // no bytes pass to the server; connections stay open
	modeHold               // like modeBlockAll, but the bytes of connections that were open before arrive at the end
	modeReset              // open and new connections are closed
)

const (
	requestDelay = 300 * time.Millisecond
	// modePollInterval is the interval at which a blocked direction checks whether the mode has changed.
	modePollInterval = 20 * time.Millisecond
)

// proxy forwards TCP connections on loopback to a server and can delay, block or reset them.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    mode
	conns   map[net.Conn]bool
	pairs   map[net.Conn]net.Conn // open connections to servers by those of their callers
	silent  map[net.Conn]bool     // connections to whose remote side nothing is delivered any more
	orphans map[net.Conn]bool     // connections of callers to a server that lost power
	dark    bool                  // no server is up behind the orphans
	held    map[net.Conn]bool     // connections that were open when modeHold began
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener: l, target: target, conns: map[net.Conn]bool{}, orphans: map[net.Conn]bool{},
		pairs: map[net.Conn]net.Conn{}, silent: map[net.Conn]bool{},
	}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	clear(p.silent)
	p.mu.Unlock()
	p.reset()
}

// setMode changes the mode. The end of a block closes the connections, so the blocked bytes are lost, except those that modeHold
// holds back.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	previous := p.mode
	p.mode = m
	if m == modeHold {
		p.held = maps.Clone(p.conns)
	}
	kept := p.held
	if m != modeHold {
		p.held = nil
	}
	p.mu.Unlock()
	switch {
	case m == modeReset || previous == modeBlockAll || previous == modeBlockReplies || previous == modeBlockRequests:
		p.reset()
	case previous == modeHold:
		p.resetExcept(kept)
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes all connections with a TCP reset, except silent ones, to which it can't be delivered.
func (p *proxy) reset() { p.resetExcept(nil) }

// resetExcept is like reset for the connections that aren't in the set.
func (p *proxy) resetExcept(kept map[net.Conn]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if p.silent[c] || kept[c] {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		delete(p.conns, c)
	}
	clear(p.orphans)
}

// loseServer makes the connections silent, as the loss of power of the server does: callers get neither a reply nor a reset,
// until they send on such a connection after serverIsBack.
func (p *proxy) loseServer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = true
	for c := range p.conns {
		if c.RemoteAddr().String() == p.target {
			_ = c.Close() // ends the calls that the server handles
		} else {
			p.orphans[c] = true
		}
	}
}

// serverIsBack makes callers that use a connection to the lost server get a reset.
func (p *proxy) serverIsBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = false
}

// orphaned returns whether a connection leads to a lost server, and whether none has taken its place.
func (p *proxy) orphaned(c net.Conn) (orphan, dark bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orphans[c], p.dark
}

func (p *proxy) track(caller, server net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[caller], p.conns[server], p.pairs[caller] = true, true, server
}

func (p *proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.orphans, c)
	delete(p.pairs, c)
	_ = c.Close()
}

// serve accepts connections and forwards them until the listener is closed.
func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			_ = c.Close()
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.track(c, server)
		go p.pipe(server, c, false)
		go p.pipe(c, server, true)
	}
}

// pipe forwards bytes in one direction until a connection ends, as the mode allows.
func (p *proxy) pipe(to, from net.Conn, fromServer bool) {
	ended := false // the remote side of from closed it
	defer func() {
		if orphan, _ := p.orphaned(to); !orphan && !p.isSilent(to) {
			p.closeConn(to)
		}
		if ended || !p.isSilent(from) {
			p.closeConn(from)
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		ended = err != nil
		for blocked := p.blocked(fromServer); blocked; blocked = p.blocked(fromServer) {
			time.Sleep(modePollInterval)
		}
		orphan, dark := p.orphaned(from)
		for ; orphan && dark && err == nil; orphan, dark = p.orphaned(from) {
			time.Sleep(modePollInterval)
		}
		if orphan {
			return
		}
		if p.currentMode() == modeDelay && !fromServer {
			time.Sleep(requestDelay)
		}
		if n > 0 && !p.isSilent(to) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// blocked reports whether the mode blocks a direction.
func (p *proxy) blocked(fromServer bool) bool {
	m := p.currentMode()
	return m == modeBlockAll || m == modeHold || m == modeBlockReplies && fromServer || m == modeBlockRequests && !fromServer
}
