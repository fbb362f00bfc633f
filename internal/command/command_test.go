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

// run executes a command line without the settings of the surrounding environment.
func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Run(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

// Guards against an exit code that hides the outcome from scripts.
func TestExitCodes(t *testing.T) {
	cases := map[string]struct {
		err  error
		want int
	}{
		"no error":    {nil, ExitOK},
		"other error": {errors.New("x"), ExitFailure},
		"usage":       {usageError{errors.New("x")}, ExitUsage},
		"setting":     {&settings.Error{}, ExitUsage},
		"not run":     {&outcomeError{outcome: api.NotRun}, ExitNotRun},
		"failed":      {&outcomeError{outcome: api.Failed}, ExitFailed},
		"unknown":     {&outcomeError{outcome: api.Unknown}, ExitUnknown},
		"refused":     {api.NewProblem(api.CodeOverloaded, "", "x"), ExitNotRun},
		"conflict":    {api.NewProblem(api.CodeConflict, "", "x"), ExitConflict},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := exitCode(c.err); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against wrong arguments, files and settings that are accepted or end with another code.
func TestCommandLine(t *testing.T) {
	wrong := filepath.Join(t.TempDir(), "wrong.yaml")
	if err := os.WriteFile(wrong, []byte("teams: []\nqueues:\n  - id: q\n    kind: nothing\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"status":503,"code":"unavailable","detail":"down","outcome":"unknown"}`))
	}))
	defer refusing.Close()
	secure := httptest.NewTLSServer(refusing.Config.Handler)
	defer secure.Close()
	authority := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw}))
	breaking := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet { // the answer is cut short
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		}
		panic(http.ErrAbortHandler)
	}))
	defer breaking.Close()
	foreign := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "<html>", http.StatusBadGateway)
	}))
	defer foreign.Close()
	examples := "../../examples/"
	cases := map[string]struct {
		args []string
		code int
		want string // in the output or the error
	}{
		"version":              {[]string{"version"}, ExitOK, Version},
		"settings":             {[]string{"settings"}, ExitOK, "--member"},
		"bensalem":             {[]string{"bundle", "validate", examples + "bensalem.yaml"}, ExitOK, "6"},
		"sample exchange":      {[]string{"bundle", "validate", examples + "sample-exchange.yaml"}, ExitOK, "6"},
		"wrong bundle":         {[]string{"bundle", "validate", wrong}, ExitUsage, "queues[0].kind"},
		"missing file":         {[]string{"bundle", "validate", wrong + ".none"}, ExitUsage, "no such file"},
		"no file":              {[]string{"bundle", "validate"}, ExitUsage, "one argument"},
		"unknown flag":         {[]string{"version", "--nothing"}, ExitUsage, "--nothing"},
		"unknown command":      {[]string{"nothing"}, ExitUsage, "nothing"},
		"unknown key command":  {[]string{"key", "revoke", "a", "b"}, ExitUsage, "revoke"},
		"group":                {[]string{"bundle"}, ExitOK, "Available Commands"},
		"unknown subcommand":   {[]string{"bundle", "nothing"}, ExitUsage, "nothing"},
		"wrong output":         {[]string{"version", "--output", "xml"}, ExitUsage, "table or json"},
		"wrong setting":        {[]string{"serve"}, ExitUsage, "--member"},
		"authority, caller":    {[]string{"job", "get", "job-1", "--address", secure.URL, "--authority", authority}, ExitUnknown, "down"},
		"authority, operator":  {[]string{"key", "list", "--operator-address", secure.URL, "--authority", authority}, ExitUnknown, "down"},
		"wrong authority":      {[]string{"key", "list", "--authority", wrong}, ExitUsage, "no certificate"},
		"refused, unknown":     {[]string{"job", "get", "job-1", "--address", refusing.URL}, ExitUnknown, "down"},
		"daemon not reachable": {[]string{"state", "dump", "--operator-address", "http://127.0.0.1:1"}, ExitUnknown, "operator port"},
		"caller, unreachable":  {[]string{"request", "--address", "http://127.0.0.1:1"}, ExitUnknown, "no answer"},
		"request, broken":      {[]string{"request", "--address", breaking.URL}, ExitUnknown, "no answer"},
		"submission, broken":   {[]string{"job", "submit", "--address", breaking.URL}, ExitUnknown, "no answer"},
		"job, cut short":       {[]string{"job", "get", "job-1", "--address", breaking.URL}, ExitUnknown, "no answer"},
		"drain, broken":        {[]string{"host", "drain", "h", "--operator-address", breaking.URL}, ExitUnknown, "no answer"},
		"hosts, cut short":     {[]string{"host", "list", "--operator-address", breaking.URL}, ExitUnknown, "no answer"},
		"request, no problem":  {[]string{"request", "--address", foreign.URL}, ExitUnknown, "no answer"},
		"hosts, no problem":    {[]string{"host", "list", "--operator-address", foreign.URL}, ExitUnknown, "no answer"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := run(t, c.args...)
			if code != c.code || !strings.Contains(out+errOut, c.want) {
				t.Errorf("got code %d, output %q, error %q", code, out, errOut)
			}
		})
	}
}

// Guards against a secret in the error about a wrong environment variable.
func TestWrongEnvironmentShowsNoSecret(t *testing.T) {
	t.Setenv("ROSEMARYSPOKE_SIGNING_KEY", `"seed`)
	if code, _, errOut := run(t, "key", "list"); code != ExitUsage || strings.Contains(errOut, "seed") {
		t.Errorf("got code %d, error %q", code, errOut)
	}
}

// Guards against a grant or a withdrawal that changes other keys than the named one.
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
		t.Errorf("keys before:\n%s\nafter the withdrawal:\n%s", before, now)
	}
}

// Guards against member commands that end with a code that hides a refusal, or that lose the confirmation.
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
		// A daemon removes nobody before it has seen the store healthy for one lease period.
		for tries := 0; tries < 200 && strings.Contains(errOut, "can't be removed now"); tries++ {
			time.Sleep(50 * time.Millisecond)
			code, out, errOut = run(t, append([]string{"member"}, step.args...)...)
		}
		if code != step.code || !strings.Contains(out+errOut, step.want) {
			t.Errorf("%v: code %d, output %q, error %q", step.args, code, out, errOut)
		}
	}
}
