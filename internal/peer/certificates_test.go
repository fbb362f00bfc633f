package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// authority is a CA that signs the certificates of a test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "cell authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.pem = encodePEM("CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// issue returns the TLS material of a member. change may modify the certificate before it is signed.
func (a *authority) issue(name string, change func(*x509.Certificate)) CertificateSource {
	a.t.Helper()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if change != nil {
		change(template)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return CertificateSource{
		Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("EC PRIVATE KEY", private), Authorities: a.pem,
	}
}

func mustLoad(t *testing.T, s CertificateSource) *Certificates {
	t.Helper()
	c, err := NewCertificates(s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against accepting peers with a certificate of another member, of another authority, or that isn't valid.
func TestCertificates(t *testing.T) {
	good, other := newAuthority(t), newAuthority(t)
	withDNSName := func(name string) func(*x509.Certificate) {
		return func(c *x509.Certificate) { c.DNSNames = []string{"host.example", name} }
	}
	foreign := other.issue("a", nil)
	foreign.Authorities = good.pem
	cases := map[string]struct {
		client, server CertificateSource
		sender         ident.MemberID
		wantErr        error
		wantCode       Code
		counted        refusalReason // refusal that the server must count
	}{
		"common name":            {client: good.issue("a", nil), server: good.issue("b", nil), sender: "a"},
		"DNS name":               {client: good.issue("pod", withDNSName("a")), server: good.issue("pod", withDNSName("b")), sender: "a"},
		"wrong server name":      {client: good.issue("a", nil), server: good.issue("c", nil), sender: "a", wantErr: ErrUnreachable},
		"wrong client name":      {client: good.issue("c", nil), server: good.issue("b", nil), sender: "a", wantCode: CodeWrongSender, counted: refusedSender},
		"client of another CA":   {client: foreign, server: good.issue("b", nil), sender: "a", wantErr: ErrUnreachable, counted: refusedCertificate},
		"server of another CA":   {client: good.issue("a", nil), server: other.issue("b", nil), sender: "a", wantErr: ErrUnreachable},
		"client cert expired":    {client: good.issue("a", func(c *x509.Certificate) { c.NotAfter = time.Now().Add(-time.Minute) }), server: good.issue("b", nil), sender: "a", wantErr: ErrUnreachable, counted: refusedCertificate},
		"client without usage":   {client: good.issue("a", func(c *x509.Certificate) { c.ExtKeyUsage = c.ExtKeyUsage[:1] }), server: good.issue("b", nil), sender: "a", wantErr: ErrUnreachable, counted: refusedCertificate},
		"message without sender": {client: good.issue("", nil), server: good.issue("b", nil), sender: "", wantCode: CodeWrongSender, counted: refusedSender},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newAddressBook()
			server := startNode(t, b, "b", func(g *Config) { g.TLS = mustLoad(t, c.server) })
			handleEcho(server)
			client := startNode(t, b, "a", func(g *Config) {
				g.TLS = mustLoad(t, c.client)
				g.Self = func() wire.Sender { return wire.Sender{Member: c.sender} }
			})
			_, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{Text: "x"})
			var remote *RemoteError
			switch {
			case c.wantErr != nil && !errors.Is(err, c.wantErr), c.wantErr == nil && c.wantCode == 0 && err != nil:
				t.Errorf("got %v, want %v", err, c.wantErr)
			case c.wantCode != 0 && (!errors.As(err, &remote) || remote.Code != c.wantCode):
				t.Errorf("got %v, want code %d", err, c.wantCode)
			}
			if err != nil && !NotDelivered(err) {
				t.Errorf("NotDelivered(%v) = false, want true", err)
			}
			server.Close() // waits until the refusal is counted
			if c.counted != "" && server.counters.refusals(c.counted) != 1 {
				t.Errorf("refusal %q was not counted", c.counted)
			}
		})
	}
}

