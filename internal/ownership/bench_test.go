package ownership

import (
	"context"
	"fmt"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// unresponsiveServer is a backend server whose Attach never returns before its context ends.
type unresponsiveServer struct{ backend.Server }

// Attach implements backend.Server.
func (unresponsiveServer) Attach(ctx context.Context, _ backend.Fence, _ backend.Millis) (backend.Inventory, error) {
	<-ctx.Done()
	return backend.Inventory{}, backend.ErrUnreachable
}

// BenchmarkHostList measures setHosts with an unchanged host list, which runs every second, and a reconciliation. It uses
// the size planned for two years from now: 6,300 hosts and 6 members.
func BenchmarkHostList(b *testing.B) {
	view := member.View{Epoch: 1}
	for i := range 6 {
		view.Members = append(view.Members, member.Member{ID: ident.MemberID(fmt.Sprintf("m%d", i)), State: member.Active})
	}
	hosts := make([]platform.Host, 6300)
	for i := range hosts {
		id := fmt.Sprintf("host-%d", i)
		hosts[i] = platform.Host{ID: ident.HostID(id), Address: id, Region: "r", DataCentre: "d", State: platform.HostLive}
	}
	table, err := New(Config{
		Self: func() member.Member { return view.Members[0] }, View: func() member.View { return view },
		Refresh: func(context.Context) error { return nil }, StoreHealthy: func() bool { return true },
		Hosts: func(context.Context) ([]platform.Host, error) { return hosts, nil },
		Dial:  func(platform.Host) backend.Server { return unresponsiveServer{} },
		Probe: func(context.Context, ident.MemberID) error { return nil },
		Events: Events{
			Attached: func(platform.Host, backend.Inventory) {}, Updated: func(ident.HostID, backend.PollReply) {},
			Finished: func(ident.HostID, backend.Result) {}, Detached: func(ident.HostID, DetachReason) {},
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	table.setHosts(hosts)
	table.reconcile(ctx)
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			table.setHosts(hosts)
		}
	})
	b.Run("reconcile", func(b *testing.B) {
		for b.Loop() {
			table.reconcile(ctx)
		}
	})
	cancel()
	table.loops.Wait()
}
