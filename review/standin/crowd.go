package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// crowdPause is the pause after which a caller connects again.
	crowdPause = 500 * time.Millisecond
	// crowdInterval is the interval of a caller's requests on its channel.
	crowdInterval = 10 * time.Second
)

// crowd keeps a number of callers connected to a daemon for some seconds, each on a channel of its own on which it sends a request now
// and then. A caller whose channel ends connects again, as callers do.
func crowd(front, count, seconds string) {
	n, _ := strconv.Atoi(count)
	duration, _ := strconv.Atoi(seconds)
	record("crowd: %d callers come to %s", n, front)
	leave := time.After(time.Duration(duration) * time.Second) // counted from the first caller
	var answered, lost atomic.Int64
	for i := range n {
		go func() {
			for {
				if err := keepChannel(front, &answered); err != nil {
					lost.Add(1)
				}
				time.Sleep(crowdPause)
			}
		}()
		if i%100 == 99 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	<-leave
	record("crowd: %d callers leave %s after %d responses, %d channels failed", n, front, answered.Load(), lost.Load())
}

// keepChannel opens a channel and sends requests on it until it ends.
func keepChannel(front string, answered *atomic.Int64) error {
	c, err := net.DialTimeout("tcp", front, callerTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request := "GET /price/ HTTP/1.1\r\nHost: " + callerHost + "\r\nAuthorization: Bearer " + callerKey + "\r\n\r\n"
		if _, err := fmt.Fprint(c, request); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		answered.Add(1)
		time.Sleep(crowdInterval)
	}
}
