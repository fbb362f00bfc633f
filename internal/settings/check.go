package settings

import (
	"cmp"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// minTokenBytes is the shortest operator credential.
const minTokenBytes = 16

// maxPreemptionLoss bounds max-preemption-loss: tasks that lose more have mostly ended before an urgent step has to start.
const maxPreemptionLoss = time.Minute

// Check returns an error for the first invalid setting, or nil. It sets PeerAddress to PeerListen if it is empty.
func (s *Serve) Check() error {
	s.PeerAddress = cmp.Or(s.PeerAddress, s.PeerListen)
	for _, check := range []func() error{s.checkIdentity, s.checkAddresses, s.checkTLS, s.checkOperators, s.checkDurations, s.checkNumbers, s.checkInbound} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// CheckOnPlatform returns an error for the first invalid setting of those that apply with PlatformSettingsFile, or nil.
func (s *Serve) CheckOnPlatform() error {
	if s.MaxDirectServers < 0 {
		return &Error{"max-direct-servers", fmt.Sprint(s.MaxDirectServers), "at least 0"}
	}
	if s.MaxPreemptionLoss < 0 || s.MaxPreemptionLoss > maxPreemptionLoss {
		return &Error{"max-preemption-loss", s.MaxPreemptionLoss.String(), fmt.Sprintf("from 0 to %s", maxPreemptionLoss)}
	}
	// Below a minute the order would follow single runs; above 30 days a team would pay for its use for months.
	if h := s.PastUseHalfLife; h != 0 && (h < time.Minute || h > 30*24*time.Hour) {
		return &Error{"past-use-half-life", h.String(), "0, or from 1m0s to 720h0m0s"}
	}
	return s.checkInbound()
}

// checkInbound checks the limits on what callers send.
func (s *Serve) checkInbound() error {
	// An eighth of the memory has to hold the largest bundle of an operator, 4 MB.
	if s.InboundMemory != 0 && (s.InboundMemory < 32<<20 || s.InboundMemory > 64<<30) {
		return &Error{"inbound-memory", fmt.Sprint(s.InboundMemory), "0, or from 33554432 to 68719476736"}
	}
	if s.InboundConnections != 0 && (s.InboundConnections < 16 || s.InboundConnections > 1_000_000) {
		return &Error{"inbound-connections", fmt.Sprint(s.InboundConnections), "0, or from 16 to 1000000"}
	}
	// Callers wait for up to 3 s for an answer unless they say otherwise, and a request may take that long to arrive.
	if s.BodyTimeout < 5*time.Second || s.BodyTimeout > 10*time.Minute {
		return &Error{"body-timeout", s.BodyTimeout.String(), "from 5s to 10m0s"}
	}
	if s.MaxHeaderBytes < 4<<10 || s.MaxHeaderBytes > 1<<20 {
		return &Error{"max-header-bytes", fmt.Sprint(s.MaxHeaderBytes), "from 4096 to 1048576"}
	}
	return nil
}

func (s *Serve) checkIdentity() error {
	for _, f := range []struct{ name, value string }{
		{"member", string(s.Member)}, {"region", string(s.Region)}, {"data-centre", string(s.DataCentre)},
	} {
		if err := ident.Check(f.name, f.value); err != nil {
			return &Error{f.name, f.value, strings.TrimPrefix(err.Error(), f.name+": ")}
		}
	}
	return nil
}

func (s *Serve) checkAddresses() error {
	for _, f := range []struct{ name, value string }{
		{"caller-listen", s.CallerListen},
		{"operator-listen", s.OperatorListen},
		{"peer-listen", s.PeerListen},
		{"peer-address", s.PeerAddress},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return &Error{f.name, f.value, "an IP address and a port, such as 10.0.0.5:7102"}
		}
	}
	if s.StoreRegion != "" {
		if err := ident.Check("store-region", string(s.StoreRegion)); err != nil {
			return &Error{"store-region", string(s.StoreRegion), strings.TrimPrefix(err.Error(), "store-region: ")}
		}
	}
	u, err := url.Parse(s.StoreURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return &Error{"store-url", s.StoreURL, "an http or https URL"}
	}
	return nil
}

func (s *Serve) checkTLS() error {
	complete := s.PeerCertificate != "" && s.PeerKey != "" && s.PeerAuthority != ""
	anySet := s.PeerCertificate != "" || s.PeerKey != "" || s.PeerAuthority != ""
	if anySet && !complete {
		return &Error{"peer-certificate", "(incomplete)", "peer-certificate, peer-key and peer-authority together, or none of them"}
	}
	if !complete && (!isLoopback(s.PeerListen) || !isLoopback(s.PeerAddress)) {
		return &Error{"peer-listen", s.PeerListen, "a loopback address unless peer-certificate, peer-key and peer-authority are set"}
	}
	if (s.CallerCertificate == "") != (s.CallerKey == "") {
		return &Error{"caller-certificate", "(incomplete)", "caller-certificate and caller-key together, or none of them"}
	}
	if s.CallerCertificate == "" && !s.CallerTLSAtBalancer && !isLoopback(s.CallerListen) {
		return &Error{"caller-listen", s.CallerListen, "a loopback address unless caller-certificate and caller-key, or caller-tls-at-balancer, are set"}
	}
	if s.CallerCertificate == "" && !isLoopback(s.OperatorListen) {
		return &Error{"operator-listen", s.OperatorListen, "a loopback address unless caller-certificate and caller-key are set"}
	}
	for _, f := range []struct{ name, value string }{
		{"peer-certificate", s.PeerCertificate},
		{"peer-key", s.PeerKey},
		{"peer-authority", s.PeerAuthority},
		{"caller-certificate", s.CallerCertificate},
		{"caller-key", s.CallerKey},
	} {
		if _, err := PEM(f.value); err != nil {
			return &Error{f.name, "(hidden)", err.Error()}
		}
	}
	return nil
}

// PEM returns the PEM text of a setting: the value itself, or the contents of the file that it names.
func PEM(value string) ([]byte, error) {
	if value == "" || strings.Contains(value, "-----BEGIN ") {
		return []byte(value), nil
	}
	text, err := os.ReadFile(value)
	if err != nil {
		// The error omits the path, because a malformed private key would be taken for a path and shown.
		var path *fs.PathError
		if errors.As(err, &path) {
			err = path.Err
		}
		return nil, fmt.Errorf("PEM text or the path of a readable file: %w", err)
	}
	return text, nil
}

func (s *Serve) checkOperators() error {
	if len(s.OperatorToken) < minTokenBytes {
		return &Error{"operator-token", "(hidden)", fmt.Sprintf("at least %d bytes", minTokenBytes)}
	}
	if s.RequiredSigners < 1 || s.RequiredSigners > max(1, len(s.Signers)) {
		return &Error{"required-signers", fmt.Sprint(s.RequiredSigners), "from 1 to the number of signers"}
	}
	_, err := s.SignerKeys()
	return err
}

// SignerKeys returns the operators' public keys.
func (s *Serve) SignerKeys() ([]ed25519.PublicKey, error) {
	if len(s.Signers) == 0 {
		return nil, &Error{"signers", "", "at least one base64 Ed25519 public key of 32 bytes"}
	}
	var keys []ed25519.PublicKey
	for _, text := range s.Signers {
		raw, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, &Error{"signers", text, "base64 Ed25519 public keys of 32 bytes"}
		}
		keys = append(keys, raw)
	}
	return keys, nil
}

