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
	Version int     `toml:"version"` // 1
	List    *List   `toml:"list"`
	Calls   *Calls  `toml:"calls"`
	Memory  *Memory `toml:"memory"`
}

// List says when a list is in doubt: see comeback.GuardSettings.
type List struct {
	Shrink *float64          `toml:"shrink"` // 0.3 if left out
	Least  int               `toml:"least"`  // 2 if left out
	Hold   strictconfig.Span `toml:"hold"`   // 30s if left out
}

// Calls say how calls for the list are spread: see comeback.CallSettings.
type Calls struct {
	Rate float64           `toml:"rate"` // calls a second of all proxies together
	Most strictconfig.Span `toml:"most"` // 10s if left out
	Hold strictconfig.Span `toml:"hold"` // 20s if left out
}

// Memory says where a proxy writes down what it has learned, for the one that starts in its place.
type Memory struct {
	Folder string            `toml:"folder"` // that for temporary files if left out
	Every  strictconfig.Span `toml:"every"`  // 1s if left out
	Most   strictconfig.Span `toml:"most"`   // the oldest that is recalled; 1h if left out
}

const (
	leastEvery = 100 * time.Millisecond
	mostEvery  = time.Hour
)

// Every is how often it is written; 0 is never.
func (f *File) Every() time.Duration {
	if f.Memory == nil {
		return 0
	}
	return time.Duration(or(f.Memory.Every, strictconfig.Span(time.Second)))
}

// Oldest is the age up to which it is recalled.
func (f *File) Oldest() time.Duration {
	return time.Duration(or(f.Memory.Most, strictconfig.Span(time.Hour)))
}

// mostFile is the longest file that is read, in bytes.
const mostFile = 1 << 20

// Load reads a file. Errors name the file, the line where there is one, and the key.
func Load(path string) (*File, error) {
	return strictconfig.Load(path, "the settings of coming back", mostFile, Parse)
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
	if f.List == nil && f.Calls == nil && f.Memory == nil {
		return nil, fmt.Errorf("%s: it has none of [list], [calls] and [memory]: there is nothing to go by", path)
	}
	var errs []error
	if m := f.Memory; m != nil {
		if v := f.Every(); v < leastEvery || v > mostEvery {
			errs = append(errs, fmt.Errorf("memory: every: %v is not within %v and %v", v, leastEvery, mostEvery))
		}
		if v := f.Oldest(); v < f.Every() {
			errs = append(errs, fmt.Errorf("memory: most: %v is shorter than every, %v", v, f.Every()))
		}
	}
	if set, on := f.guard(); on {
		if err := set.Check(); err != nil {
			errs = append(errs, fmt.Errorf("list: %w", err))
		}
	}
	if set, on := f.calls(1, 0); on {
		if err := set.Check(); err != nil {
			errs = append(errs, fmt.Errorf("calls: %w", err))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func or[T comparable](v, usual T) T {
	var zero T
	if v == zero {
		return usual
	}
	return v
}

// guard are the settings of the guard, if there is one.
func (f *File) guard() (s listguard.GuardSettings, on bool) {
	if f.List == nil {
		return s, false
	}
	s = listguard.GuardSettings{Shrink: 0.3, Least: or(f.List.Least, 2), Hold: time.Duration(or(f.List.Hold, strictconfig.Span(30*time.Second)))}
	if f.List.Shrink != nil {
		s.Shrink = *f.List.Shrink
	}
	return s, true
}

// calls are the settings of the calls, if they are spread.
func (f *File) calls(proxies int, seed uint64) (s listguard.CallSettings, on bool) {
	if f.Calls == nil {
		return s, false
	}
	return listguard.CallSettings{Rate: f.Calls.Rate, Proxies: proxies, Most: time.Duration(or(f.Calls.Most, strictconfig.Span(10*time.Second))),
		Hold: time.Duration(or(f.Calls.Hold, strictconfig.Span(20*time.Second))), Seed: seed}, true
}

// Words tell what a file comes to.
func (f *File) Words() string {
	list, calls := "lists are believed as they come", "calls for the list are not spread"
	if s, on := f.guard(); on {
		list = fmt.Sprintf("a list that lacks over %.0f %% of the servers, %d at least, is in doubt for %v", 100*s.Shrink, s.Least, s.Hold)
	}
	if s, on := f.calls(1, 0); on {
		calls = fmt.Sprintf("all proxies together call for the list %g times a second, each after %v at the latest", s.Rate, s.Most)
	}
	memory := "nothing is remembered"
	if f.Memory != nil {
		memory = fmt.Sprintf("what is learned is written down every %v, and recalled for %v", f.Every(), f.Oldest())
	}
	return list + "; " + calls + "; " + memory
}
