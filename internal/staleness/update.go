package staleness

import (
	"errors"
	"slices"
	"time"
)

// Entry is one item that a source lists.
type Entry struct {
	Name        string // unique among all sources, such as an address
	Kind        string // entries of a kind share a change rate
	Route       string // the route that the entry serves; empty for none
	Incarnation uint64 // of the process at this address; with another incarnation it is another entry
}

// Change is the new state of an entry, or its removal.
type Change struct {
	Entry
	Removed bool
}

// Update is a message from a source: changes, or the complete list in answer to a call.
type Update struct {
	Version       uint64
	Changes       []Change // all entries if Complete
	Complete      bool     // entries that Changes does not contain are removed
	LatestVersion uint64   // the highest version known to the sender; 0 if not given
	// RequestedAt is when the call that a complete list answers was sent: the list was current then or later. 0 means
	// the time of the answer.
	RequestedAt time.Duration
}

// changeCount counts the changes of one update.
type changeCount struct {
	byKind  map[string]int
	changed bool
}

func (c *changeCount) add(kind string, changed bool) {
	if !changed {
		return
	}
	c.byKind[kind]++
	c.changed = true
}

// ApplyUpdate applies changes or the complete list. The error is UnknownSourceError, or joins a NameTakenError for each
// entry that was left out; the other entries are applied.
func (v *View) ApplyUpdate(now time.Duration, name string, update Update) error {
	s, err := v.source(name)
	if err != nil {
		return err
	}
	count := changeCount{byKind: map[string]int{}}
	if s.settings.AffectsAllRoutes {
		count.add(name, s.ageKnown && update.Version != s.version)
		v.entries[name].odds = 1
	} else {
		if update.Complete {
			v.removeUnlisted(s, update.Changes, &count)
		}
		err = v.applyChanges(s, update.Changes, &count)
	}
	requestedAt := now
	if update.RequestedAt > 0 {
		requestedAt = min(now, update.RequestedAt)
	}
	caughtUp := s.reportedVersion > 0 && update.Version >= s.reportedVersion
	v.receive(s, now, message{
		requestedAt: requestedAt,
		changes:     count.byKind,
		changed:     count.changed || caughtUp,
		complete:    update.Complete,
	})
	s.version = update.Version
	if caughtUp || count.changed && s.reportedVersion == 0 {
		s.supersededSince = never
		s.reportedVersion = 0
	}
	if update.LatestVersion > update.Version {
		v.recordLaterVersion(s, now, update.LatestVersion)
	}
	return err
}

// removeUnlisted removes the source's entries that a complete list does not contain.
func (v *View) removeUnlisted(s *trackedSource, complete []Change, count *changeCount) {
	listed := map[string]bool{}
	for _, change := range complete {
		listed[change.Name] = listed[change.Name] || !change.Removed
	}
	for _, e := range slices.Clone(v.entryOrder) {
		if e.source == s && !listed[e.Name] {
			count.add(e.Kind, s.ageKnown)
			v.removeEntry(e)
		}
	}
}

func (v *View) applyChanges(s *trackedSource, changes []Change, count *changeCount) error {
	var errs []error
	for _, change := range changes {
		if taken := v.sourceByName[change.Name]; taken != nil && taken.settings.AffectsAllRoutes {
			errs = append(errs, NameTakenError{change.Name})
			continue
		}
		if !change.Removed {
			count.add(change.Kind, v.addEntry(s, change.Entry))
			continue
		}
		if e := v.entries[change.Name]; e != nil && e.source == s {
			count.add(e.Kind, true)
			v.removeEntry(e)
		}
	}
	return errors.Join(errs...)
}
