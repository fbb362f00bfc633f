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

// console is an operator API of one daemon on a store stand-in, with its log.
type console struct {
	t      *testing.T
	server *Server
	key    ed25519.PrivateKey
	log    bytes.Buffer
	rotate error
	remove error
}

func newConsole(t *testing.T) *console {
	t.Helper()
	store := httptest.NewServer(kv.New(kv.Config{}).Handler())
	t.Cleanup(store.Close)
	adapter, err := platform.NewHTTPStore(platform.HTTPConfig{BaseURL: store.URL})
	if err != nil {
		t.Fatal(err)
	}
	c := &console{t: t, key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))}
	public, _ := c.key.Public().(ed25519.PublicKey)
	self := member.Member{ID: "m1", Incarnation: 1, Region: "x", State: member.Active}
	log := funcr.New(func(_, text string) { c.log.WriteString(text + "\n") }, funcr.Options{Verbosity: 10})
	r, err := rollout.New(rollout.Config{
		Store: adapter, Self: func() member.Member { return self },
		View:    func() member.View { return member.View{Epoch: 1, Members: []member.Member{self}} },
		Signers: []ed25519.PublicKey{public}, Required: 1, Freshness: 3 * time.Second, ReadInterval: time.Second,
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
		Hosts:   func(context.Context) ([]platform.Host, error) { return nil, platform.ErrUnavailable },
		Owner:   func(platform.Host) ident.MemberID { return "m1" },
		Rotate:  func() error { return c.rotate },
		Members: func() []member.Status { return []member.Status{{Member: self, Lease: member.LeaseHeld}} },
		Remove: func(_ context.Context, id ident.MemberID, _ bool) (member.Member, error) {
			return member.Member{ID: id, Incarnation: 7, State: member.Unreachable}, c.remove
		},
		Drain: func(_ context.Context, h ident.HostID, _ bool) ([]ident.HostID, error) {
			return []ident.HostID{h}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *console) send(call, token, body string) *httptest.ResponseRecorder {
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

// publish signs and publishes a bundle over the API.
func (c *console) publish(b bundle.Bundle, expect ident.Version) *httptest.ResponseRecorder {
	c.t.Helper()
	request := PublishRequest{Bundle: b, Expect: expect}
	w := c.send("POST /v1/bundle/prepare", testToken, encode(c.t, request))
	var proposal rollout.Proposal
	if err := json.Unmarshal(w.Body.Bytes(), &proposal); err != nil {
		c.t.Fatal(err)
	}
	if raw, err := hex.DecodeString(proposal.Hex); err == nil {
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

// Guards against an endpoint that shows or changes state without the credential, and against one that shows the credential.
func TestCredential(t *testing.T) {
	cases := map[string]struct {
		call, token string
		status      int
	}{
		"state, none":        {"GET /debug/state", "", 401},
		"state, wrong":       {"GET /debug/state", wrongToken, 401},
		"state, cut":         {"GET /debug/state", testToken[:len(testToken)-1], 401},
		"state":              {"GET /debug/state", testToken, 200},
		"bundle, none":       {"GET /v1/bundle", "", 401},
		"status, none":       {"GET /v1/bundle/status", "", 401},
		"prepare, wrong":     {"POST /v1/bundle/prepare", wrongToken, 401},
		"publish, wrong":     {"POST /v1/bundle/publish", wrongToken, 401},
		"hosts, none":        {"GET /v1/hosts", "", 401},
		"drain, wrong":       {"POST /v1/hosts/drain", wrongToken, 401},
		"certificates, none": {"POST /v1/certificates/reload", "", 401},
		"members, none":      {"GET /v1/members", "", 401},
		"members":            {"GET /v1/members", testToken, 200},
		"removal, wrong":     {"POST /v1/members/remove", wrongToken, 401},
		"hosts, store down":  {"GET /v1/hosts", testToken, 503},
		"health":             {"GET /healthz", "", 200},
		"readiness":          {"GET /readyz", "", 200},
		"metrics":            {"GET /metrics", "", 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := newConsole(t)
			w := o.send(c.call, c.token, `{"host":"h1"}`)
			if w.Code != c.status {
				t.Errorf("got status %d: %s", w.Code, w.Body)
			}
			if w.Code == http.StatusUnauthorized && !strings.Contains(o.log.String(), "operator credential refused") {
				t.Error("the refusal isn't logged")
			}
			if strings.Contains(o.log.String(), "audit") {
				t.Errorf("a call without a change is audited: %s", &o.log)
			}
			for _, secret := range []string{testToken, wrongToken} {
				if strings.Contains(o.log.String()+w.Body.String(), secret) {
					t.Error("the credential is shown")
				}
			}
		})
	}
}

// Guards against a change without an audit line that names the action, the operator and the result.
func TestAudit(t *testing.T) {
	cases := map[string]struct {
		send func(c *console) *httptest.ResponseRecorder
		want []string
	}{
		"publish": {func(c *console) *httptest.ResponseRecorder {
			return c.publish(testBundle(), 0)
		}, []string{`"publish bundle"`, `"ok"=true`, "version 1 accepted"}},
		"conflict": {func(c *console) *httptest.ResponseRecorder {
			c.publish(testBundle(), 0)
			return c.send("POST /v1/bundle/publish", testToken, encode(c.t, PublishRequest{Bundle: testBundle()}))
		}, []string{`"publish bundle"`, `"ok"=false`, "version 1 was published through m1"}},
		"unsigned": {func(c *console) *httptest.ResponseRecorder {
			return c.send("POST /v1/bundle/publish", testToken, encode(c.t, PublishRequest{Bundle: testBundle()}))
		}, []string{`"publish bundle"`, `"ok"=false`}},
		"drain": {func(c *console) *httptest.ResponseRecorder {
			return c.send("POST /v1/hosts/drain", testToken, `{"host":"h1"}`)
		}, []string{`"drain host"`, `"ok"=true`, "drained hosts: [h1]"}},
		"wrong host": {func(c *console) *httptest.ResponseRecorder {
			return c.send("POST /v1/hosts/drain", testToken, `{"host":"-"}`)
		}, []string{`"drain host"`, `"ok"=false`, "host"}},
		"removal": {func(c *console) *httptest.ResponseRecorder {
			return c.send("POST /v1/members/remove", testToken, `{"member":"m2"}`)
		}, []string{`"remove member"`, `"ok"=true`, "removed m2 incarnation 7"}},
		"refused removal": {func(c *console) *httptest.ResponseRecorder {
			c.remove = member.ErrRunning
			return c.send("POST /v1/members/remove", testToken, `{"member":"m2"}`)
		}, []string{`"remove member"`, `"ok"=false`, "m2", "still runs"}},
		"certificates": {func(c *console) *httptest.ResponseRecorder {
			c.rotate = errors.New("expired")
			return c.send("POST /v1/certificates/reload", testToken, "")
		}, []string{`"reload certificates"`, `"ok"=false`, "expired"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := newConsole(t)
			w := c.send(o)
			lines := strings.Split(strings.TrimSpace(o.log.String()), "\n")
			last := lines[len(lines)-1]
			for _, want := range append(c.want, `"audit"`, `"operator"="amira"`, `"remote"="192.0.2.1:1234"`) {
				if !strings.Contains(last, want) {
					t.Errorf("status %d, audit line %s doesn't hold %s", w.Code, last, want)
				}
			}
		})
	}
}

// Guards against a refused removal whose answer hides the reason, or says "not run" while the record may have changed.
func TestRemovalProblems(t *testing.T) {
	cases := map[string]struct {
		err     error
		code    api.Code
		outcome api.Outcome
	}{
		"running":        {member.ErrRunning, api.CodeInvalid, api.NotRun},
		"last":           {member.ErrLast, api.CodeInvalid, api.NotRun},
		"not a member":   {member.ErrNoMember, api.CodeNotFound, api.NotRun},
		"not now":        {member.ErrNotNow, api.CodeUnavailable, api.NotRun},
		"changed":        {member.ErrChanged, api.CodeConflict, api.NotRun},
		"many conflicts": {platform.ErrConflict, api.CodeConflict, api.NotRun},
		"store down":     {platform.ErrUnavailable, api.CodeUnavailable, api.NotRun},
		"reply lost":     {fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, platform.ErrUnavailable), api.CodeUnavailable, api.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := newConsole(t)
			o.remove = c.err
			var p api.Problem
			w := o.send("POST /v1/members/remove", testToken, `{"member":"m2"}`)
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Code != c.code || p.Outcome != c.outcome {
				t.Errorf("got %s, %v", w.Body, err)
			}
		})
	}
}

// Guards against a bundle that is read without its key hashes: publishing it again, as key grant does, withdraws
// every key.
func TestBundleIsShownWithKeyHashes(t *testing.T) {
	c := newConsole(t)
	if w := c.publish(testBundle(), 0); w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	var reply BundleReply
	if err := json.Unmarshal(c.send("GET /v1/bundle", testToken, "").Body.Bytes(), &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Version != 1 || !reflect.DeepEqual(reply.Bundle.Teams, testBundle().Teams) {
		t.Errorf("got version %d, teams %+v", reply.Version, reply.Bundle.Teams)
	}
}

// Guards against keys, key hashes and the credential in the log and in the state dump.
func TestNoSecretInLogOrDump(t *testing.T) {
	c := newConsole(t)
	c.publish(testBundle(), 0)
	w := c.send("GET /debug/state", testToken, "")
	if !strings.Contains(w.Body.String(), `"version":1`) {
		t.Errorf("dump: %s", w.Body)
	}
	broken := encode(t, PublishRequest{Bundle: testBundle()})
	c.send("POST /v1/bundle/publish", testToken, strings.Replace(broken, `"hash":"`, `"hash":"`+testSecret, 1))
	c.send("POST /v1/bundle/publish", testToken, strings.Replace(broken, `"hash"`, `"`+testSecret+`"`, 1))
	c.send("POST /v1/bundle/publish", testToken, strings.Replace(broken, `"limit":5`, `"limit":"`+testSecret+`"`, 1))
	for _, secret := range []string{testToken, testSecret, bundle.HashSecret(testSecret)} {
		if strings.Contains(c.log.String()+w.Body.String(), secret) {
			t.Errorf("%q is in the dump or the log:\n%s", secret, &c.log)
		}
	}
}
