package operator

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/rollout"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	testToken  = "operator-token-of-the-test"
	wrongToken = "wrong-operator-token"
	testSecret = "rsk_Secret0-of-a"
)

// fixture is the operator API of one daemon whose store is a stand-in. It captures the log.
type fixture struct {
	t           *testing.T
	server      *Server
	key         ed25519.PrivateKey
	log         bytes.Buffer
	reloadError error
	removeError error
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	store := httptest.NewServer(kv.New(kv.Config{}).Handler())
	t.Cleanup(store.Close)
	adapter, err := platform.NewHTTPStore(platform.HTTPConfig{BaseURL: store.URL})
	if err != nil {
		t.Fatal(err)
	}
	c := &fixture{t: t, key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))}
	public, _ := c.key.Public().(ed25519.PublicKey)
	self := member.Member{ID: "m1", Incarnation: 1, Region: "x", State: member.Active}
	log := funcr.New(func(_, text string) { c.log.WriteString(text + "\n") }, funcr.Options{Verbosity: 10})
	r, err := rollout.New(rollout.Config{
		Store: adapter, Self: func() member.Member { return self },
		View:    func() member.View { return member.View{Epoch: 1, Members: []member.Member{self}} },
		Signers: []ed25519.PublicKey{public}, RequiredSigners: 1, Freshness: 3 * time.Second, ReadInterval: time.Second,
		Pull: func(context.Context, ident.MemberID, wire.ConfigPullRequest) (wire.ConfigPullReply, error) {
			return wire.ConfigPullReply{}, errors.New("no peer")
		},
		Version: func(context.Context, ident.MemberID, wire.ConfigVersionRequest) (wire.ConfigVersionReply, error) {
			return wire.ConfigVersionReply{}, errors.New("no peer")
		},
		Now: time.Now, Log: log,
	})
	if err != nil {
		t.Fatal(err)
	}
	c.server, err = New(Config{
		Token: testToken, Ready: func() bool { return true }, Dump: func() any { return r.Dump() }, Metrics: metrics.NewSet(),
		Rollout: r, Log: log,
		Hosts:              func(context.Context) ([]platform.Host, error) { return nil, platform.ErrUnavailable },
		Owner:              func(platform.Host) ident.MemberID { return "m1" },
		ReloadCertificates: func() error { return c.reloadError },
		Members:            func() []member.Status { return []member.Status{{Member: self, Lease: member.LeaseHeld}} },
		RemoveMember: func(_ context.Context, id ident.MemberID, _ bool) (member.Member, error) {
			return member.Member{ID: id, Incarnation: 7, State: member.Unreachable}, c.removeError
		},
		DrainHost: func(_ context.Context, h ident.HostID, _ bool) ([]ident.HostID, error) {
			return []ident.HostID{h}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *fixture) send(call, token, body string) *httptest.ResponseRecorder {
	c.t.Helper()
	method, path, _ := strings.Cut(call, " ")
	r := httptest.NewRequestWithContext(c.t.Context(), method, path, strings.NewReader(body))
	r.Header.Set("X-Operator", "amira")
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	c.server.Handler().ServeHTTP(w, r)
	return w
}

func testBundle() bundle.Bundle {
	key := func(secret string) []bundle.Key { return []bundle.Key{{ID: "one", Hash: bundle.HashSecret(secret)}} }
	return bundle.Bundle{
		Teams: []bundle.Team{
			{ID: "a", Share: 1, Limit: 5, ClaimRegion: "x", Keys: key(testSecret)},
			{ID: "b", Share: 1, Limit: 5, ClaimRegion: "x", Keys: key("rsk_secret-of-b")},
		},
		Queues: []bundle.Queue{{ID: "quotes", Kind: api.KindRequest}},
	}
}

// publish prepares, signs and publishes a bundle through the API.
func (c *fixture) publish(b bundle.Bundle, expect ident.Version) *httptest.ResponseRecorder {
	c.t.Helper()
	request := PublishRequest{Bundle: b, Expect: expect}
	w := c.send("POST /v1/bundle/prepare", testToken, encode(c.t, request))
	var proposal rollout.Proposal
	if err := json.Unmarshal(w.Body.Bytes(), &proposal); err != nil {
		c.t.Fatal(err)
	}
	if raw, err := hex.DecodeString(proposal.DigestHex); err == nil {
		copy(proposal.Digest[:], raw)
	}
	request.SignOffs = []bundle.SignOff{bundle.Sign(c.key, proposal.Digest)}
	return c.send("POST /v1/bundle/publish", testToken, encode(c.t, request))
}

func encode(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against an endpoint that reads or changes state without the credential, and against a credential in a response
// or in the log.
func TestCredential(t *testing.T) {
	cases := map[string]struct {
		call, token string
		status      int
	}{
		"state dump, no credential":          {"GET /debug/state", "", 401},
		"state dump, wrong credential":       {"GET /debug/state", wrongToken, 401},
		"state dump, truncated credential":   {"GET /debug/state", testToken[:len(testToken)-1], 401},
		"state dump":                         {"GET /debug/state", testToken, 200},
		"read bundle, no credential":         {"GET /v1/bundle", "", 401},
		"bundle status, no credential":       {"GET /v1/bundle/status", "", 401},
		"prepare bundle, wrong credential":   {"POST /v1/bundle/prepare", wrongToken, 401},
		"publish bundle, wrong credential":   {"POST /v1/bundle/publish", wrongToken, 401},
		"list hosts, no credential":          {"GET /v1/hosts", "", 401},
		"drain host, wrong credential":       {"POST /v1/hosts/drain", wrongToken, 401},
		"reload certificates, no credential": {"POST /v1/certificates/reload", "", 401},
		"list members, no credential":        {"GET /v1/members", "", 401},
		"list members":                       {"GET /v1/members", testToken, 200},
		"remove member, wrong credential":    {"POST /v1/members/remove", wrongToken, 401},
		"list hosts, store unavailable":      {"GET /v1/hosts", testToken, 503},
		"health, no credential":              {"GET /healthz", "", 200},
		"readiness, no credential":           {"GET /readyz", "", 200},
		"metrics, no credential":             {"GET /metrics", "", 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			w := f.send(c.call, c.token, `{"host":"h1"}`)
			if w.Code != c.status {
				t.Errorf("got status %d, want %d: %s", w.Code, c.status, w.Body)
			}
			if w.Code == http.StatusUnauthorized && !strings.Contains(f.log.String(), "operator credential refused") {
				t.Error("the refused credential isn't logged")
			}
			if strings.Contains(f.log.String(), "audit") {
				t.Errorf("a request that changes nothing has an audit line: %s", &f.log)
			}
			for _, secret := range []string{testToken, wrongToken} {
				if strings.Contains(f.log.String()+w.Body.String(), secret) {
					t.Error("the response or the log contains the credential")
				}
			}
		})
	}
}

// Guards against a change of state without an audit line that names the action, the operator and the result.
func TestAudit(t *testing.T) {
	cases := map[string]struct {
		send func(c *fixture) *httptest.ResponseRecorder
		want []string
	}{
		"publish": {func(c *fixture) *httptest.ResponseRecorder {
			return c.publish(testBundle(), 0)
		}, []string{`"publish bundle"`, `"ok"=true`, "version 1 accepted"}},
		"publish, version conflict": {func(c *fixture) *httptest.ResponseRecorder {
			c.publish(testBundle(), 0)
			return c.send("POST /v1/bundle/publish", testToken, encode(c.t, PublishRequest{Bundle: testBundle()}))
		}, []string{`"publish bundle"`, `"ok"=false`, "version 1 was published through m1"}},
		"publish, unsigned": {func(c *fixture) *httptest.ResponseRecorder {
			return c.send("POST /v1/bundle/publish", testToken, encode(c.t, PublishRequest{Bundle: testBundle()}))
		}, []string{`"publish bundle"`, `"ok"=false`}},
		"drain": {func(c *fixture) *httptest.ResponseRecorder {
			return c.send("POST /v1/hosts/drain", testToken, `{"host":"h1"}`)
		}, []string{`"drain host"`, `"ok"=true`, "drained hosts: [h1]"}},
		"drain, invalid host ID": {func(c *fixture) *httptest.ResponseRecorder {
			return c.send("POST /v1/hosts/drain", testToken, `{"host":"-"}`)
		}, []string{`"drain host"`, `"ok"=false`, "host"}},
		"removal": {func(c *fixture) *httptest.ResponseRecorder {
			return c.send("POST /v1/members/remove", testToken, `{"member":"m2"}`)
		}, []string{`"remove member"`, `"ok"=true`, "removed m2 incarnation 7"}},
		"removal of a running member": {func(c *fixture) *httptest.ResponseRecorder {
			c.removeError = member.ErrStillRunning
			return c.send("POST /v1/members/remove", testToken, `{"member":"m2"}`)
		}, []string{`"remove member"`, `"ok"=false`, "m2", "still runs"}},
		"failed certificate reload": {func(c *fixture) *httptest.ResponseRecorder {
			c.reloadError = errors.New("expired")
			return c.send("POST /v1/certificates/reload", testToken, "")
		}, []string{`"reload certificates"`, `"ok"=false`, "expired"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			w := c.send(f)
			lines := strings.Split(strings.TrimSpace(f.log.String()), "\n")
			last := lines[len(lines)-1]
			for _, want := range append(c.want, `"audit"`, `"operator"="amira"`, `"remote"="192.0.2.1:1234"`) {
				if !strings.Contains(last, want) {
					t.Errorf("status %d, audit line %s doesn't contain %s", w.Code, last, want)
				}
			}
		})
	}
}

// Guards against a failed removal whose response hides the reason, or reports "not run" although the member record may
// have changed.
func TestRemovalProblems(t *testing.T) {
	cases := map[string]struct {
		err     error
		code    api.Code
		outcome api.Outcome
	}{
		"member still runs":         {member.ErrStillRunning, api.CodeInvalid, api.NotRun},
		"last member":               {member.ErrLastMember, api.CodeInvalid, api.NotRun},
		"not a member":              {member.ErrUnknownMember, api.CodeNotFound, api.NotRun},
		"removals not possible now": {member.ErrUnsafeRemoval, api.CodeUnavailable, api.NotRun},
		"member changed meanwhile":  {member.ErrMemberChanged, api.CodeConflict, api.NotRun},
		"repeated store conflicts":  {platform.ErrConflict, api.CodeConflict, api.NotRun},
		"store unavailable":         {platform.ErrUnavailable, api.CodeUnavailable, api.NotRun},
		"store reply lost": {
			fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, platform.ErrUnavailable), api.CodeUnavailable, api.Unknown,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.removeError = c.err
			var p api.Problem
			w := f.send("POST /v1/members/remove", testToken, `{"member":"m2"}`)
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Code != c.code || p.Outcome != c.outcome {
				t.Errorf("got %s, %v, want code %s, outcome %s", w.Body, err, c.code, c.outcome)
			}
		})
	}
}

