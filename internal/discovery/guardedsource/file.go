package guardedsource

import (
	"errors"
	"fmt"
	"time"

	"lapisspread/internal/discovery/listguard"
	"lapisspread/internal/strictconfig"
)

// Version is the form of the file that this program reads.
const Version = 1

// File is deploy/comeback.toml. A part that is left out is off.
type File struct {
	Version  int             `toml:"version"` // 1
	Guard    *GuardConfig    `toml:"list"`
	Pacing   *PacingConfig   `toml:"calls"`
	Snapshot *SnapshotConfig `toml:"memory"`
}

// GuardConfig says when a list is in doubt: see comeback.GuardSettings.
type GuardConfig struct {
	MaxMissingRatio *float64          `toml:"shrink"` // 0.3 if left out
	MinMissing      int               `toml:"least"`  // 2 if left out
	RetainFor       strictconfig.Span `toml:"hold"`   // 30s if left out
}

// PacingConfig say how calls for the list are spread: see comeback.CallSettings.
type PacingConfig struct {
	CallsPerSecond float64           `toml:"rate"` // calls a second of all proxies together
	MaxBackoff     strictconfig.Span `toml:"most"` // 10s if left out
	WatchTimeout   strictconfig.Span `toml:"hold"` // 20s if left out
}

// SnapshotConfig says where a proxy writes down what it has learned, for the one that starts in its place.
type SnapshotConfig struct {
	Directory string            `toml:"folder"` // that for temporary files if left out
	Interval  strictconfig.Span `toml:"every"`  // 1s if left out
	MaxAge    strictconfig.Span `toml:"most"`   // the oldest that is recalled; 1h if left out
}

const (
	minSnapshotInterval = 100 * time.Millisecond
	maxSnapshotInterval = time.Hour
)

// SnapshotInterval is how often it is written; 0 is never.
func (f *File) SnapshotInterval() time.Duration {
	if f.Snapshot == nil {
		return 0
	}
	return time.Duration(valueOr(f.Snapshot.Interval, strictconfig.Span(time.Second)))
}

// SnapshotMaxAge is the age up to which it is recalled.
func (f *File) SnapshotMaxAge() time.Duration {
	return time.Duration(valueOr(f.Snapshot.MaxAge, strictconfig.Span(time.Hour)))
}

// maxFileBytes is the longest file that is read, in bytes.
const maxFileBytes = 1 << 20

// Load reads a file. Errors name the file, the line where there is one, and the key.
func Load(path string) (*File, error) {
	return strictconfig.Load(path, "the settings of coming back", maxFileBytes, Parse)
}

// Parse reads the text of a file.
func Parse(path string, text []byte) (*File, error) {
	f := &File{}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, err
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%s: version: %d; this program reads %d", path, f.Version, Version)
	}
	if f.Guard == nil && f.Pacing == nil && f.Snapshot == nil {
		return nil, fmt.Errorf("%s: it has none of [list], [calls] and [memory]: there is nothing to go by", path)
	}
	var errs []error
	if m := f.Snapshot; m != nil {
		if v := f.SnapshotInterval(); v < minSnapshotInterval || v > maxSnapshotInterval {
			errs = append(errs, fmt.Errorf("memory: every: %v is not within %v and %v", v, minSnapshotInterval, maxSnapshotInterval))
		}
		if v := f.SnapshotMaxAge(); v < f.SnapshotInterval() {
			errs = append(errs, fmt.Errorf("memory: most: %v is shorter than every, %v", v, f.SnapshotInterval()))
		}
	}
	if set, on := f.guardSettings(); on {
		if err := set.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("list: %w", err))
		}
	}
	if set, on := f.pacingSettings(1, 0); on {
		if err := set.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("calls: %w", err))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func valueOr[T comparable](v, usual T) T {
	var zero T
	if v == zero {
		return usual
	}
	return v
}

// guardSettings are the settings of the guard, if there is one.
func (f *File) guardSettings() (s listguard.GuardSettings, on bool) {
	if f.Guard == nil {
		return s, false
	}
	s = listguard.GuardSettings{MaxMissingRatio: 0.3, MinMissing: valueOr(f.Guard.MinMissing, 2), RetainFor: time.Duration(valueOr(f.Guard.RetainFor, strictconfig.Span(30*time.Second)))}
	if f.Guard.MaxMissingRatio != nil {
		s.MaxMissingRatio = *f.Guard.MaxMissingRatio
	}
	return s, true
}

// pacingSettings are the settings of the calls, if they are spread.
func (f *File) pacingSettings(proxies int, seed uint64) (s listguard.PacingSettings, on bool) {
	if f.Pacing == nil {
		return s, false
	}
	return listguard.PacingSettings{CallsPerSecond: f.Pacing.CallsPerSecond, Proxies: proxies, MaxBackoff: time.Duration(valueOr(f.Pacing.MaxBackoff, strictconfig.Span(10*time.Second))),
		WatchTimeout: time.Duration(valueOr(f.Pacing.WatchTimeout, strictconfig.Span(20*time.Second))), Seed: seed}, true
}

// Describe tell what a file comes to.
func (f *File) Describe() string {
	list, calls := "lists are believed as they come", "calls for the list are not spread"
	if s, on := f.guardSettings(); on {
		list = fmt.Sprintf("a list that lacks over %.0f %% of the servers, %d at least, is in doubt for %v", 100*s.MaxMissingRatio, s.MinMissing, s.RetainFor)
	}
	if s, on := f.pacingSettings(1, 0); on {
		calls = fmt.Sprintf("all proxies together call for the list %g times a second, each after %v at the latest", s.CallsPerSecond, s.MaxBackoff)
	}
	memory := "nothing is remembered"
	if f.Snapshot != nil {
		memory = fmt.Sprintf("what is learned is written down every %v, and recalled for %v", f.SnapshotInterval(), f.SnapshotMaxAge())
	}
	return list + "; " + calls + "; " + memory
}
