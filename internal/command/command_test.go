package command

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
)

// run executes a command line and returns its exit code and output.
func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Run(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

// Guards against an exit code from which scripts can't tell the outcome.
func TestExitCodes(t *testing.T) {
	cases := map[string]struct {
		err  error
		want int
	}{
		"no error":          {nil, ExitOK},
		"other error":       {errors.New("x"), ExitFailure},
		"usage error":       {usageError{errors.New("x")}, ExitUsage},
		"invalid setting":   {&settings.Error{}, ExitUsage},
		"outcome not run":   {&outcomeError{outcome: api.NotRun}, ExitNotRun},
		"outcome failed":    {&outcomeError{outcome: api.Failed}, ExitFailed},
		"outcome unknown":   {&outcomeError{outcome: api.Unknown}, ExitUnknown},
		"overloaded daemon": {api.NewProblem(api.CodeOverloaded, "", "x"), ExitNotRun},
		"version conflict":  {api.NewProblem(api.CodeConflict, "", "x"), ExitConflict},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := exitCode(c.err); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against invalid arguments, files and settings that are accepted, and against a wrong exit code for failed calls.
func TestCommandLine(t *testing.T) {
	invalidBundle := filepath.Join(t.TempDir(), "wrong.yaml")
	if err := os.WriteFile(invalidBundle, []byte("teams: []\nqueues:\n  - id: q\n    kind: nothing\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	unavailableServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"status":503,"code":"unavailable","detail":"down","outcome":"unknown"}`))
	}))
	defer unavailableServer.Close()
	tlsServer := httptest.NewTLSServer(unavailableServer.Config.Handler)
	defer tlsServer.Close()
	authority := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: tlsServer.Certificate().Raw}))
	abortingServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet { // a truncated response
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		}
		panic(http.ErrAbortHandler)
	}))
	defer abortingServer.Close()
	htmlErrorServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "<html>", http.StatusBadGateway)
	}))
	defer htmlErrorServer.Close()
	examples := "../../examples/"
	cases := map[string]struct {
		args []string
		code int
		want string // in the output or the error
	}{
		"version":                {[]string{"version"}, ExitOK, Version},
		"settings":               {[]string{"settings"}, ExitOK, "--member"},
		"valid bundle, bensalem": {[]string{"bundle", "validate", examples + "bensalem.yaml"}, ExitOK, "6"},
		"valid bundle, sample exchange": {
			[]string{"bundle", "validate", examples + "sample-exchange.yaml"},
			ExitOK, "6",
		},
		"invalid bundle":            {[]string{"bundle", "validate", invalidBundle}, ExitUsage, "queues[0].kind"},
		"missing file":              {[]string{"bundle", "validate", invalidBundle + ".none"}, ExitUsage, "no such file"},
		"no file argument":          {[]string{"bundle", "validate"}, ExitUsage, "one argument"},
		"unknown flag":              {[]string{"version", "--nothing"}, ExitUsage, "--nothing"},
		"unknown command":           {[]string{"nothing"}, ExitUsage, "nothing"},
		"unknown key command":       {[]string{"key", "revoke", "a", "b"}, ExitUsage, "revoke"},
		"command group prints help": {[]string{"bundle"}, ExitOK, "Available Commands"},
		"unknown subcommand":        {[]string{"bundle", "nothing"}, ExitUsage, "nothing"},
		"invalid output format":     {[]string{"version", "--output", "xml"}, ExitUsage, "table or json"},
		"missing setting":           {[]string{"serve"}, ExitUsage, "--member"},
		"invalid setting on a platform": {
			[]string{"serve", "--boot", invalidBundle, "--max-direct-servers", "-1"},
			ExitUsage, `--max-direct-servers (ROSEMARYSPOKE_MAX_DIRECT_SERVERS): value "-1" is not allowed: at least 0`,
		},
		"custom authority, caller port": {
			[]string{"job", "get", "job-1", "--address", tlsServer.URL, "--authority", authority},
			ExitUnknown, "down",
		},
		"custom authority, operator port": {
			[]string{"key", "list", "--operator-address", tlsServer.URL, "--authority", authority},
			ExitUnknown, "down",
		},
		"invalid authority":        {[]string{"key", "list", "--authority", invalidBundle}, ExitUsage, "no certificate"},
		"get job, unknown outcome": {[]string{"job", "get", "job-1", "--address", unavailableServer.URL}, ExitUnknown, "down"},
		"state dump, daemon unreachable": {
			[]string{"state", "dump", "--operator-address", "http://127.0.0.1:1"},
			ExitUnknown, "operator port",
		},
		"request, daemon unreachable":    {[]string{"request", "--address", "http://127.0.0.1:1"}, ExitUnknown, "no answer"},
		"request, infinite cores":        {[]string{"request", "--cores", "inf"}, ExitUsage, "--cores"},
		"request, cores not a number":    {[]string{"request", "--cores", "nan"}, ExitUsage, "--cores"},
		"request, too many cores":        {[]string{"request", "--cores", "1e300"}, ExitUsage, "--cores"},
		"submit job, too few cores":      {[]string{"job", "submit", "--cores=-1e300"}, ExitUsage, "--cores"},
		"request, connection aborted":    {[]string{"request", "--address", abortingServer.URL}, ExitUnknown, "no answer"},
		"submit job, connection aborted": {[]string{"job", "submit", "--address", abortingServer.URL}, ExitUnknown, "no answer"},
		"get job, truncated response":    {[]string{"job", "get", "job-1", "--address", abortingServer.URL}, ExitUnknown, "no answer"},
		"drain host, connection aborted": {
			[]string{"host", "drain", "h", "--operator-address", abortingServer.URL},
			ExitUnknown, "no answer",
		},
		"list hosts, truncated response": {[]string{"host", "list", "--operator-address", abortingServer.URL}, ExitUnknown, "no answer"},
		"request, error in HTML":         {[]string{"request", "--address", htmlErrorServer.URL}, ExitUnknown, "no answer"},
		"list hosts, error in HTML":      {[]string{"host", "list", "--operator-address", htmlErrorServer.URL}, ExitUnknown, "no answer"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := run(t, c.args...)
			if code != c.code || !strings.Contains(out+errOut, c.want) {
				t.Errorf("got code %d, want %d, output %q, error %q", code, c.code, out, errOut)
			}
		})
	}
}

