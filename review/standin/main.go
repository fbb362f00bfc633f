// Command standin holds the outside world of the review's scripts: the platform's store, backend servers and the operator in one
// process, and a caller. Everything that they see is appended to the file named by RECORD, one line each, with a Unix time in
// milliseconds.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

var recordLock sync.Mutex

// record appends a line to the record.
func record(format string, values ...any) {
	recordLock.Lock()
	defer recordLock.Unlock()
	f, err := os.OpenFile(os.Getenv("RECORD"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		fatal("open the record: %v", err)
	}
	defer func() { _ = f.Close() }()
	_, _ = fmt.Fprintf(f, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, values...))
}

func fatal(format string, values ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", values...)
	os.Exit(2)
}

const usage = `standin ports N                                  print N free loopback ports, the ports after which are free too
standin platform STORE_ADDRESS CONTROL_ADDRESS   run the store and the backend servers
standin control CONTROL_ADDRESS PATH             change the world, see control.go
standin call METHOD FRONT_ADDRESS PATH [BODY]    make one call as a caller
standin crowd FRONT_ADDRESS N SECONDS            keep N callers connected
standin submit FRONT_ADDRESS PATH BODY           submit a job, repeated until it is accepted`

func main() {
	args := os.Args[1:]
	switch {
	case len(args) == 2 && args[0] == "ports":
		printFreePorts(args[1])
	case len(args) == 3 && args[0] == "platform":
		runPlatform(args[1], args[2])
	case len(args) == 3 && args[0] == "control":
		status, body, err := send(http.MethodPost, args[1], args[2], "", 10*time.Second)
		if err != nil || status != http.StatusOK {
			fatal("control %s: status %d %s %v", args[2], status, body, err)
		}
		fmt.Print(body)
	case len(args) >= 4 && args[0] == "call":
		callOnce(args[1], args[2], args[3], strings.Join(args[4:], ""))
	case len(args) == 4 && args[0] == "crowd":
		crowd(args[1], args[2], args[3])
	case len(args) == 4 && args[0] == "submit":
		submit(args[1], args[2], args[3])
	default:
		fatal("%s", usage)
	}
}

// Ports below those that the kernel gives to outgoing channels, so that a daemon that starts again finds its own free.
const (
	firstPort = 12000
	lastPort  = 31000
)

// printFreePorts prints ports that were free a moment ago, each with the port after it.
func printFreePorts(count string) {
	n := 0
	_, _ = fmt.Sscan(count, &n)
	for found := 0; found < n; {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		next, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		if err != nil {
			continue
		}
		defer func() { _ = next.Close() }()
		fmt.Println(port)
		found++
	}
}

// callerTimeout is how long a caller waits for a response, the time limit of the users' kinds of request.
const callerTimeout = 3 * time.Second

// send makes one HTTP call as a caller of the configured tenant.
func send(method, address, path, body string, timeout time.Duration) (int, string, error) {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = callerHost
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: timeout}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// callOnce makes a call, records and prints its result.
func callOnce(method, front, path, body string) {
	status, reply, err := send(method, front, path, body, callerTimeout)
	if err != nil {
		reply = "no response"
	}
	record("caller %s %s -> %d %s", method, path, status, reply)
	fmt.Println(status, reply)
}

// submit submits a job and repeats the request, as a caller does after a refusal or without a response.
func submit(front, path, body string) {
	for range 40 {
		status, reply, err := send(http.MethodPost, front, path, body, callerTimeout)
		if err != nil {
			reply = "no response"
		}
		record("caller POST %s -> %d %s", path, status, reply)
		if err == nil && status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	fatal("%s was not accepted", path)
}
