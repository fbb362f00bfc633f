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

// runMainEnv is the environment variable that makes the test binary run main, so that the tests need no separate build.
const runMainEnv = "TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// token is the operator token of the daemons under test.
const token = "process-test-token"

// process is a run of the command whose standard error is kept.
type process struct {
	*exec.Cmd
	stderr bytes.Buffer
}

// newProcess returns a process, not yet started, that runs the command with the operator token in its environment.
func newProcess(ctx context.Context, args ...string) *process {
	p := &process{Cmd: exec.CommandContext(ctx, os.Args[0], args...)}
	p.Env = append(os.Environ(), runMainEnv+"=1", "ROSEMARYSPOKE_OPERATOR_TOKEN="+token, "ROSEMARYSPOKE_TOKEN="+token)
	p.Stderr = &p.stderr
	return p
}

// runCommand runs a client command to its end and returns its standard output followed by its standard error, and its exit
// code.
func runCommand(ctx context.Context, args ...string) (string, int) {
	p := newProcess(ctx, args...)
	var out bytes.Buffer
	p.Stdout = &out
	_ = p.Run()
	return out.String() + p.stderr.String(), p.ProcessState.ExitCode()
}

func freeAddresses(t *testing.T, n int) []string {
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

// startStandins starts the stand-ins in a process and returns it with the URL of their store.
func startStandins(ctx context.Context, t *testing.T) (*process, string) {
	t.Helper()
	p := newProcess(ctx, "standin")
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

// startDaemon starts a daemon that listens for callers, operators and peers at the first three addresses.
func startDaemon(
	ctx context.Context, t *testing.T, site demo.Site, store, public string, addresses []string, extraArgs ...string,
) *process {
	t.Helper()
	d := newProcess(ctx, append([]string{
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

// TestProcesses guards against code paths that work only inside one process. Daemons, stand-ins and client commands run as
// separate processes, SIGTERM drains a daemon while it holds a request, and the test checks every exit code.
func TestProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	standins, store := startStandins(ctx, t)
	seed, public := operatorKey(ctx, t)
	addresses := freeAddresses(t, 6)
	var daemons []*process
	for i, site := range demo.Sites()[:2] {
		daemons = append(daemons, startDaemon(ctx, t, site, store, public, addresses[3*i:]))
	}
	secret := publish(ctx, t, seed, addresses)["quoting"]
	waitReady(ctx, t, addresses[1], addresses[4])

	out, code := runCommand(ctx, "key", "grant", "floor-plan", "second",
		"--signing-key", seed, "--operator-address", "http://"+addresses[1])
	if code != 0 || !strings.Contains(out, "secret: ") {
		t.Errorf("key grant: exit code %d: %s", code, out)
	}
	// A grant that dropped the other keys would lock out every team.
	if out, _ := runCommand(ctx, "key", "list",
		"--operator-address", "http://"+addresses[1]); strings.Count(out, "first") != 2 || !strings.Contains(out, "second") {
		t.Errorf("keys after the grant are %s, want two named first and one named second", out)
	}
	request := []string{
		"request", "--team", "quoting", "--queue", "quotes", "--request-id", "r-1", "--non-idempotent",
		"--payload", "rack", "--run-time", "300ms", "--key", secret, "-o", "json", "--address",
	}
	heldAnswer := make(chan string, 1)
	go func() {
		out, code := runCommand(ctx, append(request, "http://"+addresses[0])...)
		heldAnswer <- fmt.Sprint(code, out)
	}()
	time.Sleep(100 * time.Millisecond)
	if err := daemons[0].Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := <-heldAnswer; !strings.HasPrefix(got, "0") || !strings.Contains(got, `"answered"`) {
		t.Errorf("request held during SIGTERM returned %s, want exit code 0 and outcome answered", got)
	}
	if err := daemons[0].Wait(); err != nil {
		t.Errorf("daemon 1 did not exit cleanly after SIGTERM: %v\n%s", err, daemons[0].stderr.String())
	}
	if out, code := runCommand(ctx, append(request, "http://"+addresses[3])...); code != 0 || !strings.Contains(out, `"answered"`) {
		t.Errorf("the same request through daemon 2: exit code %d, want 0 and outcome answered: %s", code, out)
	}
	if out, code := runCommand(ctx, "job", "run", "--team", "floor-plan", "--queue", "renders", "--key", "wrong",
		"--address", "http://"+addresses[3]); code != 3 {
		t.Errorf("job with a wrong key: exit code %d, want 3: %s", code, out)
	}
	if out, code := runCommand(ctx, "serve", "--member", "x", "--lease-ttl", "1ms"); code != 2 || !strings.Contains(out, "region") {
		t.Errorf("serve with invalid settings: exit code %d, want 2 and an error about the region: %s", code, out)
	}
	for _, p := range []*process{daemons[1], standins} {
		_ = p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Errorf("process %v did not exit cleanly: %v\n%s", p.Args, err, p.stderr.String())
		}
	}
}

// operatorKey generates an operator's signing key pair.
func operatorKey(ctx context.Context, t *testing.T) (seed, public string) {
	t.Helper()
	out, code := runCommand(ctx, "bundle", "keygen", "-o", "json")
	var key struct{ Seed, Public string }
	if err := json.Unmarshal([]byte(out), &key); err != nil || code != 0 {
		t.Fatalf("bundle keygen: exit code %d, %v: %s", code, err, out)
	}
	return key.Seed, key.Public
}

// publish publishes the demo's bundle through the daemon at addresses[1], retrying until it succeeds, and returns the teams'
// secrets.
func publish(ctx context.Context, t *testing.T, seed string, addresses []string) map[ident.TeamID]string {
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
		out, code := runCommand(ctx, "bundle", "publish", file, "--signing-key", seed, "--operator-address", "http://"+addresses[1])
		if code == 0 {
			return secrets
		}
		if ctx.Err() != nil || code == 2 {
			t.Fatalf("bundle publish: exit code %d: %s", code, out)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// waitReady waits until the daemons at the operator addresses report that they are ready.
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
				t.Fatalf("daemon at %s is not ready: %v", a, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
