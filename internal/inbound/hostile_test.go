package inbound_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	bodyBytes = 262_000 // within maxBodyBytes of the installations, 262,144
	// holdTime is how long a connection stays open after it has sent what it sends.
	holdTime = 3 * time.Second
	// writeTimeout ends a connection that the daemon doesn't read.
	writeTimeout = 2 * time.Second
)

// hostile sends what one connection of a crowd sends. An error means that the daemon has closed the connection, which is allowed.
type hostile func(c net.Conn) error

func write(c net.Conn, b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(b)
	return err
}

func head(more string) string {
	return fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s", queuePrefix, jobCount.Add(1), queueHost, callerKey, more)
}

// longHeader sends the lines of a header of the given size without its last line.
func longHeader(size int) hostile {
	line := "X-Filler: " + strings.Repeat("x", 4000) + "\r\n"
	return func(c net.Conn) error { return write(c, []byte(head(strings.Repeat(line, size/len(line))))) }
}

// manyFields sends a header of short fields with different names, within the limit of 16,384 bytes and without its last line.
func manyFields(c net.Conn) error {
	var b strings.Builder
	for i := 0; b.Len() < 15_500; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return write(c, []byte(head(b.String())))
}

// endlessHeader sends 16 KB of header lines every 50 ms.
func endlessHeader(c net.Conn) error {
	line := "X-Filler: " + strings.Repeat("x", 4000) + "\r\n"
	err := write(c, []byte(head("")))
	for began := time.Now(); err == nil && time.Since(began) < holdTime; time.Sleep(50 * time.Millisecond) {
		err = write(c, []byte(strings.Repeat(line, 4)))
	}
	return err
}

func emptyLines(c net.Conn) error {
	lines := bytes.Repeat([]byte("\r\n"), 2000)
	var err error
	for began := time.Now(); err == nil && time.Since(began) < holdTime; time.Sleep(10 * time.Millisecond) {
		err = write(c, lines)
	}
	return err
}

// filledBody returns a valid job that a long field makes as large as bodies may be.
func filledBody() []byte {
	const start, end = `{"spec":"x","steps":[{"count":1,"cpu":100}],"filler":"`, `"}`
	return []byte(start + strings.Repeat("x", bodyBytes-len(start)-len(end)) + end)
}

// manySteps returns a job with as many steps as its bytes allow, which is refused once it is decoded.
func manySteps() []byte {
	const start, end = `{"spec":"x","steps":[{}`, `]}`
	return []byte(start + strings.Repeat(",{}", (bodyBytes-len(start)-len(end))/3) + end)
}

// manyNumbers returns a job with one step that names a step 131,000 times.
func manyNumbers() []byte {
	const start, end = `{"spec":"x","steps":[{"count":1},{"count":1,"after":[0`, `]}]}`
	return []byte(start + strings.Repeat(",0", (bodyBytes-len(start)-len(end))/2) + end)
}

// completeBodies sends complete requests one after the other and doesn't wait for answers.
func completeBodies(body []byte) hostile {
	return func(c net.Conn) error {
		go func() { // answers are read, so that the daemon isn't held up by them
			buffer := make([]byte, 4096)
			for {
				if _, err := c.Read(buffer); err != nil {
					return
				}
			}
		}()
		var err error
		for began := time.Now(); err == nil && time.Since(began) < holdTime; {
			err = write(c, append([]byte(head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))), body...))
		}
		return err
	}
}

// shortBody sends a body in pieces and leaves out its last byte.
func shortBody(piece int) hostile {
	return func(c net.Conn) error {
		err := write(c, []byte(head(fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes))))
		body := filledBody()[:bodyBytes-1]
		for len(body) > 0 && err == nil {
			n := min(piece, len(body))
			err = write(c, body[:n])
			body = body[n:]
		}
		return err
	}
}

