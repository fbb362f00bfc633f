package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// runMainEnv makes the test binary run the command line, so that the test needs no build of its own.
const runMainEnv = "TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const token = "process-test-token"

type process struct {
	*exec.Cmd
	stderr bytes.Buffer
}

func newCommand(ctx context.Context, args ...string) *process {
	p := &process{Cmd: exec.CommandContext(ctx, os.Args[0], args...)}
	p.Env = append(os.Environ(), runMainEnv+"=1", "ROSEMARYSPOKE_OPERATOR_TOKEN="+token, "ROSEMARYSPOKE_TOKEN="+token)
	p.Stderr = &p.stderr
	return p
}

// runCommand executes a client command and returns its standard output and exit code.
func runCommand(ctx context.Context, args ...string) (string, int) {
	p := newCommand(ctx, args...)
	var out bytes.Buffer
	p.Stdout = &out
	_ = p.Run()
	return out.String() + p.stderr.String(), p.ProcessState.ExitCode()
}

func freePorts(t *testing.T, n int) []string {
	t.Helper()
	addresses := make([]string, n)
	for i := range addresses {
		address, err := cell.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = address
	}
	return addresses
}

func startStandins(ctx context.Context, t *testing.T) (*process, string) {
	t.Helper()
	p := newCommand(ctx, "standin")
	out, err := p.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return p, strings.TrimPrefix(strings.TrimSpace(line), "store-url ")
}

// startDaemon starts a daemon with its caller, operator and peer address.
func startDaemon(ctx context.Context, t *testing.T, site demo.Site, store, public string, addresses []string, extraArgs ...string) *process {
	t.Helper()
	d := newCommand(ctx, append([]string{
		"serve", "--member", string(site.Member), "--region", string(site.Region),
		"--data-centre", string(site.DataCentre), "--store-url", store, "--signers", public,
		"--caller-listen", addresses[0], "--operator-listen", addresses[1], "--peer-listen", addresses[2],
		"--lease-ttl", "3s", "--member-interval", "200ms",
	}, extraArgs...)...)
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	return d
}

// TestProcesses guards against a path that only works inside one process: daemons, stand-ins and the command line run
// as processes of their own, a daemon is ended by SIGTERM while it holds a request, and every exit code is checked.
func TestProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	standins, store := startStandins(ctx, t)
	seed, public := operatorKey(ctx, t)
	ports := freePorts(t, 6)
	var daemons []*process
	for i, site := range demo.Sites()[:2] {
		daemons = append(daemons, startDaemon(ctx, t, site, store, public, ports[3*i:]))
	}
	secret := publish(ctx, t, seed, ports)["quoting"]
	waitReady(ctx, t, ports[1], ports[4])

	out, code := runCommand(ctx, "key", "grant", "floor-plan", "second", "--signing-key", seed, "--operator-address", "http://"+ports[1])
	if code != 0 || !strings.Contains(out, "secret: ") {
		t.Errorf("key grant: exit code %d: %s", code, out)
	}
	// A grant that loses the other keys would end every team's work.
	if out, _ := runCommand(ctx, "key", "list", "--operator-address", "http://"+ports[1]); strings.Count(out, "first") != 2 || !strings.Contains(out, "second") {
		t.Errorf("keys after the grant: %s", out)
	}
	request := []string{
		"request", "--team", "quoting", "--queue", "quotes", "--request-id", "r-1", "--non-idempotent",
		"--payload", "rack", "--run-time", "300ms", "--key", secret, "-o", "json", "--address",
	}
	heldAnswer := make(chan string, 1)
	go func() {
		out, code := runCommand(ctx, append(request, "http://"+ports[0])...)
		heldAnswer <- fmt.Sprint(code, out)
	}()
	time.Sleep(100 * time.Millisecond)
	if err := daemons[0].Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := <-heldAnswer; !strings.HasPrefix(got, "0") || !strings.Contains(got, `"answered"`) {
		t.Errorf("request held during SIGTERM: %s", got)
	}
	if err := daemons[0].Wait(); err != nil {
		t.Errorf("drained daemon: %v\n%s", err, daemons[0].stderr.String())
	}
	if out, code := runCommand(ctx, append(request, "http://"+ports[3])...); code != 0 || !strings.Contains(out, `"answered"`) {
		t.Errorf("same request through the other daemon: exit code %d, %s", code, out)
	}
	if out, code := runCommand(ctx, "job", "run", "--team", "floor-plan", "--queue", "renders", "--key", "wrong", "--address", "http://"+ports[3]); code != 3 {
		t.Errorf("wrong key: exit code %d, want 3: %s", code, out)
	}
	if out, code := runCommand(ctx, "serve", "--member", "x", "--lease-ttl", "1ms"); code != 2 || !strings.Contains(out, "region") {
		t.Errorf("wrong settings: exit code %d, want 2: %s", code, out)
	}
	for _, p := range []*process{daemons[1], standins} {
		_ = p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Errorf("%v: %v\n%s", p.Args, err, p.stderr.String())
		}
	}
}

func operatorKey(ctx context.Context, t *testing.T) (seed, public string) {
	t.Helper()
	out, code := runCommand(ctx, "bundle", "keygen", "-o", "json")
	var key struct{ Seed, Public string }
	if err := json.Unmarshal([]byte(out), &key); err != nil || code != 0 {
		t.Fatalf("keygen: exit code %d, %v: %s", code, err, out)
	}
	return key.Seed, key.Public
}

// publish puts the demo's bundle in force and returns the teams' secrets.
func publish(ctx context.Context, t *testing.T, seed string, ports []string) map[ident.TeamID]string {
	t.Helper()
	b, secrets, err := demo.Bundle()
	if err != nil {
		t.Fatal(err)
	}
	text, err := yaml.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "bundle.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for {
		out, code := runCommand(ctx, "bundle", "publish", file, "--signing-key", seed, "--operator-address", "http://"+ports[1])
		if code == 0 {
			return secrets
		}
		if ctx.Err() != nil || code == 2 {
			t.Fatalf("publish: exit code %d: %s", code, out)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func waitReady(ctx context.Context, t *testing.T, addresses ...string) {
	t.Helper()
	for _, a := range addresses {
		for {
			response, err := http.Get("http://" + a + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				t.Fatalf("daemon at %s isn't ready: %v", a, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