func (s *Serve) checkDurations() error {
	for _, f := range []struct {
		name             string
		value            time.Duration
		minimum, maximum time.Duration
	}{
		{"lease-ttl", s.LeaseTTL, 500 * time.Millisecond, 5 * time.Minute},
		{"member-interval", s.MemberInterval, 50 * time.Millisecond, s.LeaseTTL / 3},
		{"probe-timeout", s.ProbeTimeout, 20 * time.Millisecond, s.LeaseTTL},
		{"min-renewal", s.MinRenewal, 100 * time.Millisecond, 10 * time.Minute},
		{"max-renewal", s.MaxRenewal, s.MinRenewal, 10 * time.Minute},
		{"clock-drift", s.ClockDrift, time.Millisecond, time.Minute},
		// A backend server that the list shows as leaving must get no new work after 3 s.
		{"hosts-interval", s.HostsInterval, 50 * time.Millisecond, 2 * time.Second},
		// A revoked key must stop working within seconds, and a change must be in force within 12 s.
		{"freshness", s.Freshness, 500 * time.Millisecond, 10 * time.Second},
		{"read-interval", s.ReadInterval, 50 * time.Millisecond, s.Freshness / 3},
		{"claim-retention", s.ClaimRetention, time.Second, 24 * time.Hour},
		{"job-retention", s.JobRetention, time.Second, 30 * 24 * time.Hour},
		{"flush-interval", s.FlushInterval, 10 * time.Millisecond, 5 * time.Second},
		{"limit-interval", s.LimitInterval, 20 * time.Millisecond, 10 * time.Second},
		{"drain-timeout", s.DrainTimeout, time.Second, time.Hour},
	} {
		if f.value < f.minimum || f.value > f.maximum {
			return &Error{f.name, f.value.String(), fmt.Sprintf("from %s to %s", f.minimum, f.maximum)}
		}
	}
	return s.checkTakeover()
}

