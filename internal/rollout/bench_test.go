package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// changesByKind holds the kinds of change that operators make.
var changesByKind = map[string]func(b *bundle.Bundle, i int){
	"limit": func(b *bundle.Bundle, i int) { b.Teams[i%len(b.Teams)].Limit = 1000 + i },
	"key": func(b *bundle.Bundle, i int) {
		t := &b.Teams[i%len(b.Teams)]
		t.Keys = append(slices.Clone(t.Keys[1:]), bundle.Key{ID: fmt.Sprintf("new-%d", i), Hash: bundle.HashSecret(fmt.Sprint(i))})
	},
}

// BenchmarkDelta measures the size of a delta per configuration change at 110 teams, with one and with ten changes in a
// delta, and the cost of applying it.
func BenchmarkDelta(b *testing.B) {
	for _, keys := range []int{5, 300} {
		for _, kind := range []string{"limit", "key"} {
			for _, batch := range []int{1, 10} {
				b.Run(fmt.Sprintf("keys-%d/%s/batch-%d", keys, kind, batch), func(b *testing.B) {
					benchmarkDelta(b, testBundle(110, keys), changesByKind[kind], batch)
				})
			}
		}
	}
}

func benchmarkDelta(b *testing.B, config bundle.Bundle, change func(*bundle.Bundle, int), batch int) {
	c := newCluster(b, "a1", "a2")
	c.publish("a1", config)
	reply, err := c.daemons["a1"].HandlePull(context.Background(), wire.ConfigPullRequest{})
	if err != nil {
		b.Fatal(err)
	}
	if len(reply.Index) > 0 {
		err = c.daemons["a2"].applyReply("a1", reply)
	} else {
		_, err = c.daemons["a2"].readIndex(context.Background())
	}
	if err != nil {
		b.Fatal(err)
	}
	bytes, served, n := 0, 0, 0
	for b.Loop() {
		b.StopTimer()
		for range batch {
			config.Teams = slices.Clone(config.Teams)
			change(&config, n)
			n++
			c.publish("a1", config)
		}
		have := c.daemons["a2"].Current().Version()
		reply, err := c.daemons["a1"].HandlePull(context.Background(), wire.ConfigPullRequest{Version: have})
		if err != nil {
			b.Fatal(err)
		}
		encoded, err := json.Marshal(reply)
		if err != nil {
			b.Fatal(err)
		}
		bytes, served = bytes+len(encoded), served+1
		b.StartTimer()
		if err := c.daemons["a2"].applyReply("a1", reply); err != nil {
			b.Fatal(err)
		}
	}
	if got := c.daemons["a2"].Current().Version(); got != ident.Version(n+1) {
		b.Fatalf("version %d after %d changes", got, n)
	}
	b.ReportMetric(float64(bytes)/float64(n), "bytes/change")
	b.ReportMetric(float64(bytes)/float64(served), "bytes/delta")
}

// BenchmarkFresh measures Fresh, which runs on every request, with nine members.
func BenchmarkFresh(b *testing.B) {
	names := []ident.MemberID{"a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3", "b4"}
	c := newCluster(b, names...)
	c.publish("a1", testBundle(110, 5))
	c.runRounds(3)
	b.ReportAllocs()
	for b.Loop() {
		if !c.daemons["a5"].Fresh() {
			b.Fatal("not fresh")
		}
	}
}
