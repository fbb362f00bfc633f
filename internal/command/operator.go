package command

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/operator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/rollout"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// maxOperatorBytes bounds a response of the operator port. The largest is the state dump of a large daemon.
const maxOperatorBytes = 256 << 20

// callOperator sends a request to the operator port and decodes the response or its problem.
func callOperator[Resp any](ctx context.Context, o *options, method, path string, body any) (Resp, error) {
	var answer Resp
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return answer, fmt.Errorf("encode %s: %w", path, err)
		}
		reader = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(o.operatorAddress, "/")+path, reader)
	if err != nil {
		return answer, usageError{fmt.Errorf("create request for %s: %w", path, err)}
	}
	r.Header.Set("Authorization", "Bearer "+o.token)
	if user := os.Getenv("USER"); user != "" {
		r.Header.Set("X-Operator", user)
	}
	reply, err := o.http.Do(r)
	if err != nil {
		return answer, fmt.Errorf("call operator port: %w: %w", client.ErrNoAnswer, err)
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxOperatorBytes))
	if err != nil {
		return answer, fmt.Errorf("read response of %s: %w: %w", path, client.ErrNoAnswer, err)
	}
	if reply.StatusCode >= http.StatusBadRequest {
		p := &api.Problem{}
		if err := json.Unmarshal(text, p); err != nil {
			return answer, fmt.Errorf("%s: %w: status %d without a problem body", path, client.ErrNoAnswer, reply.StatusCode)
		}
		return answer, p
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, fmt.Errorf("decode response of %s: %w: %w", path, client.ErrNoAnswer, err)
	}
	return answer, nil
}

// signingKey returns the Ed25519 private key for value, which is the 32-byte seed in base64 or the path of a file with it.
func signingKey(value string) (ed25519.PrivateKey, error) {
	if text, err := os.ReadFile(value); err == nil {
		value = string(text)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(value))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, usageError{errors.New("signing key: must be a base64 Ed25519 seed of 32 bytes, or a file that holds one")}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// publish signs a bundle with the given keys and publishes it as the version after expect.
func (o *options) publish(
	ctx context.Context, b bundle.Bundle, expect ident.Version, keys []string,
) (operator.PublishReply, error) {
	var none operator.PublishReply
	request := operator.PublishRequest{Bundle: b, Expect: expect}
	proposal, err := callOperator[rollout.Proposal](ctx, o, http.MethodPost, "/v1/bundle/prepare", request)
	if err != nil {
		return none, fmt.Errorf("prepare bundle: %w", err)
	}
	raw, err := hex.DecodeString(proposal.DigestHex)
	var digest bundle.Digest
	if err != nil || len(raw) != len(digest) {
		return none, errors.New("the daemon returned a bundle digest that is invalid or has the wrong size")
	}
	copy(digest[:], raw)
	for _, k := range keys {
		key, err := signingKey(k)
		if err != nil {
			return none, err
		}
		request.SignOffs = append(request.SignOffs, bundle.Sign(key, digest))
	}
	reply, err := callOperator[operator.PublishReply](ctx, o, http.MethodPost, "/v1/bundle/publish", request)
	if err != nil {
		return none, fmt.Errorf("publish bundle: %w", err)
	}
	return reply, nil
}

func (o *options) currentBundle(ctx context.Context) (operator.BundleReply, error) {
	return callOperator[operator.BundleReply](ctx, o, http.MethodGet, "/v1/bundle", nil)
}
