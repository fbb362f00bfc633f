package failure

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/rosemaryspoke/rosemaryspoke/internal/daemon"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// regionLink dials the connections between daemons. While it is lost, connections between regions fail.
type regionLink struct {
	mu               sync.Mutex
	lost             bool
	regions          map[string]ident.Region // by peer address
	crossRegionConns []net.Conn              // connections between regions
}

func newRegionLink() *regionLink { return &regionLink{regions: map[string]ident.Region{}} }

func (l *regionLink) addAddress(address string, region ident.Region) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.regions[address] = region
}

// dialerFrom returns the dialer of a daemon at a site.
func (l *regionLink) dialerFrom(site demo.Site) daemon.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.regions[address] == site.Region {
			return conn, nil
		}
		if l.lost {
			_ = conn.Close()
			return nil, errors.New("the region link is lost")
		}
		l.crossRegionConns = append(l.crossRegionConns, conn)
		return conn, nil
	}
}

// setLost loses or restores the link; either closes the connections between regions.
func (l *regionLink) setLost(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = lost
	for _, c := range l.crossRegionConns {
		_ = c.Close()
	}
	l.crossRegionConns = nil
}
