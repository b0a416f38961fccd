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

// callTime is for one call of an operator to one steward.
const callTime = 6 * time.Second

// One is one call to one steward.
func One(ctx context.Context, client *http.Client, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return Call(ctx, client, address, path, in, out)
}

// Found has all stewards of the file begin the fleet under an epoch. All must take it; it may be given again.
func (f *File) Found(ctx context.Context, client *http.Client, epoch uint64) error {
	g := f.Grants()
	var errs []error
	for _, s := range f.Stewards {
		in := Founding{Fleet: f.Fleet, Epoch: epoch, Drift: g.MaxDrift, Longest: int64(g.MaxLifetime), Members: f.Numbers(), ID: s.Number}
		if err := One(ctx, client, s.Address, PathFound, in, nil); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", s.Name, err))
		}
	}
	return errors.Join(errs...)
}

// Statuses asks all stewards how they stand.
func (f *File) Statuses(ctx context.Context, client *http.Client) ([]Status, []error) {
	out, errs := make([]Status, len(f.Stewards)), make([]error, len(f.Stewards))
	for i, s := range f.Stewards {
		errs[i] = One(ctx, client, s.Address, PathStatus, nil, &out[i])
	}
	return out, errs
}

// Set has whoever leads set the budgets of the file, under a version above all that it knows of, or the one that is named. Gone are
// holders whose floors the operator vouches that nobody will spend again.
func (f *File) Set(ctx context.Context, client *http.Client, version uint64, gone []string) (uint64, error) {
	if version == 0 {
		all, _ := f.Statuses(ctx, client) // whoever is not reached may know more; then the leader refuses
		for _, s := range all {
			version = max(version, s.Version)
		}
		version++
	}
	in := quotalease.SetQuotas{Version: version, Config: f.Grants(), RemovedHolders: gone}
	var tried []error
	for _, s := range f.Stewards {
		err := One(ctx, client, s.Address, PathSet, in, nil)
		if err == nil {
			return version, nil
		}
		tried = append(tried, fmt.Errorf("%s: %w", s.Name, err))
		if p := ProblemOf(err); strings.HasPrefix(p.Name, "grant.") && p.Name != "grant.NotFounded" {
			return 0, tried[len(tried)-1] // the book's own word: no other steward says otherwise
		}
	}
	return 0, errors.Join(tried...)
}

// Told is an error with its advice, for a terminal.
func Told(err error) error {
	if help := operatorerror.Of(err); err != nil && help != "" {
		return fmt.Errorf("%w\n%s", err, help)
	}
	return err
}
