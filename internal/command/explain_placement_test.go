package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/cell"
	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/runhost"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

func loopbackAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startCell runs daemons of a cell with two servers and a queue, and returns the addresses of their operator ports.
func startCell(t *testing.T, daemons ...ident.MemberID) []string {
	t.Helper()
	store := txstore.New(time.Now)
	store.Put("config", []byte("1"))
	fleet := runhost.New(func(sched.TaskID) time.Duration { return time.Minute }, func(sched.TaskID) resource.Vector { return resource.Vector{CPU: 1000} })
	for _, id := range []sched.ServerID{"s1", "s2"} {
		v := sched.Server{ID: id, Incarnation: 1, Address: string(id) + ":1", Service: "pool", Capacity: resource.Vector{CPU: resource.Cores(4), Memory: 1000}}
		fleet.Add(v)
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		store.Put("servers/"+string(id), raw)
	}
	var addresses []string
	for i, name := range daemons {
		d, err := cell.New(cell.Settings{
			Member: name, PeerAddress: loopbackAddress(t), OperatorAddress: loopbackAddress(t), Cores: 1 / float64(1+8*i), MemoryBytes: 1 << 30,
			MaxDirectServers: 100, PastUseHalfLife: time.Hour,
			Bounds: cell.Bounds{GracePeriod: 2 * time.Second, MaxRunLease: 10 * time.Second, MaxRevocationDelay: 5 * time.Second},
		}, cell.Adapter{
			Store: store, ConfigKey: "config", ServerClient: fleet.Client(),
			Registry: coordinator.Registry{Prefix: "servers/", Decode: func(_ string, value []byte) (v sched.Server, err error) {
				return v, json.Unmarshal(value, &v)
			}},
			DecodeConfig: func([]byte) (*policy.Policy, error) {
				return &policy.Policy{
					Version: 1, Teams: map[ident.TeamID]sched.Team{"blue": {ID: "blue", Weight: 2, Limit: resource.Vector{CPU: resource.Cores(6)}}},
					Routes: []policy.Route{{Host: "h", Prefix: "/", Queue: sched.Queue{ID: "quotes", Service: "pool", Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second}}},
				}, nil
			},
			CallerAddress: loopbackAddress(t), ReadinessAddress: loopbackAddress(t),
			NewCallerHandler:    func(*entry.Gateway, func() bool, *inbound.Budget) http.Handler { return http.NotFoundHandler() },
			NewReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
		}, logr.Discard())
		if err != nil {
			t.Fatal(err)
		}
		if err := d.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			_ = d.Stop(ctx)
		})
		addresses = append(addresses, "http://"+d.OperatorAddress())
	}
	return addresses
}

