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
	// The ports from firstPort on lie below the ephemeral range, so that an outgoing connection doesn't take a free port
	// before the daemon listens on it.
	firstPort    = 20000
	portCount    = 10000
	portAttempts = 100
	// portsPerProcess is the size of the part of the range that a process tries first. Each process has its own part, so
	// that a test process doesn't take a port between the probe of another one and its listener.
	portsPerProcess = 200
)

var (
	usedPortsMu sync.Mutex
	usedPorts   = map[int]bool{} // ports that FreeAddress has returned
)

// FreeAddress returns a loopback address with a free port. Each address is returned once per process.
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
