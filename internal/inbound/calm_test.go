package inbound_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against refusing a caller that sends slowly, in very small pieces, while nothing else happens: the time for its answer began with
// its header, so that a body which took longer than its deadline was refused.
func TestSlowCallerIsServed(t *testing.T) {
	c := newCell(t, 1)
	const job = `{"spec":"x","steps":[{"count":1,"cpu":100}]}`
	pieces := func(body string, size int, format func(string) string) (all []string) {
		for len(body) > 0 {
			n := min(size, len(body))
			all = append(all, format(body[:n]))
			body = body[n:]
		}
		return all
	}
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	same := func(s string) string { return s }
	for name, x := range map[string]struct {
		more   string
		pieces []string
	}{
		"chunks of one byte": {"Transfer-Encoding: chunked\r\n\r\n", append(pieces(job, 1, chunk), "0\r\n\r\n")},
		"single bytes":       {fmt.Sprintf("Content-Length: %d\r\n\r\n", len(job)), pieces(job, 1, same)},
		"largest body":       {fmt.Sprintf("Content-Length: %d\r\n\r\n", 262_144), pieces(job+strings.Repeat(" ", 262_144-len(job)), 6_000, same)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", c.daemons[0].settings.CallerAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			pause := 3500 * time.Millisecond / time.Duration(len(x.pieces))
			for _, p := range append([]string{head(x.more)}, x.pieces...) {
				if _, err := io.WriteString(conn, p); err != nil {
					t.Fatal(err)
				}
				time.Sleep(pause)
			}
			_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				text, _ := io.ReadAll(response.Body)
				t.Errorf("status %d: %s", response.StatusCode, text)
			}
		})
	}
}
