package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
)

// network cuts daemons off from the store and from servers. It recognises the daemon at the other end of a channel by the process
// that owns the socket.
type network struct {
	mu        sync.Mutex
	processes map[string]string          // pid by daemon
	cut       map[string]map[string]bool // daemons that don't reach a place, by place: "store" or the id of a server
}

var links = &network{processes: map[string]string{}, cut: map[string]map[string]bool{}}

type otherEndKey struct{}

// otherEnd is the other end of an accepted channel. Its daemon is looked up once it matters.
type otherEnd struct {
	conn net.Conn
	once sync.Once
	name string
}

// withCaller notes the other end of an accepted channel.
func (n *network) withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, otherEndKey{}, &otherEnd{conn: c})
}

// isCut reports whether the caller doesn't reach a place.
func (n *network) isCut(r *http.Request, place string) bool {
	n.mu.Lock()
	cut := n.cut[place]
	n.mu.Unlock()
	if len(cut) == 0 {
		return false
	}
	e, _ := r.Context().Value(otherEndKey{}).(*otherEnd)
	e.once.Do(func() { e.name = n.owner(e.conn) })
	return cut[e.name]
}

// isServerCut reports whether a server doesn't reach the store.
func (n *network) isServerCut(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut["store"][id]
}

// owner returns the name of the daemon whose socket is at the other end of a channel, or "".
func (n *network) owner(c net.Conn) string {
	local, remote := hexAddress(c.LocalAddr()), hexAddress(c.RemoteAddr())
	table, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(table), "\n") {
		f := strings.Fields(line)
		if len(f) < 10 || f[1] != remote || f[2] != local {
			continue
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		for name, pid := range n.processes {
			links, _ := os.ReadDir("/proc/" + pid + "/fd")
			for _, l := range links {
				if target, _ := os.Readlink("/proc/" + pid + "/fd/" + l.Name()); target == "socket:["+f[9]+"]" {
					return name
				}
			}
		}
	}
	return ""
}

func hexAddress(a net.Addr) string {
	t := a.(*net.TCPAddr)
	ip := t.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}

// controlNetwork notes the process of a daemon (daemon and pid), cuts daemons off (cut, a list, from a place) or heals all cuts.
func (w *world) controlNetwork(_ http.ResponseWriter, r *http.Request) {
	links.mu.Lock()
	defer links.mu.Unlock()
	switch {
	case r.FormValue("pid") != "":
		links.processes[r.FormValue("daemon")] = r.FormValue("pid")
	case r.FormValue("cut") != "":
		place := r.FormValue("from")
		cut := map[string]bool{} // not changed once it is in use
		for _, name := range strings.Split(r.FormValue("cut"), ",") {
			cut[name] = true
		}
		links.cut[place] = cut
		record("network: %s can't reach %s", r.FormValue("cut"), place)
	default:
		clear(links.cut)
		record("network: all cuts are healed")
	}
}
