package ownership

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/worker"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// segmentHeaders is the size of the IP and TCP headers, with timestamps, of an idle poll: a request, a reply and a TCP
// acknowledgement of each.
const segmentHeaders = 4 * 52

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against an idle poll larger than BytesPerExchange, from which the renewal interval is computed.
func TestBytesPerExchange(t *testing.T) {
	w := worker.New(worker.Config{Host: "sfax-a-rack-12-host-07", Capacity: resource.Vector{
		CPU: resource.Cores(128), Memory: resource.Gigabytes(256), GPUs: 8, Slots: 8, Connections: 64,
	}})
	defer w.Close()
	s := httptest.NewServer(w.Handler())
	defer s.Close()
	var bytes atomic.Int64
	client := &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			return countingConn{conn, &bytes}, err
		},
	}}
	defer client.CloseIdleConnections()
	server := backend.NewHTTPAdapter(backend.HTTPConfig{Client: client, Address: s.Listener.Addr().String()})
	fence := backend.Fence{Epoch: 123456, Owner: "entry-sfax-a-3", AttachNumber: 98765}
	if _, err := server.Attach(t.Context(), fence, 120000); err != nil {
		t.Fatal(err)
	}
	before := bytes.Load()
	const exchanges = 10
	for range exchanges {
		request := backend.PollRequest{Fence: fence, Lease: 120000, After: 1234567}
		if _, err := server.Poll(t.Context(), request); err != nil {
			t.Fatal(err)
		}
	}
	each := int(bytes.Load()-before)/exchanges + segmentHeaders
	t.Logf("%d bytes per exchange, of which %d are estimated IP and TCP headers", each, segmentHeaders)
	if each > BytesPerExchange || each < BytesPerExchange*3/4 {
		t.Errorf("got %d bytes per exchange, want between 3/4 of BytesPerExchange and BytesPerExchange (%d)", each, BytesPerExchange)
	}
}

// Guards against renewals above the control traffic budget, and against leases longer than MaxRenewal allows.
func TestRenewalInterval(t *testing.T) {
	cases := map[string]struct {
		hosts int64
		want  time.Duration
	}{
		"below the shortest interval": {8, DefaultMinRenewal},
		// 6,300 hosts at 6 members, the size planned for two years from now
		"within the bounds":          {1050, 1050 * BytesPerExchange * time.Second / DefaultControlBytesPerSecond},
		"above the longest interval": {10000, DefaultMaxRenewal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{config: Config{
				MinRenewal: DefaultMinRenewal, MaxRenewal: DefaultMaxRenewal, ControlBytesPerSecond: DefaultControlBytesPerSecond,
			}}
			table.polledHosts.Store(c.hosts)
			if got := table.renewalInterval(); got != c.want {
				t.Errorf("%d hosts: interval %v, want %v", c.hosts, got, c.want)
			}
			table.maxHostCount.Store(c.hosts)
			if got := table.maxLease(); got < renewalsPerLease*c.want || got > renewalsPerLease*max(2*c.want, DefaultMinRenewal) {
				t.Errorf("%d hosts: longest lease %v for interval %v", c.hosts, got, c.want)
			}
		})
	}
}

// Guards against a table without its dependencies.
func TestNewChecksConfig(t *testing.T) {
	if _, err := New(Config{}); err == nil {
		t.Error("an empty configuration was accepted")
	}
}
