package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Errors of Verify.
var (
	// ErrTooFewSignOffs reports fewer valid sign-offs of distinct operators than required.
	ErrTooFewSignOffs = errors.New("too few sign-offs")
	// ErrInvalidSignature reports a sign-off of a known operator that doesn't match the digest.
	ErrInvalidSignature = errors.New("wrong signature")
)

// Digest identifies the content of an index: its version, the previous version and every segment.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// signatureContext separates index signatures from other uses of an operator's key.
const signatureContext = "rosemaryspoke configuration index v1\n"

// Digest covers version, previous version and pages, and through the pages every segment. Writer, nonce and time are
// left out, so that operators can sign at one daemon and publish through another.
func (r Root) Digest() Digest {
	return sha256.Sum256(append([]byte(signatureContext), encode(struct {
		Version  ident.Version `json:"version"`
		Previous ident.Version `json:"previous"`
		Pages    []string      `json:"pages"`
	}{r.Version, r.Previous, r.Pages})...))
}

// SignOff is an operator's signature of an index digest.
type SignOff struct {
	Signer    string `json:"signer"` // SignerID of the operator's public key
	Signature []byte `json:"signature"`
}

// SignerID names a public key by the first 8 bytes of its SHA-256 in hexadecimal.
func SignerID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:8])
}

// Sign signs off a digest.
func Sign(key ed25519.PrivateKey, digest Digest) SignOff {
	public, _ := key.Public().(ed25519.PublicKey)
	return SignOff{Signer: SignerID(public), Signature: ed25519.Sign(key, digest[:])}
}

// Verify checks that at least required distinct signers signed the digest. Sign-offs of unknown signers are not
// counted; a wrong signature under a known signer fails with ErrWrongSignature. Otherwise ErrUnsigned is returned.
func Verify(digest Digest, signOffs []SignOff, signers []ed25519.PublicKey, required int) error {
	known := make(map[string]ed25519.PublicKey, len(signers))
	for _, key := range signers {
		if len(key) == ed25519.PublicKeySize {
			known[SignerID(key)] = key
		}
	}
	valid := make(map[string]bool)
	for _, s := range signOffs[:min(len(signOffs), MaxSignOffs)] {
		key, ok := known[s.Signer]
		if !ok {
			continue
		}
		if !ed25519.Verify(key, digest[:], s.Signature) {
			return fmt.Errorf("sign-off of %s: %w", s.Signer, ErrInvalidSignature)
		}
		valid[s.Signer] = true
	}
	if len(valid) < required {
		return fmt.Errorf("%d of %d required: %w", len(valid), required, ErrTooFewSignOffs)
	}
	return nil
}
