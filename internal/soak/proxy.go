package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with the bytes of its connections.
type mode int

const (
	modeForward      mode = iota
	modeDelay             // bytes to the server are held up for a while
	modeBlockAll          // nothing passes either way, connections stay open
	modeBlockReplies      // what the server answers doesn't pass
	modeReset             // connections are reset
)

const (
	requestDelay = 300 * time.Millisecond
	// proxyPoll is the interval at which held-up bytes look whether the mode has changed.
	modePollInterval = 20 * time.Millisecond
)

// proxy is a loopback way to a server on which connections can be disturbed.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// set changes what happens to bytes from now on. Bytes held up by a silence are lost when it ends.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	previous := p.mode
	p.mode = m
	p.mu.Unlock()
	if m == modeReset || previous == modeBlockAll || previous == modeBlockReplies {
		p.reset()
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes all connections without the usual end.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

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
		p.track(c)
		p.track(server)
		go p.pipe(server, c, false)
		go p.pipe(c, server, true)
	}
}

// pipe moves bytes one way until the connection ends.
func (p *proxy) pipe(to, from net.Conn, fromServer bool) {
	defer p.closeConn(to)
	defer p.closeConn(from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for blocked := p.blocked(fromServer); blocked; blocked = p.blocked(fromServer) {
			time.Sleep(modePollInterval)
		}
		if p.currentMode() == modeDelay && !fromServer {
			time.Sleep(requestDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				p.closeConn(to)
			}
			return
		}
	}
}

// holds reports whether bytes of a direction don't pass now.
func (p *proxy) blocked(fromServer bool) bool {
	m := p.currentMode()
	return m == modeBlockAll || m == modeBlockReplies && fromServer
}
