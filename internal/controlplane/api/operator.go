package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/quotalease"
)

// operatorCallTimeout is for one call of an operator to one steward.
const operatorCallTimeout = 6 * time.Second

// CallWithTimeout is one call to one steward.
func CallWithTimeout(ctx context.Context, client *http.Client, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	return Call(ctx, client, address, path, in, out)
}

// Bootstrap has all stewards of the file begin the fleet under an epoch. All must take it; it may be given again.
func (f *Config) Bootstrap(ctx context.Context, client *http.Client, epoch uint64) error {
	g := f.QuotaConfig()
	var errs []error
	for _, s := range f.Servers {
		in := BootstrapRequest{Fleet: f.Fleet, Epoch: epoch, MaxDrift: g.MaxDrift, MaxLifetimeNanos: int64(g.MaxLifetime), ServerIDs: f.ServerIDs(), ServerID: s.ID}
		if err := CallWithTimeout(ctx, client, s.Address, PathBootstrap, in, nil); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.Name, err))
		}
	}
	return errors.Join(errs...)
}

// ServerStatuses asks all stewards how they stand.
func (f *Config) ServerStatuses(ctx context.Context, client *http.Client) ([]ServerStatus, []error) {
	out, errs := make([]ServerStatus, len(f.Servers)), make([]error, len(f.Servers))
	for i, s := range f.Servers {
		errs[i] = CallWithTimeout(ctx, client, s.Address, PathStatus, nil, &out[i])
	}
	return out, errs
}

// SetQuotas has whoever leads set the budgets of the file, under a version above all that it knows of, or the one that is named. Gone are
// holders whose floors the operator vouches that nobody will spend again.
func (f *Config) SetQuotas(ctx context.Context, client *http.Client, version uint64, gone []string) (uint64, error) {
	if version == 0 {
		all, _ := f.ServerStatuses(ctx, client) // whoever is not reached may know more; then the leader refuses
		for _, s := range all {
			version = max(version, s.ConfigVersion)
		}
		version++
	}
	in := quotalease.SetQuotas{Version: version, Config: f.QuotaConfig(), RemovedHolders: gone}
	var tried []error
	for _, s := range f.Servers {
		err := CallWithTimeout(ctx, client, s.Address, PathSetQuotas, in, nil)
		if err == nil {
			return version, nil
		}
		tried = append(tried, fmt.Errorf("%s: %w", s.Name, err))
		if p := RemoteErrorOf(err); strings.HasPrefix(p.Code, "grant.") && p.Code != "grant.NotFounded" {
			return 0, tried[len(tried)-1] // the book's own word: no other steward says otherwise
		}
	}
	return 0, errors.Join(tried...)
}

// WithAdvice is an error with its advice, for a terminal.
func WithAdvice(err error) error {
	if help := operatorerror.Of(err); err != nil && help != "" {
		return fmt.Errorf("%w\n%s", err, help)
	}
	return err
}
