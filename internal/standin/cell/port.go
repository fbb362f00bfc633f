package cell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

const (
	// firstPort and ports lie below the range from which systems take the ports of outgoing connections, so that a
	// port that is free now isn't taken by a connection before the daemon listens on it.
	firstPort    = 20000
	portCount    = 10000
	portAttempts = 100
	// blockPorts is the part of the range that a process tries first, so that test processes which run side by side
	// don't take a port between another one's probe and its listener.
	portsPerProcess = 200
)

var (
	usedPortsMu sync.Mutex
	usedPorts   = map[int]bool{}
)

// FreeAddress returns a loopback address whose port is free and isn't returned again by this process.
func FreeAddress() (string, error) {
	usedPortsMu.Lock()
	defer usedPortsMu.Unlock()
	processOffset := os.Getpid() * portsPerProcess % portCount
	for i := range portAttempts {
		port := firstPort + processOffset + rand.IntN(portsPerProcess)
		if i >= portAttempts/2 {
			port = firstPort + rand.IntN(portCount)
		}
		if usedPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		usedPorts[port] = true
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("close the probe of %s: %w", address, err)
		}
		return address, nil
	}
	return "", errors.New("no free port found on loopback")
}