// explainPlacement runs the command and returns its exit code and output.
func explainPlacement(address string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Run(context.Background(), append([]string{"explain-placement", "--operator-address", address}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against answers that only the leader gives, or that lack what an operator needs, and against errors that don't say what is wrong.
func TestExplainPlacementCommand(t *testing.T) {
	addresses := startCell(t, "a", "b")
	question := []string{"--queue", "quotes", "--team", "blue", "--tasks", "3", "--cores", "1.5", "--memory-mb", "100"}
	for i, address := range addresses {
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(300 * time.Millisecond) {
			code, out, errOut := explainPlacement(address, question...)
			if code == ExitOK && strings.Contains(out, "2 free") {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("daemon %d: exit code %d, %s%s", i, code, out, errOut)
			}
		}
	}
	time.Sleep(time.Second) // the leader answers five queries a second
	_, text, _ := explainPlacement(addresses[1], question...)
	for _, want := range []string{
		"3 tasks of 1.5 cores, 100 MB", "quotes, service pool, priority 2", "blue: weight 2 jobs/s, 4.0 left now; limit 6 cores, nothing in use",
		"on time, slack", "0 steps with 0 tasks come first", "room for 3 of 3 tasks", "could take 2", "nothing (off)",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q isn't in\n%s", want, text)
		}
	}
	t.Logf("\n%s", text)
	_, text, _ = explainPlacement(addresses[1], append(question, "-o", "json")...)
	var e sched.PlacementExplanation
	if err := json.Unmarshal([]byte(text), &e); err != nil || e.Room != 3 || len(e.Candidates) != 2 || e.Team.ID != "blue" || e.NotPreempted != "off" {
		t.Errorf("%v, %s", err, text)
	}
	file := func(text string) string {
		name := filepath.Join(t.TempDir(), "job.json")
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"file":                       {[]string{"--file", file(`{"queue":"quotes","team":"blue","steps":[{"count":1,"demand":{"milli-cpu":5000}}]}`)}, ExitOK, "waits: no-room"},
		"file with an unknown field": {[]string{"--file", file(`{"queue":"quotes","size":1}`)}, ExitUsage, `unknown field "size"`},
		"file that isn't JSON":       {[]string{"--file", file("queue: quotes")}, ExitUsage, "read the job in"},
		"no such file":               {[]string{"--file", filepath.Join(t.TempDir(), "none")}, ExitUsage, "no such file"},
		"file without steps":         {[]string{"--file", file(`{"queue":"quotes","team":"blue"}`)}, ExitUsage, "a job has 1 to 64 steps, got 0"},
		"unknown queue":              {[]string{"--queue", "other", "--team", "blue"}, ExitUsage, `no such queue in the configuration: "other"`},
		"unknown team":               {[]string{"--queue", "quotes", "--team", "other"}, ExitUsage, `no such team in the configuration: "other"`},
		"unknown job":                {[]string{"--job", "none"}, ExitUsage, "the leader doesn't know the job"},
		"no question":                {nil, ExitUsage, "one of --job, --file and --queue is needed"},
		"two questions":              {[]string{"--job", "a", "--queue", "b"}, ExitUsage, "one of --job, --file and --queue is needed"},
		"negative cores":             {[]string{"--queue", "quotes", "--team", "blue", "--cores", "-1"}, ExitUsage, "milli-cpu must be a number"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			time.Sleep(250 * time.Millisecond)
			code, out, errOut := explainPlacement(addresses[1], c.args...)
			if code != c.code || !strings.Contains(out+errOut, c.want) {
				t.Errorf("exit code %d, want %d: %s%s", code, c.code, out, errOut)
			}
		})
	}
}

// Guards against an answer from a daemon without a leader, and against a question to nobody that looks like an answer.
func TestExplainPlacementWithoutLeader(t *testing.T) {
	for name, c := range map[string]struct {
		status     int
		body, want string
		code       int
	}{
		"no leader":        {http.StatusServiceUnavailable, `{"error":"explain a placement: no leader"}`, "no leader", ExitFailure},
		"too many queries": {http.StatusTooManyRequests, `{"error":"too many placement queries, try again in a second"}`, "try again", ExitFailure},
		"another daemon":   {http.StatusNotFound, "404 page not found", "is this a daemon on a platform that keeps all state?", ExitFailure},
		"no JSON":          {http.StatusOK, "ok", "decode the answer", ExitFailure},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			})}
			go func() { _ = server.Serve(l) }()
			defer server.Close()
			code, out, errOut := explainPlacement("http://"+l.Addr().String(), "--job", "a")
			if code != c.code || !strings.Contains(errOut, c.want) || out != "" {
				t.Errorf("exit code %d: %s%s", code, out, errOut)
			}
		})
	}
	code, _, errOut := explainPlacement("http://"+loopbackAddress(t), "--job", "a")
	if code != ExitUnknown || !strings.Contains(errOut, "call the operator port") {
		t.Errorf("nobody listens: exit code %d, %s", code, errOut)
	}
}

// Guards against a text that hides which tasks lose their runs, or why none does.
func TestPreemptedText(t *testing.T) {
	for name, c := range map[string]struct {
		e    sched.PlacementExplanation
		want string
	}{
		"none":  {sched.PlacementExplanation{NotPreempted: "too-costly"}, "nothing (too-costly)"},
		"tasks": {sched.PlacementExplanation{Preempted: []sched.TaskID{{Job: "a", Index: 2}, {Job: "b", Step: 1}}}, "a/0/0/2, b/0/1/0"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := preempted(&c.e); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