// Guards against a bundle that is returned without its key hashes. `key grant` reads the bundle and publishes it again,
// which would then withdraw every key.
func TestReadBundleReturnsKeyHashes(t *testing.T) {
	c := newFixture(t)
	if w := c.publish(testBundle(), 0); w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	var reply BundleReply
	if err := json.Unmarshal(c.send("GET /v1/bundle", testToken, "").Body.Bytes(), &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Version != 1 || !reflect.DeepEqual(reply.Bundle.Teams, testBundle().Teams) {
		t.Errorf("got version %d, teams %+v, want version 1 with all key hashes", reply.Version, reply.Bundle.Teams)
	}
}

// Guards against team keys, key hashes and the operator credential in the log or in the state dump.
func TestNoSecretInLogOrDump(t *testing.T) {
	c := newFixture(t)
	c.publish(testBundle(), 0)
	w := c.send("GET /debug/state", testToken, "")
	if !strings.Contains(w.Body.String(), `"version":1`) {
		t.Errorf("the state dump doesn't show version 1: %s", w.Body)
	}
	broken := encode(t, PublishRequest{Bundle: testBundle()})
	c.send("POST /v1/bundle/publish", testToken, strings.Replace(broken, `"hash":"`, `"hash":"`+testSecret, 1))
	c.send("POST /v1/bundle/publish", testToken, strings.Replace(broken, `"hash"`, `"`+testSecret+`"`, 1))
	c.send("POST /v1/bundle/publish", testToken, strings.Replace(broken, `"limit":5`, `"limit":"`+testSecret+`"`, 1))
	for _, secret := range []string{testToken, testSecret, bundle.HashSecret(testSecret)} {
		if strings.Contains(c.log.String()+w.Body.String(), secret) {
			t.Errorf("the state dump or the log contains %q:\n%s", secret, &c.log)
		}
	}
}
