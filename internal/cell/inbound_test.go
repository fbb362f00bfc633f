package cell

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
)

// Guards against bounds that the smallest and the largest hosts of the installations don't have room for, or that refuse ordinary callers.
func TestInboundBoundsFitTheHost(t *testing.T) {
	const leaderState = 70 << 20 // of a leader of 350 servers, with the program
	const largestBody = 262_144
	for name, s := range map[string]Settings{
		"smallest":                {MemoryBytes: 184 << 20, MaxDescriptors: 4100},
		"largest":                 {MemoryBytes: 536 << 20, MaxDescriptors: 8192},
		"no limit of files named": {MemoryBytes: 284 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			c := s.inboundConfig()
			if held := float64(c.Memory + leaderState); held > gcMemoryFraction*float64(s.MemoryBytes) {
				t.Errorf("%d MB are held, more than the garbage collector's limit", int(held)>>20)
			}
			if n := c.MaxConnections(); n < 256 || n*inbound.ConnectionBytes > int(c.Memory)/2 || 3*n > max(s.MaxDescriptors, defaultDescriptors) {
				t.Errorf("%d connections", n)
			}
			if c.Memory/8 < 4*largestBody {
				t.Errorf("%d bytes have no room for four of the largest bodies", c.Memory)
			}
		})
	}
}