// shortChunks sends a chunked body without its last chunk.
func shortChunks(chunk int) hostile {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	all := []byte(strings.Repeat(one, bodyBytes/chunk))
	return func(c net.Conn) error {
		err := write(c, []byte(head("Transfer-Encoding: chunked\r\n\r\n")))
		for rest := all; len(rest) > 0 && err == nil; {
			n := min(64<<10, len(rest))
			err = write(c, rest[:n])
			rest = rest[n:]
		}
		return err
	}
}

// crowd opens the connections, one every half millisecond, and keeps them open for holdTime after they have sent all. It returns when
// the last one has sent all and a function that waits for their end.
func crowd(address string, connections int, kinds ...hostile) (wait func()) {
	var sent, ended sync.WaitGroup
	for i := range connections {
		c, err := net.DialTimeout("tcp", address, writeTimeout)
		if err != nil {
			continue
		}
		sent.Add(1)
		ended.Go(func() {
			defer c.Close()
			err := kinds[i%len(kinds)](c)
			sent.Done()
			if err == nil {
				time.Sleep(holdTime)
			}
		})
		time.Sleep(500 * time.Microsecond)
	}
	sent.Wait()
	return ended.Wait
}

// Guards against callers that make a daemon hold more memory or descriptors than its host has, or keep it from answering others: on a
// host of 284 MB, 1,500 such connections ended a daemon within 0.4 to 3 s. The crowds and the bounds were fixed before the bounds of the
// product existed.
func TestHostileConnections(t *testing.T) {
	for name, x := range map[string]struct {
		connections int
		kinds       []hostile
	}{
		"headers over the limit":               {200, []hostile{longHeader(900_000)}},
		"headers of many fields":               {400, []hostile{manyFields}},
		"headers without end":                  {200, []hostile{endlessHeader}},
		"empty lines without end":              {100, []hostile{emptyLines}},
		"complete bodies":                      {400, []hostile{completeBodies(filledBody())}},
		"complete bodies of many steps":        {50, []hostile{completeBodies(manySteps())}},
		"complete bodies of many numbers":      {100, []hostile{completeBodies(manyNumbers())}},
		"bodies that stop short, at once":      {400, []hostile{shortBody(bodyBytes)}},
		"bodies that stop short, in pieces":    {400, []hostile{shortBody(4000)}},
		"large chunks that stop short":         {400, []hostile{shortChunks(65_000)}},
		"chunks of one byte that stop short":   {300, []hostile{shortChunks(1)}},
		"many connections that send nothing":   {900, []hostile{func(net.Conn) error { return nil }}},
		"many connections of different kinds":  {900, []hostile{longHeader(900_000), shortBody(4000), shortChunks(65_000), endlessHeader}},
		"many short headers that stay at once": {900, []hostile{func(c net.Conn) error { return write(c, []byte(head(""))) }}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 1)
			wait := crowd(c.daemons[0].settings.CallerAddress(), x.connections, x.kinds...)
			c.check(c.daemons[0])
			wait()
			c.check(c.daemons[0])
		})
	}
}

// Guards against a daemon that such callers end or hold up while it takes over, when it reads the jobs of the former leader besides.
func TestHostileConnectionsDuringTakeover(t *testing.T) {
	c := newCell(t, 2)
	var waits []func()
	for _, d := range c.daemons {
		waits = append(waits, crowd(d.settings.CallerAddress(), 200, shortBody(4000), shortChunks(65_000)))
	}
	leader, next := c.daemons[0], c.daemons[1]
	if !strings.Contains(leader.log.String(), "took over") {
		leader, next = next, leader
	}
	leader.kill()
	more := crowd(next.settings.CallerAddress(), 200, shortBody(4000), longHeader(900_000))
	c.check(next)
	for _, wait := range append(waits, more) {
		wait()
	}
	c.check(next)
	for deadline := time.Now().Add(answerTimeout); !strings.Contains(next.log.String(), `"took over"`); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s hasn't taken over", next.settings.Member)
		}
	}
}