// Guards against a member that redirects the results of another member's jobs in the name of a third one: the sender of a
// message whose own field has the name of the method that returns the sender wasn't checked.
func TestSenderOfAdoptOrigin(t *testing.T) {
	a, b := newAuthority(t), newAddressBook()
	server := startNode(t, b, "b", func(g *Config) { g.TLS = mustLoad(t, a.issue("b", nil)) })
	handled := false
	Handle(server, wire.MethodAdoptOrigin, func(context.Context, wire.AdoptOriginRequest) (wire.AdoptOriginReply, error) {
		handled = true
		return wire.AdoptOriginReply{}, nil
	})
	client := startNode(t, b, "a", func(g *Config) { g.TLS = mustLoad(t, a.issue("a", nil)) })
	_, err := Call[wire.AdoptOriginRequest, wire.AdoptOriginReply](t.Context(), client, "b", wire.MethodAdoptOrigin,
		wire.AdoptOriginRequest{Sender: wire.Sender{Member: "c"}, Origin: "removed"})
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Code != CodeWrongSender {
		t.Errorf("got %v, want code %d", err, CodeWrongSender)
	}
	server.Close() // waits for the handler
	if handled {
		t.Error("the request was handled")
	}
}

// Guards against a server that accepts clients without a certificate or with TLS below 1.3.
func TestUntrustedClients(t *testing.T) {
	a := newAuthority(t)
	b := newAddressBook()
	own := mustLoad(t, a.issue("a", nil)).current()
	cases := map[string]*tls.Config{
		"no certificate": {InsecureSkipVerify: true},
		"TLS 1.2":        {InsecureSkipVerify: true, Certificates: []tls.Certificate{*own}, MaxVersion: tls.VersionTLS12},
	}
	for name, config := range cases {
		t.Run(name, func(t *testing.T) {
			server := startNode(t, b, "b", func(g *Config) { g.TLS = mustLoad(t, a.issue("b", nil)) })
			conn, err := tls.Dial("tcp", b.addresses["b"], config)
			if err == nil {
				defer conn.Close()
				if n, err := conn.Read(make([]byte, 1)); err == nil {
					t.Errorf("server answered with %d bytes", n)
				}
			}
			server.Close() // waits until the refusal is counted
			if server.counters.refusals(refusedCertificate) != 1 {
				t.Error("refusal was not counted")
			}
		})
	}
}

// Guards against a certificate rotation that needs a restart, that keeps connections of a removed authority, or that
// leaves the member without a certificate when the new files are invalid.
func TestCertificateRotation(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	directory := t.TempDir()
	write := func(member string, s CertificateSource) CertificateSource {
		files := CertificateSource{
			Certificate: filepath.Join(directory, member+".pem"), Key: filepath.Join(directory, member+".key"),
			Authorities: filepath.Join(directory, member+".ca"),
		}
		for path, text := range map[string]string{files.Certificate: s.Certificate, files.Key: s.Key, files.Authorities: s.Authorities} {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return files
	}
	a, b := mustLoad(t, write("a", first.issue("a", nil))), mustLoad(t, write("b", first.issue("b", nil)))
	addresses := newAddressBook()
	client := startNode(t, addresses, "a", func(g *Config) { g.TLS = a })
	server := startNode(t, addresses, "b", func(g *Config) { g.TLS = b })
	handleEcho(server)
	call := func() error {
		_, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{Text: "x"})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	damaged := first.issue("b", nil)
	damaged.Key = "-----BEGIN nothing"
	write("b", damaged)
	if err := b.Reload(); err == nil {
		t.Error("Reload accepted an invalid key")
	}
	if err := call(); err != nil {
		t.Errorf("after a failed reload: %v", err)
	}
	write("b", second.issue("b", nil))
	if err := b.Reload(); err != nil {
		t.Fatal(err)
	}
	// The client may notice the closed connection only while it writes the call, so the error may be an unknown outcome.
	if err := call(); err == nil {
		t.Error("a client of the removed authority was served")
	}
	write("a", second.issue("a", nil))
	if err := a.Reload(); err != nil {
		t.Fatal(err)
	}
	client.linksLock.Lock()
	l := client.links["member/b"]
	client.linksLock.Unlock()
	l.lock.Lock()
	l.redialAfter = time.Time{}
	l.lock.Unlock()
	if err := call(); err != nil {
		t.Errorf("after both sides rotated: %v", err)
	}
}

// Guards against connections without TLS outside loopback.
func TestInsecureAddresses(t *testing.T) {
	b := newAddressBook()
	client := startNode(t, b, "a", nil)
	b.set("b", "192.0.2.1:7000")
	if _, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{}); !errors.Is(err, ErrInsecure) || !NotDelivered(err) {
		t.Errorf("dial: %v", err)
	}
	l, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Serve(t.Context(), l); !errors.Is(err, ErrInsecure) {
		t.Errorf("serve: %v", err)
	}
}
