package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/pflag"

	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
)

const testToken = "token-of-the-daemon-test"

// selfSigned returns a self-signed certificate for 127.0.0.1 and its key, both in PEM.
func selfSigned(t *testing.T, serial int64, until time.Time) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: until.Add(-2 * time.Hour), NotAfter: until,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	encode := func(kind string, der []byte) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
	}
	return encode("CERTIFICATE", der), encode("EC PRIVATE KEY", raw)
}

// startWithoutStore starts a daemon whose store is unreachable; it serves its ports nevertheless.
func startWithoutStore(t *testing.T, change func(*settings.Serve)) *Daemon {
	t.Helper()
	var s settings.Serve
	s.Flags(pflag.NewFlagSet("serve", pflag.ContinueOnError))
	s.Member, s.Region, s.DataCentre, s.StoreURL = "m1", "sfax", "sfax-a", "http://127.0.0.1:1"
	s.OperatorToken, s.Signers = testToken, []string{"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}
	s.CallerListen, s.OperatorListen = "127.0.0.1:0", "127.0.0.1:0"
	var err error
	if s.PeerListen, err = cell.FreeAddress(); err != nil {
		t.Fatal(err)
	}
	change(&s)
	d, err := New(s, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return d
}

func clientTrusting(t *testing.T, authority string) *http.Client {
	t.Helper()
	c, err := client.NewHTTP([]byte(authority))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// status returns the HTTP status of a call, or 0 if the call failed.
func status(t *testing.T, c *http.Client, method, url string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testToken)
	reply, err := c.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, reply.Body) // so that the connection is reused
	_ = reply.Body.Close()
	return reply.StatusCode
}

// Guards against a port that accepts plain HTTP or TLS below 1.3, or whose certificate clients can't verify.
func TestPortsRequireTLS(t *testing.T) {
	cert, key := selfSigned(t, 1, time.Now().Add(time.Hour))
	other, _ := selfSigned(t, 2, time.Now().Add(time.Hour))
	tlsDaemon := startWithoutStore(t, func(s *settings.Serve) { s.CallerCertificate, s.CallerKey = cert, key })
	plainCallerDaemon := startWithoutStore(t, func(s *settings.Serve) { s.CallerCertificate, s.CallerKey, s.CallerTLSAtBalancer = cert, key, true })
	trusted, roots := clientTrusting(t, cert), x509.NewCertPool()
	if !roots.AppendCertsFromPEM([]byte(cert)) {
		t.Fatal("no certificate found")
	}
	tls12Client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MaxVersion: tls.VersionTLS12}}}
	caller, operator := "://"+tlsDaemon.CallerAddress()+"/v1/none", "://"+tlsDaemon.OperatorAddress()+"/healthz"
	cases := map[string]struct {
		client *http.Client
		url    string
		want   int
	}{
		"caller, TLS":              {trusted, "https" + caller, http.StatusNotFound},
		"operator, TLS":            {trusted, "https" + operator, http.StatusOK},
		"caller, plain HTTP":       {trusted, "http" + caller, http.StatusBadRequest},
		"operator, plain HTTP":     {trusted, "http" + operator, http.StatusBadRequest},
		"caller, TLS 1.2":          {tls12Client, "https" + caller, 0},
		"operator, TLS 1.2":        {tls12Client, "https" + operator, 0},
		"client trusts another CA": {clientTrusting(t, other), "https" + operator, 0},
		"client trusts system CAs": {clientTrusting(t, ""), "https" + operator, 0},
		"TLS ends at balancer, caller, plain HTTP": {
			trusted, "http://" + plainCallerDaemon.CallerAddress() + "/v1/none", http.StatusNotFound,
		},
		"TLS ends at balancer, operator, TLS": {
			trusted, "https://" + plainCallerDaemon.OperatorAddress() + "/healthz", http.StatusOK,
		},
		"TLS ends at balancer, operator, plain HTTP": {
			trusted, "http://" + plainCallerDaemon.OperatorAddress() + "/healthz", http.StatusBadRequest,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := status(t, c.client, http.MethodGet, c.url); got != c.want {
				t.Errorf("got status %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against caller and operator ports that need a restart to use a new certificate, and against an invalid
// certificate that replaces a valid one, breaks open connections or isn't reported.
func TestCertificateReload(t *testing.T) {
	old, oldKey := selfSigned(t, 1, time.Now().Add(time.Hour))
	fresh, freshKey := selfSigned(t, 2, time.Now().Add(time.Hour))
	expired, expiredKey := selfSigned(t, 3, time.Now().Add(-time.Minute))
	cases := map[string]struct {
		cert, key string
		renewed   bool
	}{
		"new certificate":            {fresh, freshKey, true},
		"key of another certificate": {fresh, oldKey, false},
		"damaged certificate":        {"-----BEGIN CERTIFICATE-----", freshKey, false},
		"empty certificate file":     {"", freshKey, false},
		"expired certificate":        {expired, expiredKey, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			certFile, keyFile := filepath.Join(directory, "cert"), filepath.Join(directory, "key")
			write := func(cert, key string) {
				if err := errors.Join(os.WriteFile(certFile, []byte(cert), 0o600), os.WriteFile(keyFile, []byte(key), 0o600)); err != nil {
					t.Fatal(err)
				}
			}
			write(old, oldKey)
			d := startWithoutStore(t, func(s *settings.Serve) { s.CallerCertificate, s.CallerKey = certFile, keyFile })
			caller, operator := "https://"+d.CallerAddress()+"/v1/none", "https://"+d.OperatorAddress()
			openClient := clientTrusting(t, old)
			statuses := func(c *http.Client) [2]int {
				return [2]int{status(t, c, http.MethodGet, caller), status(t, c, http.MethodGet, operator+"/healthz")}
			}
			none, served := [2]int{}, [2]int{http.StatusNotFound, http.StatusOK}
			if got := statuses(openClient); got != served {
				t.Fatalf("statuses before the reload: %v", got)
			}
			write(c.cert, c.key)
			if got := status(t, openClient, http.MethodPost, operator+"/v1/certificates/reload"); (got == http.StatusOK) != c.renewed {
				t.Errorf("the reload answered with status %d", got)
			}
			oldSees, newSees := served, none
			if c.renewed {
				oldSees, newSees = none, served
			}
			if got := statuses(openClient); got != served {
				t.Errorf("statuses on open connections: %v", got)
			}
			if got := statuses(clientTrusting(t, old)); got != oldSees {
				t.Errorf("statuses on new connections that trust the old certificate: %v", got)
			}
			if got := statuses(clientTrusting(t, fresh)); got != newSees {
				t.Errorf("statuses on new connections that trust the new certificate: %v", got)
			}
		})
	}
}
