// Package linkfault stands between the processes of a test: every way between two of them can be led through a relay on
// loopback, and broken there on purpose. Bytes are late, few or held, in either direction; connections are refused, reset or
// cut off in the midst; and all of that ends.
//
// What a relay can't show: a lost packet. TCP sends it again until the way is whole, so loss in one direction is silence in
// that direction, and its end brings what was held. The rest of the way (windows, congestion) is loopback's.
package linkfault

import (
	"fmt"
	"path"
	"strings"
	"time"
)

// Way is a direction of a link, seen from the process that connects.
type Way uint8

// The directions.
const (
	Both  Way = iota
	There     // from who connects
	Back
)

func (w Way) String() string { return [...]string{"both", "there", "back"}[w] }

// ParseWay reads a direction; empty is both.
func ParseWay(s string) (Way, error) {
	for _, w := range []Way{Both, There, Back} {
		if s == w.String() || s == "" {
			return w, nil
		}
	}
	return Both, fmt.Errorf("%q is none of both, there, back", s)
}

// Trouble is what is wrong with a direction of a link. The zero value is none.
type Trouble struct {
	Delay   time.Duration // every byte comes so much later
	Rate    float64       // bytes a second; 0 is as many as come
	Silent  bool          // bytes and ends are held, nothing is closed, and no new connection comes up
	Refused bool          // new connections are refused; in either direction
	Cut     int64         // connections are reset after so many bytes of theirs; 0 is never
}

// Rule is a trouble of the links between two sets of processes.
type Rule struct {
	From, To string // patterns of names as in path.Match, several with commas between; empty is all
	Way      Way
	Trouble
}

// Check tells what makes no sense.
func (r *Rule) Check() error {
	for _, p := range []string{r.From, r.To} {
		for _, one := range strings.Split(p, ",") {
			if _, err := path.Match(one, ""); err != nil {
				return fmt.Errorf("%q: %w", one, err)
			}
		}
	}
	switch {
	case r.Delay < 0 || r.Delay > time.Minute:
		return fmt.Errorf("a delay of %v is not within 0 and 1m", r.Delay)
	case r.Rate < 0:
		return fmt.Errorf("a rate of %v bytes a second is negative", r.Rate)
	case r.Cut < 0:
		return fmt.Errorf("a cut after %d bytes is negative", r.Cut)
	case r.Trouble == Trouble{}:
		return fmt.Errorf("no trouble is named")
	}
	return nil
}

func matches(patterns, name string) bool {
	if patterns == "" {
		return true
	}
	for _, p := range strings.Split(patterns, ",") {
		if ok, _ := path.Match(p, name); ok {
			return true
		}
	}
	return false
}

// combine is what rules that hold together come to on a link: delays add up, the narrowest rate and the earliest cut hold.
func combine(rules []*Rule, from, to string) (there, back Trouble) {
	for _, r := range rules {
		if !matches(r.From, from) || !matches(r.To, to) {
			continue
		}
		for way, t := range map[Way]*Trouble{There: &there, Back: &back} {
			if r.Way != Both && r.Way != way {
				continue
			}
			t.Delay += r.Delay
			t.Rate, t.Cut = least(t.Rate, r.Rate), least(t.Cut, r.Cut)
			t.Silent, t.Refused = t.Silent || r.Silent, t.Refused || r.Refused
		}
	}
	return there, back
}

// least is the lesser of two bounds of which 0 is none.
func least[T int64 | float64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
