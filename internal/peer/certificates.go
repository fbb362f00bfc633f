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

// Extended key usages that the certificates of the two sides of a connection must have.
const (
	serverAuth = x509.ExtKeyUsageServerAuth
	clientAuth = x509.ExtKeyUsageClientAuth
)

// CertificateSource specifies the TLS material of a member. Each field is either PEM text or the path of a PEM file.
type CertificateSource struct {
	Certificate string // the certificate chain, leaf certificate first
	Key         string
	Authorities string // CA certificates that verify peers; empty for a port that doesn't verify clients
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

// NewCertificates returns the material loaded from the source.
func NewCertificates(source CertificateSource) (*Certificates, error) {
	c := &Certificates{source: source, now: time.Now}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the source again. New connections use the new material, and existing connections are closed if the new
// authorities don't verify their peer. On an error the old material stays in use.
func (c *Certificates) Reload() error {
	c.lock.RLock()
	source := c.source
	c.lock.RUnlock()
	return c.Replace(source)
}

// Replace is like Reload with a new source. It returns an error instead of replacing a certificate by one that is
// expired or not yet valid.
func (c *Certificates) Replace(source CertificateSource) error {
	own, roots, err := source.load()
	if err != nil {
		return err
	}
	if now := c.now(); c.current() != nil && (now.Before(own.Leaf.NotBefore) || now.After(own.Leaf.NotAfter)) {
		return fmt.Errorf("certificate is valid only from %s to %s", own.Leaf.NotBefore, own.Leaf.NotAfter)
	}
	c.lock.Lock()
	c.source, c.certificate, c.roots = source, own, roots
	hooks := c.reloadHooks
	c.lock.Unlock()
	for _, f := range hooks {
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

// onReload registers a function that runs after every successful reload.
func (c *Certificates) onReload(f func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.reloadHooks = append(c.reloadHooks, f)
}

// readPEM returns a value that contains PEM text unchanged, and otherwise reads the file with this path.
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

// verify verifies a certificate chain against the current authorities. It doesn't check names: member ids need not be
// valid host names, so the callers compare them.
func (c *Certificates) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	c.lock.RLock()
	roots := c.roots
	c.lock.RUnlock()
	if roots == nil { // Verify would use the system's CA certificates instead.
		return errors.New("no authorities are configured to verify peers")
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

// trusted reports whether the current authorities verify the peer of a connection, or the connection has no TLS.
func (c *Certificates) trusted(conn net.Conn, usage x509.ExtKeyUsage) bool {
	t, ok := conn.(*tls.Conn)
	return !ok || c.verify(t.ConnectionState().PeerCertificates, usage) == nil
}

// tlsConfig returns the settings that both sides share. Session tickets are disabled, so that each handshake verifies the
// peer's certificate.
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

// HTTPSConfig returns the TLS configuration of an HTTPS port that doesn't verify clients. Each handshake uses the current
// certificate.
func (c *Certificates) HTTPSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current(), nil },
	}
}

// serverHandshake runs the server side of the handshake and returns the identity in the client's certificate.
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

// clientHandshake runs the client side of the handshake. The server's certificate must name the member to, unless to is
// empty.
func (c *Certificates) clientHandshake(ctx context.Context, raw net.Conn, to ident.MemberID) (net.Conn, error) {
	config := c.tlsConfig(serverAuth)
	config.InsecureSkipVerify = true // VerifyConnection verifies the chain; the name is checked below
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

// identityOf returns the common name and the DNS names in the peer's certificate.
func identityOf(conn *tls.Conn) *peerIdentity {
	leaf := conn.ConnectionState().PeerCertificates[0]
	return &peerIdentity{names: append([]string{leaf.Subject.CommonName}, leaf.DNSNames...)}
}
