package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against closing the connection of a caller whose small body the handler doesn't read, as with a body of a GET or DELETE: requests
// that the caller had sent behind it were cut.
func TestUnwantedSmallBodyKeepsTheConnection(t *testing.T) {
	address := serveHandler(t, newBudget(t, Config{BodyTimeout: time.Minute}), 4, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	const requests = 3
	for range requests {
		if _, err := io.WriteString(c, "DELETE /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
			t.Fatal(err)
		}
	}
	reader := bufio.NewReader(c)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d of %d: %v", i+1, requests, err)
		}
		_ = response.Body.Close()
		if response.Close {
			t.Errorf("response %d of %d closes the connection", i+1, requests)
		}
	}
}
