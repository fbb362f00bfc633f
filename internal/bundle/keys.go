package bundle

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// ErrUnknownKey reports a key id that doesn't exist in the team.
var ErrUnknownKey = errors.New("unknown key")

// secretPrefix starts every secret, so that scanners for leaked credentials recognize it.
const secretPrefix = "rsk_"

// HashSecret returns the hash of a secret that a bundle stores: SHA-256 in hexadecimal.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// GrantKey adds a key with a new random 256-bit secret to the team. The secret is returned here only and isn't stored.
// It fails with ErrUnknownTeam, or with Problems if the key id is invalid or already exists.
func GrantKey(b Bundle, team ident.TeamID, id string) (Bundle, string, error) {
	i := teamIndex(b, team)
	if i < 0 {
		return b, "", fmt.Errorf("grant key: %w", ErrUnknownTeam)
	}
	var raw [32]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails since Go 1.24.
	secret := secretPrefix + base64.RawURLEncoding.EncodeToString(raw[:])
	keys := append(slices.Clone(b.Teams[i].Keys), Key{ID: id, Hash: HashSecret(secret)})
	changed := withKeys(b, i, keys)
	if err := Validate(changed); err != nil {
		return b, "", fmt.Errorf("grant key: %w", err)
	}
	return changed, secret, nil
}

// WithdrawKey removes a key from the team. It fails with ErrUnknownTeam or ErrUnknownKey.
func WithdrawKey(b Bundle, team ident.TeamID, id string) (Bundle, error) {
	i := teamIndex(b, team)
	if i < 0 {
		return b, fmt.Errorf("withdraw key: %w", ErrUnknownTeam)
	}
	keyIndex := slices.IndexFunc(b.Teams[i].Keys, func(k Key) bool { return k.ID == id })
	if keyIndex < 0 {
		return b, fmt.Errorf("withdraw key: %w", ErrUnknownKey)
	}
	return withKeys(b, i, slices.Delete(slices.Clone(b.Teams[i].Keys), keyIndex, keyIndex+1)), nil
}

// teamIndex returns the position of the team in the bundle, or -1.
func teamIndex(b Bundle, team ident.TeamID) int {
	return slices.IndexFunc(b.Teams, func(t Team) bool { return t.ID == team })
}

// withKeys returns a copy of the bundle in which team i has the given keys; the given bundle isn't modified.
func withKeys(b Bundle, i int, keys []Key) Bundle {
	b.Teams = slices.Clone(b.Teams)
	b.Teams[i].Keys = keys
	return b
}
