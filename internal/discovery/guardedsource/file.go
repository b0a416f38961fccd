package guardedsource

import (
	"errors"
	"fmt"
	"time"

	"lapisspread/internal/discovery/listguard"
	"lapisspread/internal/strictconfig"
)

// Version is the version of the settings file that this program reads.
const Version = 1

// maxFileBytes is the longest settings file that is read.
const maxFileBytes = 1 << 20

// What a settings file comes to where it leaves a key out.
const (
	defaultMaxMissingRatio  = 0.3
	defaultMinMissing       = 2
	defaultRetainFor        = 30 * time.Second
	defaultMaxBackoff       = 10 * time.Second
	defaultWatchTimeout     = 20 * time.Second
	defaultSnapshotInterval = time.Second
	defaultSnapshotMaxAge   = time.Hour
)

// The range of SnapshotConfig.Interval.
const (
	minSnapshotInterval = 100 * time.Millisecond
	maxSnapshotInterval = time.Hour
)

// File is deploy/comeback.toml. A table that is left out is off.
type File struct {
	Version  int             `toml:"version"` // 1
	Guard    *GuardConfig    `toml:"list"`
	Pacing   *PacingConfig   `toml:"calls"`
	Snapshot *SnapshotConfig `toml:"memory"`
}

// GuardConfig says when a full list is suspect: see listguard.GuardSettings.
type GuardConfig struct {
	MaxMissingRatio *float64              `toml:"shrink"` // 0.3 if left out
	MinMissing      int                   `toml:"least"`  // 2 if left out
	RetainFor       strictconfig.Duration `toml:"hold"`   // 30s if left out
}

// PacingConfig says how calls to discovery are spread: see listguard.PacingSettings.
type PacingConfig struct {
	CallsPerSecond float64               `toml:"rate"` // of all proxies together
	MaxBackoff     strictconfig.Duration `toml:"most"` // 10s if left out
	WatchTimeout   strictconfig.Duration `toml:"hold"` // 20s if left out
}

// SnapshotConfig says where a proxy writes a snapshot of what it has learned, for the process that starts in its place.
type SnapshotConfig struct {
	Directory string                `toml:"folder"` // the one for temporary files if left out
	Interval  strictconfig.Duration `toml:"every"`  // 1s if left out
	MaxAge    strictconfig.Duration `toml:"most"`   // of a snapshot that is restored; 1h if left out
}

// Load reads a settings file. Errors name the file, the line where there is one, and the key.
func Load(path string) (*File, error) {
	return strictconfig.Load(path, "the settings of coming back", maxFileBytes, Parse)
}

// Parse reads the text of a settings file; path is for the errors.
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
	if err := f.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// validate returns an error that names each key that makes no sense.
func (f *File) validate() error {
	var errs []error
	if f.Snapshot != nil {
		interval := f.SnapshotInterval()
		if interval < minSnapshotInterval || interval > maxSnapshotInterval {
			errs = append(errs, fmt.Errorf("memory: every: %v is not within %v and %v",
				interval, minSnapshotInterval, maxSnapshotInterval))
		}
		if maxAge := f.SnapshotMaxAge(); maxAge < interval {
			errs = append(errs, fmt.Errorf("memory: most: %v is shorter than every, %v", maxAge, interval))
		}
	}
	if settings, on := f.guardSettings(); on {
		if err := settings.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("list: %w", err))
		}
	}
	if settings, on := f.pacingSettings(1, 0); on {
		if err := settings.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("calls: %w", err))
		}
	}
	return errors.Join(errs...)
}

// SnapshotInterval is how often a snapshot is written; 0 is never.
func (f *File) SnapshotInterval() time.Duration {
	if f.Snapshot == nil {
		return 0
	}
	return spanOr(f.Snapshot.Interval, defaultSnapshotInterval)
}

// SnapshotMaxAge is the age up to which a snapshot is restored. The file must have a table for snapshots.
func (f *File) SnapshotMaxAge() time.Duration {
	return spanOr(f.Snapshot.MaxAge, defaultSnapshotMaxAge)
}

// spanOr returns a span, or a default for one that was left out.
func spanOr(span strictconfig.Duration, absent time.Duration) time.Duration {
	if span == 0 {
		return absent
	}
	return time.Duration(span)
}

// guardSettings returns the settings of the guard, if there is to be one.
func (f *File) guardSettings() (settings listguard.GuardSettings, on bool) {
	if f.Guard == nil {
		return settings, false
	}
	settings.MaxMissingRatio = defaultMaxMissingRatio
	if f.Guard.MaxMissingRatio != nil {
		settings.MaxMissingRatio = *f.Guard.MaxMissingRatio
	}
	settings.MinMissing = defaultMinMissing
	if f.Guard.MinMissing != 0 {
		settings.MinMissing = f.Guard.MinMissing
	}
	settings.RetainFor = spanOr(f.Guard.RetainFor, defaultRetainFor)
	return settings, true
}

// pacingSettings returns the settings of the pacer of one of so many proxies, if there is to be one.
func (f *File) pacingSettings(proxies int, seed uint64) (settings listguard.PacingSettings, on bool) {
	if f.Pacing == nil {
		return settings, false
	}
	return listguard.PacingSettings{
		CallsPerSecond: f.Pacing.CallsPerSecond,
		Proxies:        proxies,
		MaxBackoff:     spanOr(f.Pacing.MaxBackoff, defaultMaxBackoff),
		WatchTimeout:   spanOr(f.Pacing.WatchTimeout, defaultWatchTimeout),
		Seed:           seed,
	}, true
}

// Describe says in a line what the file comes to.
func (f *File) Describe() string {
	list := "lists are believed as they come"
	if s, on := f.guardSettings(); on {
		list = fmt.Sprintf("a list that lacks over %.0f %% of the servers, %d at least, is in doubt for %v",
			100*s.MaxMissingRatio, s.MinMissing, s.RetainFor)
	}
	calls := "calls for the list are not spread"
	if s, on := f.pacingSettings(1, 0); on {
		calls = fmt.Sprintf("all proxies together call for the list %g times a second, each after %v at the latest",
			s.CallsPerSecond, s.MaxBackoff)
	}
	memory := "nothing is remembered"
	if f.Snapshot != nil {
		memory = fmt.Sprintf("what is learned is written down every %v, and recalled for %v",
			f.SnapshotInterval(), f.SnapshotMaxAge())
	}
	return list + "; " + calls + "; " + memory
}
