package soak

import (
	"fmt"
	"net"
	"strconv"
)

const (
	firstPort = 20000 // below the ephemeral range
	// Each seed has one of four ranges of ports in the block of a process, and a network of its own among 40,000.
	portBlocks        = 300
	portsPerBlock     = 40
	portsPerSeed      = 10
	networksPerPart   = 200
	reservationNumber = 254 // last part of the IP address that is bound as long as a block is in use
)

// addressBlock is a range of ports on the loopback addresses of a seed. The daemons of a cell differ in their IP address; the
// ports separate processes that play the same seed.
type addressBlock struct {
	network     string // first three parts of the IP addresses
	port        int
	reservation net.Listener
}

// reserveAddresses returns addresses that no other soak on this host uses. The process id selects the block that is tried first.
func reserveAddresses(processID int, seed uint64) (*addressBlock, error) {
	a := &addressBlock{network: fmt.Sprintf("127.%d.%d.", 1+seed%networksPerPart, 1+seed/networksPerPart%networksPerPart)}
	var err error
	for n := range portBlocks {
		a.port = firstPort + (processID+n)%portBlocks*portsPerBlock + int(seed%(portsPerBlock/portsPerSeed))*portsPerSeed
		if a.reservation, err = net.Listen("tcp", net.JoinHostPort(a.network+strconv.Itoa(reservationNumber), strconv.Itoa(a.port))); err == nil {
			return a, nil
		}
	}
	return nil, fmt.Errorf("reserve the addresses of seed %d: %w", seed, err)
}

// ip returns the IP address of a daemon.
func (a *addressBlock) ip(daemon int) string { return a.network + strconv.Itoa(1+daemon) }

func (a *addressBlock) release() error { return a.reservation.Close() }
