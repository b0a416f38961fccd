package guardedsource

import (
	"errors"
	"fmt"
	"time"

	"lapisspread/internal/discovery/listguard"
	"lapisspread/internal/strictconfig"
)

// Version is the only version of the settings file's format that this program reads.
const Version = 1

// maxFileBytes is the maximum size of a settings file in bytes.
const maxFileBytes = 1 << 20

// Defaults of keys that are left out of the settings file.
const (
	defaultMaxMissingRatio  = 0.3
	defaultMinMissing       = 2
	defaultRetainFor        = 30 * time.Second
	defaultMaxBackoff       = 10 * time.Second
	defaultWatchTimeout     = 20 * time.Second
	defaultSnapshotInterval = time.Second
	defaultSnapshotMaxAge   = time.Hour
)

// The valid range of SnapshotConfig.Interval.
const (
	minSnapshotInterval = 100 * time.Millisecond
	maxSnapshotInterval = time.Hour
)

// File is the schema of deploy/comeback.toml. A table that is left out disables its feature.
type File struct {
	Version  int             `toml:"version"` // 1
	Guard    *GuardConfig    `toml:"list"`
	Pacing   *PacingConfig   `toml:"calls"`
	Snapshot *SnapshotConfig `toml:"memory"`
}

// GuardConfig configures when a full list is suspect: see listguard.GuardSettings.
type GuardConfig struct {
	MaxMissingRatio *float64              `toml:"shrink"` // 0.3 if left out
	MinMissing      int                   `toml:"least"`  // 2 if left out
	RetainFor       strictconfig.Duration `toml:"hold"`   // 30s if left out
}

// PacingConfig configures how calls to discovery are spread: see listguard.PacingSettings.
type PacingConfig struct {
	CallsPerSecond float64               `toml:"rate"` // calls of all proxies together
	MaxBackoff     strictconfig.Duration `toml:"most"` // 10s if left out
	WatchTimeout   strictconfig.Duration `toml:"hold"` // 20s if left out
}

// SnapshotConfig configures the snapshot of endpoint lists and learned decision state that a proxy writes for the
// process that replaces it.
type SnapshotConfig struct {
	Directory string                `toml:"folder"` // the directory for temporary files if left out
	Interval  strictconfig.Duration `toml:"every"`  // 1s if left out
	MaxAge    strictconfig.Duration `toml:"most"`   // maximum age of a snapshot that is restored; 1h if left out
}

// Load reads and checks a settings file. Its errors name the file, the line if there is one, and the key.
func Load(path string) (*File, error) {
	return strictconfig.Load(path, "the endpoint list guard's settings", maxFileBytes, Parse)
}

// Parse reads and checks the text of a settings file; path is used in errors only.
func Parse(path string, text []byte) (*File, error) {
	f := &File{}
	if err := strictconfig.Decode(path, text, f); err != nil {
		return nil, err
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%s: version: %d; this program reads %d", path, f.Version, Version)
	}
	if f.Guard == nil && f.Pacing == nil && f.Snapshot == nil {
		return nil, fmt.Errorf("%s: it has none of [list], [calls] and [memory], so nothing is configured", path)
	}
	if err := f.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// validate returns an error that names each key with an invalid value.
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
	if settings, enabled := f.guardSettings(); enabled {
		if err := settings.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("list: %w", err))
		}
	}
	if settings, enabled := f.pacingSettings(1, 0); enabled {
		if err := settings.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("calls: %w", err))
		}
	}
	return errors.Join(errs...)
}

// SnapshotInterval returns the time between two snapshots; 0 means that none is written.
func (f *File) SnapshotInterval() time.Duration {
	if f.Snapshot == nil {
		return 0
	}
	return durationOr(f.Snapshot.Interval, defaultSnapshotInterval)
}

// SnapshotMaxAge returns the age up to which a snapshot is restored. f.Snapshot must not be nil.
func (f *File) SnapshotMaxAge() time.Duration {
	return durationOr(f.Snapshot.MaxAge, defaultSnapshotMaxAge)
}

// durationOr returns a duration of the file, or defaultValue if it was left out.
func durationOr(duration strictconfig.Duration, defaultValue time.Duration) time.Duration {
	if duration == 0 {
		return defaultValue
	}
	return time.Duration(duration)
}

// guardSettings returns the settings of the guard; enabled is false if the file has no [list] table.
func (f *File) guardSettings() (settings listguard.GuardSettings, enabled bool) {
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
	settings.RetainFor = durationOr(f.Guard.RetainFor, defaultRetainFor)
	return settings, true
}

// pacingSettings returns the settings of the pacer of one process in a fleet with the given number of proxies; enabled
// is false if the file has no [calls] table.
func (f *File) pacingSettings(proxies int, seed uint64) (settings listguard.PacingSettings, enabled bool) {
	if f.Pacing == nil {
		return settings, false
	}
	return listguard.PacingSettings{
		CallsPerSecond: f.Pacing.CallsPerSecond,
		Proxies:        proxies,
		MaxBackoff:     durationOr(f.Pacing.MaxBackoff, defaultMaxBackoff),
		WatchTimeout:   durationOr(f.Pacing.WatchTimeout, defaultWatchTimeout),
		Seed:           seed,
	}, true
}

// Describe returns a one-line summary of the settings, which the command "comeback check" prints.
func (f *File) Describe() string {
	guard := "endpoint lists are used as they come"
	if s, enabled := f.guardSettings(); enabled {
		guard = fmt.Sprintf(
			"a list that newly lacks more than %.0f %% of the endpoints, and at least %d, is in doubt for %v",
			100*s.MaxMissingRatio, s.MinMissing, s.RetainFor)
	}
	pacing := "calls to discovery are not spread"
	if s, enabled := f.pacingSettings(1, 0); enabled {
		pacing = fmt.Sprintf("all proxies together call discovery %g times a second, with a backoff of at most %v",
			s.CallsPerSecond, s.MaxBackoff)
	}
	snapshot := "no snapshot is written"
	if f.Snapshot != nil {
		snapshot = fmt.Sprintf("a snapshot is written every %v and restored up to an age of %v",
			f.SnapshotInterval(), f.SnapshotMaxAge())
	}
	return guard + "; " + pacing + "; " + snapshot
}
