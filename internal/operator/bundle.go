package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/caller"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/rollout"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// PublishRequest is the request to prepare or publish a bundle: the bundle, the version that it replaces and the
// operators' sign-offs.
type PublishRequest struct {
	Bundle   bundle.Bundle    `json:"bundle"`
	Expect   ident.Version    `json:"expect"`
	SignOffs []bundle.SignOff `json:"sign-offs,omitempty"`
}

// PublishReply is the receipt of a publish and the version that each daemon has in force.
type PublishReply struct {
	Receipt rollout.Receipt        `json:"receipt"`
	Members []rollout.MemberStatus `json:"members,omitempty"`
}

// BundleReply is the configuration in force. It contains the hashes of the teams' keys, not the keys.
type BundleReply struct {
	Version ident.Version `json:"version"`
	Bundle  bundle.Bundle `json:"bundle"`
}

// HostReply is a host of the platform's host list and the member that owns it.
type HostReply struct {
	platform.Host
	Owner ident.MemberID `json:"owner"`
}

func decodePublishRequest(r *http.Request) (PublishRequest, error) {
	var p PublishRequest
	if err := caller.Decode(http.MaxBytesReader(nil, r.Body, maxBundleBytes), &p); err != nil {
		return p, err
	}
	if err := bundle.Validate(p.Bundle); err != nil {
		return p, api.NewProblem(api.CodeInvalid, "bundle", "%v", err)
	}
	return p, nil
}

func (s *Server) readBundle(*http.Request) (any, error) {
	b, version := s.config.Rollout.Bundle()
	return BundleReply{Version: version, Bundle: b}, nil
}

// prepareBundle validates a bundle and returns the digest that operators sign before they publish it.
func (s *Server) prepareBundle(r *http.Request) (any, error) {
	p, err := decodePublishRequest(r)
	if err != nil {
		return nil, err
	}
	proposal, err := s.config.Rollout.Prepare(r.Context(), p.Bundle, p.Expect)
	if err != nil {
		return nil, fmt.Errorf("prepare bundle: %w", err)
	}
	return proposal, nil
}

// publishBundle publishes a bundle and waits until it is accepted, at most publishTimeout; see rollout.Accepted.
func (s *Server) publishBundle(r *http.Request) (any, error) {
	p, err := decodePublishRequest(r)
	if err != nil {
		return nil, err
	}
	// The publish continues if the operator's connection breaks, so that its outcome is known and audited.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), publishTimeout)
	defer cancel()
	receipt, err := s.config.Rollout.Publish(ctx, p.Bundle, p.Expect, p.SignOffs)
	if errors.Is(err, rollout.ErrUnknownOutcome) {
		receipt.Outcome, err = s.config.Rollout.Resolve(ctx, receipt)
	}
	if err != nil {
		return nil, fmt.Errorf("publish bundle: %w", err)
	}
	members, err := s.config.Rollout.Await(ctx, receipt.Version)
	if err == nil {
		receipt.Outcome = rollout.Accepted
	}
	return PublishReply{Receipt: receipt, Members: members}, nil
}

func (s *Server) bundleStatus(r *http.Request) (any, error) {
	return s.config.Rollout.Status(r.Context()), nil
}

func (s *Server) listHosts(r *http.Request) (any, error) {
	hosts, err := s.config.Hosts(r.Context())
	if err != nil {
		return nil, api.NewProblem(api.CodeUnavailable, "", "failed to read the host list: %v", err)
	}
	replies := make([]HostReply, len(hosts))
	for i, h := range hosts {
		replies[i] = HostReply{Host: h, Owner: s.config.Owner(h)}
	}
	return replies, nil
}

func (s *Server) reloadCertificates(*http.Request) (any, error) {
	if err := s.config.ReloadCertificates(); err != nil {
		return nil, fmt.Errorf("reload certificates: %w", err)
	}
	return struct{}{}, nil
}

// DrainHostRequest is the request to drain a host, so that it gets no new work, or to undo the drain.
type DrainHostRequest struct {
	Host ident.HostID `json:"host"`
	Undo bool         `json:"undo,omitempty"`
}

func (s *Server) drainHost(r *http.Request) (any, error) {
	var q DrainHostRequest
	if err := caller.Decode(http.MaxBytesReader(nil, r.Body, api.MaxBodyBytes), &q); err != nil {
		return nil, err
	}
	if err := ident.Check("host", string(q.Host)); err != nil {
		return nil, api.NewProblem(api.CodeInvalid, "host", "%v", err)
	}
	hosts, err := s.config.DrainHost(r.Context(), q.Host, q.Undo)
	if err != nil {
		return nil, fmt.Errorf("drain host %s: %w", q.Host, err)
	}
	return hosts, nil
}
