package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"lapisspread/internal/policy/store"
	"lapisspread/internal/quotalease"
)

// Bootstrap has every server start the fleet under an epoch. It fails unless all of them accept; it may be repeated.
func (c *Config) Bootstrap(ctx context.Context, client *http.Client, epoch uint64) error {
	quotas := c.QuotaConfig()
	var errs []error
	for _, s := range c.Servers {
		request := BootstrapRequest{
			Fleet:            c.Fleet,
			Epoch:            epoch,
			MaxDrift:         quotas.MaxDrift,
			MaxLifetimeNanos: int64(quotas.MaxLifetime),
			ServerIDs:        c.ServerIDs(),
			ServerID:         s.ID,
		}
		if err := CallWithTimeout(ctx, client, s.Address, PathBootstrap, request, nil); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.Name, err))
		}
	}
	return errors.Join(errs...)
}

// ServerStatuses returns the status of every server, or the error of the call to it, in the order of Servers.
func (c *Config) ServerStatuses(ctx context.Context, client *http.Client) ([]ServerStatus, []error) {
	statuses := make([]ServerStatus, len(c.Servers))
	errs := make([]error, len(c.Servers))
	for i, s := range c.Servers {
		errs[i] = CallWithTimeout(ctx, client, s.Address, PathStatus, nil, &statuses[i])
	}
	return statuses, errs
}

// SetQuotas has the leader replace the quotas by those of the configuration, and returns their version. Version 0 picks
// one above all that the servers know. RemovedHolders are proxies whose floors nobody will spend again; the operator
// vouches for that.
func (c *Config) SetQuotas(
	ctx context.Context, client *http.Client, version uint64, removedHolders []string,
) (uint64, error) {
	if version == 0 {
		statuses, _ := c.ServerStatuses(ctx, client) // if one out of reach knows more, the leader rejects
		for _, s := range statuses {
			version = max(version, s.ConfigVersion)
		}
		version++
	}
	command := quotalease.SetQuotas{Version: version, Config: c.QuotaConfig(), RemovedHolders: removedHolders}
	err := c.callUntilAccepted(ctx, client, PathSetQuotas, command, isFinalQuotaError)
	if err != nil {
		return 0, err
	}
	return version, nil
}

// SendPolicyCommand has the leader commit a command of an operator about the policy.
func (c *Config) SendPolicyCommand(ctx context.Context, client *http.Client, command store.Command) error {
	return c.callUntilAccepted(ctx, client, PathPolicyCommand, command, IsFinalPolicyError)
}

// callUntilAccepted posts a command to one server after another until one accepts it. An error that isFinal stands for
// the state machine's own rejection, which every other server would repeat.
func (c *Config) callUntilAccepted(
	ctx context.Context, client *http.Client, path string, command any, isFinal func(error) bool,
) error {
	var errs []error
	for _, s := range c.Servers {
		err := CallWithTimeout(ctx, client, s.Address, path, command, nil)
		if err == nil {
			return nil
		}
		named := fmt.Errorf("%s: %w", s.Name, err)
		if isFinal(err) {
			return named
		}
		errs = append(errs, named)
	}
	return errors.Join(errs...)
}

// isFinalQuotaError reports whether the quota state machine rejected a command, other than for lack of a bootstrap.
func isFinalQuotaError(err error) bool {
	code := RemoteErrorOf(err).Code
	return strings.HasPrefix(code, "grant.") && code != quotalease.NotBootstrappedError{}.Code()
}

// IsFinalPolicyError reports whether the policy store rejected a command, so that sending it again changes nothing.
func IsFinalPolicyError(err error) bool {
	code := RemoteErrorOf(err).Code
	return strings.HasPrefix(code, "policybook.") || strings.HasPrefix(code, "namespace.")
}

// isNewer reports whether a has a newer candidate or a newer active version than b.
func isNewer(a, b *store.Status) bool {
	return a.Candidate.NewerThan(b.Candidate) || a.Active.NewerThan(b.Active)
}

// PolicyStatus returns the leader's status of the policy, or the most recent of the others' if no leader answers. It
// fails only if no server answers.
func (c *Config) PolicyStatus(ctx context.Context, client *http.Client) (PolicyStatus, error) {
	var newest PolicyStatus
	var errs []error
	for _, s := range c.Servers {
		var status PolicyStatus
		if err := CallWithTimeout(ctx, client, s.Address, PathPolicyStatus, nil, &status); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.Name, err))
			continue
		}
		if status.IsLeader {
			return status, nil
		}
		if isNewer(&status.Policy, &newest.Policy) {
			newest = status
		}
	}
	if len(errs) == len(c.Servers) {
		return newest, errors.Join(errs...)
	}
	return newest, nil
}
