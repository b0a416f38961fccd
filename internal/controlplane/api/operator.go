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

// Bootstrap makes every server start the fleet under an epoch. It fails unless all of them accept, and may be repeated.
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

// SetQuotas makes the leader replace the quotas by those of the configuration, and returns their version. For version 0
// it selects a version above those of all servers that answer. removedHolders are proxies that have been shut down for
// good: the caller guarantees that no process uses their floors again.
func (c *Config) SetQuotas(
	ctx context.Context, client *http.Client, version uint64, removedHolders []string,
) (uint64, error) {
	if version == 0 {
		// Errors are ignored: if an unreachable server has a higher version, the leader rejects the command.
		statuses, _ := c.ServerStatuses(ctx, client)
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

// SendPolicyCommand makes the leader commit an operator's command about the policy.
func (c *Config) SendPolicyCommand(ctx context.Context, client *http.Client, command store.Command) error {
	return c.callUntilAccepted(ctx, client, PathPolicyCommand, command, IsFinalPolicyError)
}

// callUntilAccepted posts a command to one server after another until one accepts it. isFinal reports whether an error
// is a rejection by the replicated state machine. Every other server would repeat it, so no other server is called.
func (c *Config) callUntilAccepted(
	ctx context.Context, client *http.Client, path string, command any, isFinal func(error) bool,
) error {
	var errs []error
	for _, s := range c.Servers {
		err := CallWithTimeout(ctx, client, s.Address, path, command, nil)
		if err == nil {
			return nil
		}
		serverErr := fmt.Errorf("%s: %w", s.Name, err)
		if isFinal(err) {
			return serverErr
		}
		errs = append(errs, serverErr)
	}
	return errors.Join(errs...)
}

// isFinalQuotaError reports whether the quota state machine rejected a command, except because the fleet is not
// bootstrapped.
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

// PolicyStatus returns the leader's status of the policy. If no leader answers, it returns the most recent status of
// the other servers. It fails only if no server answers.
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