// Guards against a secret in the error message about an invalid environment variable.
func TestWrongEnvironmentShowsNoSecret(t *testing.T) {
	t.Setenv("ROSEMARYSPOKE_SIGNING_KEY", `"seed`)
	if code, _, errOut := run(t, "key", "list"); code != ExitUsage || strings.Contains(errOut, "seed") {
		t.Errorf("got code %d, error %q", code, errOut)
	}
}

// Guards against `key grant` or `key withdraw` changing keys other than the named one.
func TestKeyCommands(t *testing.T) {
	text, err := os.ReadFile("../../examples/bensalem.yaml")
	if err != nil {
		t.Fatal(err)
	}
	b, err := bundle.Parse("bensalem.yaml", text)
	if err != nil {
		t.Fatal(err)
	}
	seed := make([]byte, ed25519.SeedSize)
	public, _ := ed25519.NewKeyFromSeed(seed).Public().(ed25519.PublicKey)
	c, err := demo.Start(t.Context(), demo.Config{
		Sites: []demo.Site{{Member: "m1", Region: "sfax", DataCentre: "sfax-a"}}, Bundle: b, Log: logr.Discard(),
		AdjustSettings: func(s *settings.Serve) {
			s.Signers = append(s.Signers, base64.StdEncoding.EncodeToString(public))
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	t.Setenv("ROSEMARYSPOKE_OPERATOR_ADDRESS", "http://"+c.Daemon("m1").OperatorAddress())
	t.Setenv("ROSEMARYSPOKE_TOKEN", demo.OperatorToken)
	_, before, _ := run(t, "key", "list")
	sign := "--signing-key=" + base64.StdEncoding.EncodeToString(seed)
	if code, out, errOut := run(t, "key", "grant", "training", "new", sign); code != ExitOK || !strings.Contains(out, "secret: rsk_") {
		t.Fatalf("grant: code %d, %s%s", code, out, errOut)
	}
	if _, now, _ := run(t, "key", "list"); strings.Count(now, "\n") != strings.Count(before, "\n")+1 || strings.Count(before, "\n") != 8 {
		t.Errorf("keys before the grant:\n%s\nafter:\n%s", before, now)
	}
	if code, out, errOut := run(t, "key", "withdraw", "training", "new", sign); code != ExitOK {
		t.Fatalf("withdraw: code %d, %s%s", code, out, errOut)
	}
	if _, now, _ := run(t, "key", "list"); now != before {
		t.Errorf("keys before the grant:\n%s\nafter the withdrawal:\n%s", before, now)
	}
}

// Guards against member commands whose exit code hides a refused removal, or that don't send the confirmation.
func TestMemberCommands(t *testing.T) {
	c, err := demo.Start(t.Context(), demo.Config{
		Sites: []demo.Site{{Member: "m1", Region: "sfax", DataCentre: "sfax-a"}, {Member: "m2", Region: "sfax", DataCentre: "sfax-b"}},
		Log:   logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	t.Setenv("ROSEMARYSPOKE_OPERATOR_ADDRESS", "http://"+c.Daemon("m1").OperatorAddress())
	t.Setenv("ROSEMARYSPOKE_TOKEN", demo.OperatorToken)
	for _, step := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"list"}, ExitOK, "held"},
		{[]string{"remove", "m9"}, ExitNotRun, "no such member"},
		{[]string{"remove", "m2"}, ExitNotRun, "still runs"},
		{[]string{"remove", "m2", "--confirm-running"}, ExitOK, "m2"},
	} {
		code, out, errOut := run(t, append([]string{"member"}, step.args...)...)
		// A daemon refuses removals until the store has been healthy for one lease period.
		for tries := 0; tries < 200 && strings.Contains(errOut, "can't be removed now"); tries++ {
			time.Sleep(50 * time.Millisecond)
			code, out, errOut = run(t, append([]string{"member"}, step.args...)...)
		}
		if code != step.code || !strings.Contains(out+errOut, step.want) {
			t.Errorf("%v: got code %d, want %d, output %q, error %q", step.args, code, step.code, out, errOut)
		}
	}
}
