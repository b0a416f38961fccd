package staleness

import (
	"math"
	"slices"
	"strings"
	"time"
)

// never is a time before all others. Sums and differences with it do not overflow.
const never = time.Duration(math.MinInt64 / 4)

// entryKind groups the entries of a source that share a change rate.
type entryKind struct {
	name    string
	rate    *ChangeRate
	entries int // number of listed entries
}

// trackedEntry is a listed entry with the evidence from its server's answers.
type trackedEntry struct {
	Entry
	source      *trackedSource
	kind        *entryKind
	confirmedAt time.Duration // last time at which the server, or another party for the whole source, confirmed it
	checkedAt   time.Duration // time of the last attempt that confirmed or contradicted the entry
	probedAt    time.Duration // time of the last probe that PlanProbes returned
	// odds is the factor by which contradictions since the last confirmation multiplied the odds that the entry is as
	// listed; 1 without contradictions.
	odds float64
	// falseAlarm is the probability, at the first contradiction, that the entry was as listed all the same.
	falseAlarm float64
	// unfollowedSurvival is the probability, before the first contradiction, that the entry was as listed if the
	// source is not followed.
	unfollowedSurvival float64
	confidence         float64 // at the last evaluation of its route
	handle             Handle
}

// trackedSource is a source with its filter and everything that was learned about it.
type trackedSource struct {
	settings   SourceSettings
	filter     filter
	advancedTo time.Duration // the time up to which the filter has advanced

	gaps          *GapDetector // between any messages
	heartbeatGaps *GapDetector

	ageKnown      bool // false until the first message, and after a restore of content of unknown age
	version       uint64
	currentAt     time.Duration // the content was current at this moment or later
	lastMessageAt time.Duration // arrival of the last message
	calledAt      time.Duration // time of the last call that PlanProbes returned

	heartbeatAt       time.Duration // arrival of the last message without changes
	heartbeatDelay    time.Duration // upper bound on how late the last heartbeat was
	regularHeartbeats int           // number of consecutive regular heartbeats

	drainingBacklog  bool          // messages that arrive were queued while the process was suspended
	resumedAt        time.Duration // end of the last suspension
	backlogCurrentAt time.Duration // the last queued message was sent at this moment or later

	confirmedAt     time.Duration // when another party last reported the same version
	supersededSince time.Duration // when another party first reported a later version; never if the view has caught up
	reportedVersion uint64        // the later version that another party reported; 0 if none

	silentWatches    float64 // expected number of watches that fell silent
	watchedSeconds   float64 // time with a live watch
	changedWhileLive float64 // attempts on a live view that found an entry changed
	hazardWhileLive  float64 // sum of the change rates over all attempts on a live view

	kinds     map[string]*entryKind
	kindOrder []*entryKind // in the order in which they appeared, so that sums are reproducible
}

// View holds the entries that one proxy received from all its sources, with the estimates about them. It must not be
// used by two goroutines at once.
type View struct {
	settings     Settings
	sources      []*trackedSource
	sourceByName map[string]*trackedSource

	entries    map[string]*trackedEntry
	entryOrder []*trackedEntry // sorted by name

	falseRefusals  float64                // expected number of refusals by servers that were as listed
	confirmations  float64                // number of answers by servers that were as listed
	contradictions [evidenceKinds]float64 // expected number of contradictions by changed entries, by kind

	routes       []*routeState // sorted by name
	routeByIndex []*routeState
	routeByName  map[string]*routeState

	slots       []*trackedEntry // by Handle.slot; nil if free
	generations []uint32        // by slot
	freeSlots   []uint32
}

// New returns a view without content. The error joins an InvalidSettingsError for each invalid setting.
func New(settings Settings) (*View, error) {
	if err := settings.setDefaultsAndCheck(); err != nil {
		return nil, err
	}
	v := &View{
		settings:     settings,
		sourceByName: map[string]*trackedSource{},
		entries:      map[string]*trackedEntry{},
		routeByName:  map[string]*routeState{},
	}
	for _, source := range settings.Sources {
		s := newTrackedSource(source)
		v.sources = append(v.sources, s)
		v.sourceByName[source.Name] = s
		if source.AffectsAllRoutes {
			v.addEntry(s, Entry{Name: source.Name, Kind: source.Name})
		}
	}
	return v, nil
}

func newTrackedSource(settings SourceSettings) *trackedSource {
	return &trackedSource{
		settings:        settings,
		gaps:            NewGapDetector(settings.HeartbeatInterval),
		heartbeatGaps:   NewGapDetector(settings.HeartbeatInterval),
		kinds:           map[string]*entryKind{},
		lastMessageAt:   never,
		heartbeatAt:     never,
		currentAt:       never,
		advancedTo:      never,
		calledAt:        never,
		confirmedAt:     never,
		supersededSince: never,
	}
}

// source returns a source of the settings. The error is UnknownSourceError.
func (v *View) source(name string) (*trackedSource, error) {
	if s := v.sourceByName[name]; s != nil {
		return s, nil
	}
	return nil, UnknownSourceError{name}
}

// kind returns a source's kind of entries, and creates it if it does not exist.
func (v *View) kind(s *trackedSource, name string) *entryKind {
	if k := s.kinds[name]; k != nil {
		return k
	}
	prior, ok := v.settings.Kinds[name]
	if !ok {
		prior = DefaultPrior
	}
	k := &entryKind{name: name, rate: NewChangeRate(prior, v.settings.RateShape)}
	s.kinds[name] = k
	s.kindOrder = append(s.kindOrder, k)
	return k
}

// addEntry adds an entry and reports whether it replaced another entry of the same name.
func (v *View) addEntry(s *trackedSource, e Entry) bool {
	previous := v.entries[e.Name]
	if previous != nil && previous.source == s && previous.Entry == e {
		previous.odds = 1
		return false
	}
	if previous != nil {
		if previous.odds != 1 {
			v.falseRefusals -= previous.falseAlarm
		}
		v.removeEntry(previous)
	}
	added := &trackedEntry{
		Entry:       e,
		source:      s,
		kind:        v.kind(s, e.Kind),
		confirmedAt: never,
		checkedAt:   never,
		probedAt:    never,
		odds:        1,
	}
	v.assignHandle(added)
	added.kind.entries++
	v.entries[e.Name] = added
	v.entryOrder = slices.Insert(v.entryOrder, v.entryIndex(e.Name), added)
	if e.Route != "" {
		r := v.route(e.Route)
		r.entries = append(r.entries, added)
	}
	return previous != nil
}

// removeEntry removes a listed entry and releases its handle.
func (v *View) removeEntry(e *trackedEntry) {
	e.kind.entries--
	v.releaseHandle(e)
	delete(v.entries, e.Name)
	i := v.entryIndex(e.Name)
	v.entryOrder = slices.Delete(v.entryOrder, i, i+1)
	if r := v.routeByName[e.Route]; r != nil {
		r.entries = slices.DeleteFunc(r.entries, func(listed *trackedEntry) bool { return listed == e })
	}
}

// entryIndex returns the index in entryOrder at which an entry of this name is, or is to be inserted.
func (v *View) entryIndex(name string) int {
	i, _ := slices.BinarySearchFunc(v.entryOrder, name, func(e *trackedEntry, name string) int {
		return strings.Compare(e.Name, name)
	})
	return i
}
