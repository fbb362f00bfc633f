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
	// ErrTooFewSignOffs reports fewer valid sign-offs by distinct operators than required.
	ErrTooFewSignOffs = errors.New("too few sign-offs")
	// ErrInvalidSignature reports a sign-off of a known operator whose signature doesn't match the digest.
	ErrInvalidSignature = errors.New("invalid signature")
)

// Digest identifies the content of an index: its version, the previous version and every segment.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// signatureContext is the domain separator of index signatures, so that a signature made with an operator's key for another
// purpose is never valid for an index.
const signatureContext = "rosemaryspoke configuration index v1\n"

// Digest covers the version, the previous version and the page hashes, and through them every segment. It leaves out
// writer, nonce and time, so that operators can sign at one daemon and publish through another.
func (r Root) Digest() Digest {
	return sha256.Sum256(append([]byte(signatureContext), encode(struct {
		Version  ident.Version `json:"version"`
		Previous ident.Version `json:"previous"`
		Pages    []string      `json:"pages"`
	}{r.Version, r.Previous, r.Pages})...))
}

// SignOff is an operator's signature over an index digest.
type SignOff struct {
	Signer    string `json:"signer"` // SignerID of the operator's public key
	Signature []byte `json:"signature"`
}

// SignerID returns the id of a public key: the first 8 bytes of its SHA-256 in hexadecimal.
func SignerID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:8])
}

// Sign returns a sign-off of the digest.
func Sign(key ed25519.PrivateKey, digest Digest) SignOff {
	public, _ := key.Public().(ed25519.PublicKey)
	return SignOff{Signer: SignerID(public), Signature: ed25519.Sign(key, digest[:])}
}

// Verify checks that at least the required number of distinct signers signed the digest. Sign-offs of unknown signers are
// ignored. It fails with ErrInvalidSignature if the signature of a known signer is invalid, and with ErrTooFewSignOffs if
// sign-offs are missing.
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
		return fmt.Errorf("%d valid sign-offs of %d required: %w", len(valid), required, ErrTooFewSignOffs)
	}
	return nil
}
