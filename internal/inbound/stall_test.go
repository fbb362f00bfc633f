package inbound

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against callers that never read their responses and so keep all connections of a listener for good.
func TestUnreadResponsesGiveWay(t *testing.T) {
	const most = 4
	response := strings.Repeat("x", 16<<10)
	address := serveHandler(t, newBudget(t, Config{}), most, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, response)
	})
	requests := strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1000)
	for range most {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = c.(*net.TCPConn).SetReadBuffer(4<<10), c.(*net.TCPConn).SetWriteBuffer(32<<10)
		for { // until the server reads no more, as its responses aren't read
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if _, err := io.WriteString(c, requests); err != nil {
				break
			}
		}
	}
	if answer := request(address); !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) {
		t.Errorf("got %q beside callers that don't read their responses", answer)
	}
}
