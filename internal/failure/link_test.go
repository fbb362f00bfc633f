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

// link carries the connections between daemons and can be lost between regions.
type link struct {
	mu      sync.Mutex
	lost    bool
	regions map[string]ident.Region // by peer address
	crosses []net.Conn              // connections between regions
}

func newLink() *link { return &link{regions: map[string]ident.Region{}} }

func (l *link) know(address string, region ident.Region) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.regions[address] = region
}

// from returns the dialer of a daemon at a site.
func (l *link) from(site demo.Site) daemon.DialFunc {
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
		l.crosses = append(l.crosses, conn)
		return conn, nil
	}
}

// set loses or restores the link.
func (l *link) set(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = lost
	for _, c := range l.crosses {
		_ = c.Close()
	}
	l.crosses = nil
}