// checkTakeover checks that a backend server's lease outlasts the removal of its dead owner. When the owner dies, the lease
// has at least two renewal intervals left. The removal takes the owner's own lease, two membership rounds to detect its
// end, two direct probes and an indirect one. With a shorter lease the death of a daemon would stop every task on its
// servers.
func (s *Serve) checkTakeover() error {
	minimum := (s.LeaseTTL + 2*s.MemberInterval + 3*s.ProbeTimeout + s.ClockDrift + 1) / 2
	if s.MinRenewal < minimum {
		return &Error{
			"min-renewal", s.MinRenewal.String(),
			fmt.Sprintf("at least %s: half of the sum of lease-ttl, 2 * member-interval, 3 * probe-timeout and clock-drift", minimum),
		}
	}
	return nil
}

func (s *Serve) checkNumbers() error {
	if s.ControlBytesPerSecond < 512 {
		return &Error{"control-bytes-per-second", fmt.Sprint(s.ControlBytesPerSecond), "at least 512"}
	}
	// The upper bound is a tenth of 400 writes/s, far above one daemon's share. Below one write per second, a record waits
	// for seconds.
	if s.StoreWritesPerSecond < 1 || s.StoreWritesPerSecond > 40 {
		return &Error{"store-writes-per-second", fmt.Sprint(s.StoreWritesPerSecond), "from 1 to 40"}
	}
	if s.QueueLimit < 1 || s.QueueLimit > 1_000_000 {
		return &Error{"queue-limit", fmt.Sprint(s.QueueLimit), "from 1 to 1000000"}
	}
	// A team's quarter must hold the largest job, whose record of 512 KB has about 2,000 tasks.
	if s.QueueBytes < 16<<20 || s.QueueBytes > 64<<30 {
		return &Error{"queue-bytes", fmt.Sprint(s.QueueBytes), "from 16777216 to 68719476736"}
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		return &Error{"retry-ratio", fmt.Sprint(s.RetryRatio), "from 0 to 1"}
	}
	if s.LogLevel < 0 || s.LogLevel > 10 {
		return &Error{"log-level", fmt.Sprint(s.LogLevel), "from 0 to 10"}
	}
	return nil
}
