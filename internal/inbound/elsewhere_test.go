package inbound_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

// internalAddress returns the address of the n-th internal port: peers, operators.
func (d *daemon) internalAddress(n int) string {
	return net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.FirstInternalPort+n))
}

// shortFrame sends a message of a peer of 4 MB without its last bytes.
func shortFrame(c net.Conn) error {
	err := write(c, []byte{0x80, 0x80, 0x80, 0x02}) // the length 4 << 20 as a varint
	filler := bytes.Repeat([]byte(" "), 64<<10)
	for n := 0; n < 63 && err == nil; n++ {
		err = write(c, filler)
	}
	return err
}

// Guards against the same fault at the listeners that aren't for callers.
func TestHostileConnectionsAtOtherListeners(t *testing.T) {
	for name, x := range map[string]struct {
		port        int
		connections int
		kinds       []hostile
	}{
		"peers":                    {0, 60, []hostile{shortFrame}},
		"operators":                {1, 200, []hostile{longHeader(900_000), shortBody(4000)}},
		"operators, many requests": {1, 400, []hostile{func(c net.Conn) error { return write(c, []byte(head(""))) }}},
		"readiness":                {9, 400, []hostile{longHeader(900_000), shortBody(4000)}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 1)
			wait := crowd(c.daemons[0].internalAddress(x.port), x.connections, x.kinds...)
			c.check(c.daemons[0])
			wait()
			c.check(c.daemons[0])
		})
	}
}

// endlessReply answers each call with a reply without end.
func endlessReply(header bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		hijacker, ok := w.(http.Hijacker)
		if !ok {
			return
		}
		c, _, err := hijacker.Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		line := []byte("X-Filler: " + strings.Repeat("x", 4000) + "\r\n")
		err = write(c, []byte("HTTP/1.1 200 OK\r\n"))
		if !header {
			line = bytes.Repeat([]byte(" "), 4000)
			err = write(c, []byte("Content-Type: application/json\r\n\r\n"))
		}
		for began := time.Now(); err == nil && time.Since(began) < holdTime; {
			err = write(c, line)
		}
	})
}

// Guards against servers whose replies end a daemon that calls them: 350 servers with several calls each may reply at once.
func TestRepliesWithoutEnd(t *testing.T) {
	for name, header := range map[string]bool{"header": true, "body": false} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 1)
			for i := range 30 {
				raw, err := standin.EncodeRegistration(sched.Server{
					ID: sched.ServerID(fmt.Sprintf("h%d", i)), Service: "pool", DataCentre: "z1", Labels: []string{"cpu", "rack-1"},
					Capacity: resource.Vector{CPU: resource.Cores(8), Memory: 1 << 14}, Incarnation: 1, Address: listen(t, endlessReply(header)),
				})
				if err != nil {
					t.Fatal(err)
				}
				c.records.Put(fmt.Sprintf("servers/h%d", i), raw)
			}
			time.Sleep(holdTime)
			c.check(c.daemons[0])
		})
	}
}
