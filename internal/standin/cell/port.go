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
	firstPort = 20000
	ports     = 10000
	portTries = 100
	// blockPorts is the part of the range that a process tries first, so that test processes which run side by side
	// don't take a port between another one's probe and its listener.
	blockPorts = 200
)

var (
	givenMu sync.Mutex
	given   = map[int]bool{}
)

// FreeAddress returns a loopback address whose port is free and isn't returned again by this process.
func FreeAddress() (string, error) {
	givenMu.Lock()
	defer givenMu.Unlock()
	block := os.Getpid() * blockPorts % ports
	for i := range portTries {
		port := firstPort + block + rand.IntN(blockPorts)
		if i >= portTries/2 {
			port = firstPort + rand.IntN(ports)
		}
		if given[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		given[port] = true
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("close the probe of %s: %w", address, err)
		}
		return address, nil
	}
	return "", errors.New("no free port found on loopback")
}
