package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Key usages of the two sides of a connection.
const (
	serverAuth = x509.ExtKeyUsageServerAuth
	clientAuth = x509.ExtKeyUsageClientAuth
)

// CertificateSource names the PEM inputs; each is either PEM text or the path of a file.
type CertificateSource struct {
	Certificate string // the member's chain, own certificate first
	Key         string
	Authorities string // certificates that peers must be signed by; empty for a port that verifies no clients
}

// Certificates holds the TLS material of a member and replaces it on Reload.
type Certificates struct {
	now func() time.Time

	lock        sync.RWMutex
	source      CertificateSource
	certificate *tls.Certificate
	roots       *x509.CertPool
	reloadHooks []func()
}

// NewCertificates loads the source.
func NewCertificates(source CertificateSource) (*Certificates, error) {
	c := &Certificates{source: source, now: time.Now}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the source again. New connections use the new material, and connections whose peer the new authorities
// don't verify are closed. On an error the old material stays in use.
func (c *Certificates) Reload() error {
	c.lock.RLock()
	source := c.source
	c.lock.RUnlock()
	return c.Replace(source)
}

// Replace is Reload with a new source. A certificate that isn't valid now doesn't replace another one.
func (c *Certificates) Replace(source CertificateSource) error {
	own, roots, err := source.load()
	if err != nil {
		return err
	}
	if now := c.now(); c.current() != nil && (now.Before(own.Leaf.NotBefore) || now.After(own.Leaf.NotAfter)) {
		return fmt.Errorf("certificate is valid from %s to %s, not now", own.Leaf.NotBefore, own.Leaf.NotAfter)
	}
	c.lock.Lock()
	c.source, c.certificate, c.roots = source, own, roots
	reloaded := c.reloadHooks
	c.lock.Unlock()
	for _, f := range reloaded {
		f()
	}
	return nil
}

// load reads and parses the source.
func (s CertificateSource) load() (*tls.Certificate, *x509.CertPool, error) {
	chain, err := readPEM(s.Certificate)
	if err != nil {
		return nil, nil, fmt.Errorf("read certificate: %w", err)
	}
	key, err := readPEM(s.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("read key: %w", err)
	}
	own, err := tls.X509KeyPair(chain, key)
	if err != nil {
		return nil, nil, fmt.Errorf("parse certificate and key: %w", err)
	}
	if s.Authorities == "" {
		return &own, nil, nil
	}
	authorities, err := readPEM(s.Authorities)
	if err != nil {
		return nil, nil, fmt.Errorf("read authorities: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorities) {
		return nil, nil, errors.New("parse authorities: no certificate found")
	}
	return &own, roots, nil
}

func (c *Certificates) onReload(f func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.reloadHooks = append(c.reloadHooks, f)
}

// readPEM returns PEM text as it is and reads anything else as a file.
func readPEM(value string) ([]byte, error) {
	if bytes.Contains([]byte(value), []byte("-----BEGIN ")) {
		return []byte(value), nil
	}
	return os.ReadFile(value)
}

func (c *Certificates) current() *tls.Certificate {
	c.lock.RLock()
	defer c.lock.RUnlock()
	return c.certificate
}

// verify checks a chain against the present authorities. Names are compared by the callers, because member ids need
// not be host names.
func (c *Certificates) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	c.lock.RLock()
	roots := c.roots
	c.lock.RUnlock()
	if roots == nil { // The verification would fall back to the system's authorities.
		return errors.New("no authorities are set")
	}
	options := x509.VerifyOptions{
		Roots: roots, Intermediates: x509.NewCertPool(), CurrentTime: c.now(), KeyUsages: []x509.ExtKeyUsage{usage},
	}
	for _, intermediate := range chain[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}

// trusted reports whether the peer of a connection still verifies.
func (c *Certificates) trusted(conn net.Conn, usage x509.ExtKeyUsage) bool {
	t, ok := conn.(*tls.Conn)
	return !ok || c.verify(t.ConnectionState().PeerCertificates, usage) == nil
}

// tlsConfig is the part that both sides share. Session tickets are off, so that each connection proves its certificate.
func (c *Certificates) tlsConfig(usage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current(), nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return c.verify(state.PeerCertificates, usage)
		},
	}
}

// HTTPSConfig returns the configuration of a port that verifies no clients. Each handshake uses the newest certificate.
func (c *Certificates) HTTPSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current(), nil },
	}
}

// serverHandshake runs the server side of the handshake and returns what the client's certificate names.
func (c *Certificates) serverHandshake(ctx context.Context, raw net.Conn) (net.Conn, *peerIdentity, error) {
	config := c.tlsConfig(clientAuth)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		clientConfig := c.tlsConfig(clientAuth)
		clientConfig.ClientAuth = tls.RequireAnyClientCert // verified by VerifyConnection
		return clientConfig, nil
	}
	conn := tls.Server(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	return conn, identityOf(conn), nil
}

// clientHandshake runs the client side of the handshake; the certificate must name the member unless to is empty.
func (c *Certificates) clientHandshake(ctx context.Context, raw net.Conn, to ident.MemberID) (net.Conn, error) {
	config := c.tlsConfig(serverAuth)
	config.InsecureSkipVerify = true // the chain is verified by VerifyConnection, the name below
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	if to != "" {
		if err := identityOf(conn).checkMember(to); err != nil {
			return nil, err
		}
	}
	return conn, nil
}

// identityOf lists the common name and the DNS names of the peer's certificate.
func identityOf(conn *tls.Conn) *peerIdentity {
	leaf := conn.ConnectionState().PeerCertificates[0]
	return &peerIdentity{names: append([]string{leaf.Subject.CommonName}, leaf.DNSNames...)}
}
