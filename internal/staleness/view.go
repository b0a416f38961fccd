package staleness

import (
	"errors"
	"math"
	"slices"
	"time"
)

// Entry is one thing that a source tells of.
type Entry struct {
	Name        string // such as the address; one name is one entry, whichever source tells of it
	Kind        string
	Route       string // that it serves; empty for none
	Incarnation uint64 // start time of the process that answers there: another one is another entry
}

// Change is an entry as it is now, or that it is gone.
type Change struct {
	Entry
	Removed bool
}

// Update is what a source said.
type Update struct {
	Version       uint64
	Changes       []Change // all there is, if Whole
	Complete      bool     // the answer to a call: what is not named is gone
	LatestVersion uint64   // the highest version that the sender knows of; 0 if it does not say
	// Asked is when the call was sent of which Whole is the answer: the list is at least as new. 0 stands for the moment of the answer.
	RequestedAt time.Duration
}

// FailureKind is how a call or a watch failed.
type FailureKind int

const (
	// WatchBroken is a watch that is over: nothing is heard until there is a new one.
	WatchBroken FailureKind = iota
	// CallTimedOut is a call beside the watch that got no answer.
	CallTimedOut
)

// EvidenceKind is what speaks against a view.
type EvidenceKind int

const (
	// Refused is a listed server that takes no connection or turns a request away as not its own. Servers do so for other reasons too.
	Refused EvidenceKind = iota
	// OtherIncarnation is another process at an entry's address.
	OtherIncarnation
	// TokenRejected is a server that knows a later fencing token than the one that was sent.
	TokenRejected
	// LaterVersion is a steward or peer that knows a later version; it speaks against the source, not an entry.
	LaterVersion
)

// Evidence against a view. Entry is empty for LaterNumber; Version is the number that the other knows, 0 if it did not say.
type Evidence struct {
	Kind    EvidenceKind
	Entry   string
	Version uint64
}

const never = time.Duration(math.MinInt64 / 4)

type entryKind struct {
	name    string
	rate    *ChangeRate
	entries int
}

type trackedEntry struct {
	Entry
	source             *trackedSource
	kind               *entryKind
	confirmedAt        time.Duration // last answer as believed
	checkedAt          time.Duration // last attempt that told something
	falseAlarm         float64       // the chance, when it was contradicted first, that it was as believed nevertheless
	unfollowedSurvival float64       // the chance, before that, that it was as believed if the view does not follow
	odds               float64       // by which contradictions since have multiplied the odds that it is as believed
	confidence         float64       // chance at the last weighing of its route
	probedAt           time.Duration // last probe that Spend gave out
	handle             Handle
}

type trackedSource struct {
	settings                        SourceSettings
	filter                          filter
	gaps, heartbeatGaps             *GapDetector
	known                           bool
	version                         uint64
	heardAt, heartbeatAt            time.Duration // last news; last news without changes
	currentAt                       time.Duration // what is held was the truth at that moment at the earliest
	calledAt                        time.Duration // last call that Spend gave out
	advancedTo                      time.Duration // up to which the filter has passed
	heartbeatDelay                  time.Duration // how late the last beat was
	regularHeartbeats               int           // beats in a row that came in time after the one before
	drainingBacklog                 bool          // after a stop, what comes was sent during it
	resumedAt, backlogCurrentAt     time.Duration // when the last stop ended; how new is, at the least, what came since
	confirmedAt, supersededSince    time.Duration // when another last knew the same version; since when one knows a later one, never if it was made good
	knownVersion                    uint64        // that later one
	silentWatches, watchedSeconds   float64       // watches that fell silent, in so many seconds
	wrongWhileLive, hazardWhileLive float64       // attempts while live that found an entry wrong; hazard a second of all these attempts
	kinds                           map[string]*entryKind
	kindOrder                       []*entryKind
}

// View is all sources of an edge.
type View struct {
	settings                     Settings
	sources                      []*trackedSource
	sourceByName                 map[string]*trackedSource
	entries                      map[string]*trackedEntry
	entryOrder                   []*trackedEntry // by name
	falseRefusals, confirmations float64         // refusals by servers that were as believed, as far as known; answers of such
	contradictions               [4]float64      // contradictions by kind of entries that were not
	routes                       []*routeState   // by name
	routeByIndex                 []*routeState   // by index
	slots                        []*trackedEntry
	generations                  []uint32
	freeSlots                    []uint32
	routeByName                  map[string]*routeState
}

// New makes a view that knows nothing. Errors are BadSettings, joined.
func New(s Settings) (*View, error) {
	if err := s.fill(); err != nil {
		return nil, err
	}
	v := &View{settings: s, sourceByName: map[string]*trackedSource{}, entries: map[string]*trackedEntry{}, routeByName: map[string]*routeState{}}
	for _, ss := range s.Sources {
		src := &trackedSource{settings: ss, gaps: NewGapDetector(ss.HeartbeatInterval), heartbeatGaps: NewGapDetector(ss.HeartbeatInterval), kinds: map[string]*entryKind{}, heardAt: never, heartbeatAt: never,
			currentAt: never, advancedTo: never, calledAt: never, confirmedAt: never, supersededSince: never}
		v.sources, v.sourceByName[ss.Name] = append(v.sources, src), src
		if ss.AffectsAllRoutes {
			v.list(src, Entry{Name: ss.Name, Kind: ss.Name})
		}
	}
	return v, nil
}

func (v *View) source(name string) (*trackedSource, error) {
	if s := v.sourceByName[name]; s != nil {
		return s, nil
	}
	return nil, UnknownSourceError{name}
}

func (v *View) kind(s *trackedSource, name string) *entryKind {
	k := s.kinds[name]
	if k == nil {
		p, ok := v.settings.Kinds[name]
		if !ok {
			p = DefaultPrior
		}
		k = &entryKind{name: name, rate: NewChangeRate(p, v.settings.RateShape)}
		s.kinds[name] = k
		s.kindOrder = append(s.kindOrder, k)
	}
	return k
}

// list lists an entry and tells whether that changed one that was listed.
func (v *View) list(s *trackedSource, e Entry) bool {
	was := v.entries[e.Name]
	if was != nil && was.source == s && was.Entry == e {
		was.odds = 1
		return false
	}
	if was != nil {
		if was.odds != 1 {
			v.falseRefusals -= was.falseAlarm
		}
		v.unlist(was)
	}
	n := &trackedEntry{Entry: e, source: s, kind: v.kind(s, e.Kind), confirmedAt: never, checkedAt: never, probedAt: never, odds: 1}
	v.assignHandle(n)
	n.kind.entries++
	v.entries[e.Name] = n
	i, _ := slices.BinarySearchFunc(v.entryOrder, e.Name, func(a *trackedEntry, name string) int { return cmpString(a.Name, name) })
	v.entryOrder = slices.Insert(v.entryOrder, i, n)
	if e.Route != "" {
		r := v.route(e.Route)
		r.entries = append(r.entries, n)
	}
	return was != nil
}

func (v *View) unlist(e *trackedEntry) {
	e.kind.entries--
	v.slots[e.handle.slot()] = nil
	v.freeSlots = append(v.freeSlots, e.handle.slot())
	delete(v.entries, e.Name)
	i, _ := slices.BinarySearchFunc(v.entryOrder, e.Name, func(a *trackedEntry, name string) int { return cmpString(a.Name, name) })
	v.entryOrder = slices.Delete(v.entryOrder, i, i+1)
	if r := v.routeByName[e.Route]; r != nil {
		r.entries = slices.DeleteFunc(r.entries, func(x *trackedEntry) bool { return x == e })
	}
}

// silentWatchRate is the learned hazard of a watch to fall silent, a second.
func (v *View) silentWatchRate(s *trackedSource) float64 {
	return (.5 + s.silentWatches) / (.5/v.settings.SilentWatchRate + s.watchedSeconds)
}

// advance lets silence up to now weigh.
func (v *View) advance(s *trackedSource, now time.Duration) {
	if now-s.advancedTo < min(s.gaps.Percentile90()/20, 50*time.Millisecond) {
		return
	}
	if s.heardAt == never { // only a saved view: it cannot get any deader
		s.advancedTo = now
		return
	}
	step := max((now-s.advancedTo+31)/32, min(now-s.advancedTo, s.gaps.Percentile90()/4))
	hazard := v.silentWatchRate(s)
	for s.advancedTo < now {
		to := min(now, s.advancedTo+step)
		still := min(1, max(s.gaps.SilenceProbability(to-s.heardAt), 1e-250)/max(s.gaps.SilenceProbability(s.advancedTo-s.heardAt), 1e-250))
		if v.settings.omitted == termPhi {
			still, hazard = 1, 0
		}
		s.filter.advance(s.advancedTo, to, still, hazard, v.settings.StaleAnswerRate, v.settings.StaleAnswerRecoveryRate)
		s.advancedTo = to
	}
	for _, k := range s.kindOrder {
		k.rate.fade(step)
	}
}

// ApplyUpdate takes news in: changes, or the whole list as the answer to a call. Errors are UnknownSource, or NameTaken for entries that were
// left out; the rest is taken in.
func (v *View) ApplyUpdate(now time.Duration, name string, n Update) error {
	s, err := v.source(name)
	if err != nil {
		return err
	}
	var errs []error
	changes := map[string]int{}
	any := false
	note := func(k string, changed bool) {
		if changed {
			changes[k]++
			any = true
		}
	}
	if n.Complete && !s.settings.AffectsAllRoutes {
		listed := map[string]bool{}
		for _, c := range n.Changes {
			listed[c.Name] = listed[c.Name] || !c.Removed
		}
		for _, e := range slices.Clone(v.entryOrder) {
			if e.source == s && !listed[e.Name] {
				note(e.Kind, s.known)
				v.unlist(e)
			}
		}
	}
	for _, c := range n.Changes {
		if s.settings.AffectsAllRoutes {
			continue
		}
		if b := v.sourceByName[c.Name]; b != nil && b.settings.AffectsAllRoutes {
			errs = append(errs, NameTakenError{c.Name})
			continue
		}
		if e := v.entries[c.Name]; c.Removed {
			if e != nil && e.source == s {
				note(e.Kind, true)
				v.unlist(e)
			}
			continue
		}
		note(c.Kind, v.list(s, c.Entry))
	}
	if s.settings.AffectsAllRoutes {
		note(name, s.known && n.Version != s.version)
		v.entries[name].odds = 1
	}
	asked := now
	if n.RequestedAt > 0 {
		asked = min(now, n.RequestedAt)
	}
	good := s.knownVersion > 0 && n.Version >= s.knownVersion // what another knew has come
	v.receive(s, now, asked, changes, any || good, n.Complete, false)
	if s.version = n.Version; good || any && s.knownVersion == 0 {
		s.supersededSince, s.knownVersion = never, 0
	}
	if n.LatestVersion > n.Version {
		v.recordLaterVersion(s, now, n.LatestVersion)
	}
	return errors.Join(errs...)
}

// RecordHeartbeat takes an answer or a beat without changes in.
func (v *View) RecordHeartbeat(now time.Duration, name string) error {
	s, err := v.source(name)
	if err != nil {
		return err
	}
	v.receive(s, now, now, nil, false, false, true)
	return nil
}

func (v *View) receive(s *trackedSource, now, asked time.Duration, changes map[string]int, changed, whole, quiet bool) {
	first := s.heardAt == never
	v.advance(s, now)
	dead := s.filter.silentWeight()
	usual := s.heartbeatGaps.Percentile90()
	if !first {
		gap := now - s.heardAt
		if s.known {
			for _, k := range s.kindOrder {
				k.rate.Observe(gap, k.entries, 0)
			}
		}
		// A watch that speaks again was not dead; a new one, or the end of a long silence, says how sure one could be.
		silent := 0.0
		if whole || gap > 3*s.gaps.Percentile90() {
			silent = dead
		}
		if !s.drainingBacklog && !whole && silent < .9 {
			s.gaps.Observe(gap)
		}
		s.silentWatches += silent
		s.watchedSeconds += gap.Seconds() * (1 - silent)
	}
	for _, k := range s.kindOrder {
		if n := changes[k.name]; n > 0 {
			k.rate.Observe(0, 0, n)
		}
		if dead > .5 {
			k.rate.trialChanges, k.rate.trialHazard = 0, 0
		}
	}
	switch {
	case whole:
		s.currentAt = max(s.currentAt, asked)
		s.drainingBacklog = s.drainingBacklog && asked < s.resumedAt
		if now-s.heartbeatAt > 2*usual { // of a new watch
			s.heartbeatAt, s.heartbeatDelay = never, 0
		}
	case s.drainingBacklog && now-s.heardAt < usual/2: // sent during the stop: a beat newer than the one before
		if quiet {
			s.backlogCurrentAt = min(now, s.backlogCurrentAt+s.heartbeatGaps.Percentile10())
			s.currentAt = max(s.currentAt, s.backlogCurrentAt)
		}
	case quiet:
		s.drainingBacklog = false
		if gap := now - s.heartbeatAt; s.heartbeatAt == never || gap > 3*usual { // the first of a row: nobody knows how late it is
			s.heartbeatDelay = min(2*usual, now-s.currentAt)
		} else {
			s.heartbeatDelay = max(0, s.heartbeatDelay+gap-usual)
			if s.regularHeartbeats++; gap < usual*4/5 || gap > usual*6/5 {
				s.regularHeartbeats = 0
			}
			if s.regularHeartbeats >= 3 { // nothing that is queued keeps the beat for so long
				s.heartbeatDelay = 0
			}
			if s.heartbeatDelay == 0 || gap < usual*3/2 {
				s.heartbeatGaps.Observe(gap)
			}
		}
		s.currentAt, s.heartbeatAt = max(s.currentAt, now-s.heartbeatDelay), now
	default: // at least as new as the message before it: the order is kept
		s.drainingBacklog = false
	}
	if s.drainingBacklog {
		s.filter.received(changed)
		s.filter.silence(s.currentAt, now)
	} else {
		s.filter.received(changed)
	}
	if !s.known {
		s.filter = filter{live: 1}
	}
	s.known, s.heardAt, s.advancedTo = true, now, now
}

// RecordFailure notes a call or a watch that failed. The error itself is the caller's matter.
func (v *View) RecordFailure(now time.Duration, name string, how FailureKind) error {
	s, err := v.source(name)
	if err != nil || !s.known {
		return err
	}
	v.advance(s, now)
	if v.settings.omitted == termEvidence {
		return nil
	}
	if how == WatchBroken {
		s.filter.silence(now, now)
		return nil
	}
	s.filter.update(.05, func(_ hypothesis, silent bool) float64 {
		if silent {
			return 1
		}
		return .05
	})
	return nil
}

// meanDelay is for how long an entry of a live view is wrong before it is told, on average over changes, with those that are never told.
func (s *trackedSource) meanDelay() float64 { return (.2 + s.wrongWhileLive) / (1 + s.hazardWhileLive) }

// survival is the chance of an entry to be unchanged under a guess, and the hazard that it went through; live for none.
func (v *View) survival(e *trackedEntry, now time.Duration, at time.Duration) (float64, float64) {
	from := max(e.confirmedAt, e.checkedAt)
	h := e.kind.rate.Hazard(now - at)
	if from > at {
		h -= e.kind.rate.Hazard(from - at)
	}
	if v.settings.omitted == termRate { // the prior's mean for every kind
		h = DefaultPrior.Changes / DefaultPrior.Exposure.Seconds() * (now - max(at, from)).Seconds()
		return math.Exp(-h), h
	}
	h = max(0, h) // a difference of two sums
	return e.kind.rate.Survival(h), h
}

func (v *View) survivalLive(e *trackedEntry, now time.Duration) float64 {
	d := e.source.meanDelay()
	if e.confirmedAt != never {
		d = min(d, (now - e.confirmedAt).Seconds())
	}
	return math.Exp(-e.kind.rate.Current() * max(0, d))
}

func applyOdds(same, odds float64) float64 {
	if odds == 1 {
		return same
	}
	same = min(same, 1-1e-6) // nothing is so sure that it could not be contradicted
	return odds * same / (odds*same + 1 - same)
}

// confidence is the chance that an entry is as believed, by the filter as it stands.
func (v *View) confidence(e *trackedEntry, now time.Duration) float64 {
	s := e.source
	p := s.filter.live * applyOdds(v.survivalLive(e, now), e.odds)
	for _, gs := range [2][]hypothesis{s.filter.silent, s.filter.stale} {
		for _, g := range gs {
			if g.weight < 1e-5 {
				continue
			}
			q, _ := v.survival(e, now, g.at)
			if e.odds != 1 {
				q *= applyOdds(e.unfollowedSurvival, e.odds)
			}
			p += g.weight * q
		}
	}
	return p
}

// survivalUnfollowed is the chance that an entry is as believed if the view does not follow.
func (v *View) survivalUnfollowed(e *trackedEntry, now time.Duration) float64 {
	p, w := 0.0, 0.0
	for _, gs := range [2][]hypothesis{e.source.filter.silent, e.source.filter.stale} {
		for _, g := range gs {
			q, _ := v.survival(e, now, g.at)
			p, w = p+g.weight*q, w+g.weight
		}
	}
	if w < minWeight {
		return 1
	}
	return p / w
}

// RecordSuspension notes that this process did not run for the gap before now (SIGSTOP, a suspended machine): its clock jumped between two
// ticks. Silence in it says nothing of the watch, and what comes right after it was sent while the process stood.
func (v *View) RecordSuspension(now, gap time.Duration) {
	if gap <= 0 || v.settings.omitted == termSuspension {
		return
	}
	for _, s := range v.sources {
		if !s.known || s.heardAt == never {
			continue
		}
		v.advance(s, now-gap)
		s.filter.silence(max(s.currentAt, now-gap), now)
		s.backlogCurrentAt = s.currentAt - s.heartbeatGaps.Percentile90()
		if s.heartbeatAt != never {
			s.backlogCurrentAt = s.heartbeatAt - s.heartbeatDelay
		}
		s.drainingBacklog, s.heartbeatDelay, s.resumedAt = true, 0, now
		s.heardAt, s.advancedTo, s.heartbeatAt = now, now, never
	}
}

// Restore begins anew on what the process before saved: so long ago; negative if nobody can tell. What was learned stays.
func (v *View) Restore(now, savedAge time.Duration) {
	for _, s := range v.sources {
		if v.settings.omitted == termRestart {
			s.known, s.heardAt, s.advancedTo, s.currentAt, s.filter = true, now, now, now, filter{live: 1}
			continue
		}
		s.known, s.heardAt, s.heartbeatAt, s.heartbeatDelay, s.drainingBacklog = savedAge >= 0, never, never, 0, false
		s.currentAt, s.advancedTo = now-max(0, savedAge), now
		s.confirmedAt, s.supersededSince, s.knownVersion = s.currentAt, never, 0
		s.filter.collapse(s.currentAt)
		if !s.known { // an age from 1 s to an hour, the young likelier; attempts tell more
			s.filter.silent = s.filter.silent[:0]
			for age := time.Hour; age >= time.Second; age /= 2 {
				s.filter.silent = append(s.filter.silent, hypothesis{now - age, 1 / math.Sqrt(age.Seconds())})
			}
			s.filter.normalize()
		}
	}
	for _, e := range v.entryOrder {
		e.confirmedAt, e.checkedAt, e.odds = never, never, 1
	}
}

// Age is a bound on how old what is held of a source may be: it was the truth at some moment not longer ago. known is false if nobody
// can tell; then the bound means nothing. This is the age of information of Kaul, Yates and Gruteser (INFOCOM 2012).
func (v *View) Age(now time.Duration, name string) (bound time.Duration, known bool) {
	s := v.sourceByName[name]
	if s == nil || !s.known {
		return 0, false
	}
	v.advance(s, now)
	bound = now - s.currentAt + v.settings.MaxTransit
	if s.supersededSince != never && s.confirmedAt != never { // what it heard since is not the truth of when it heard it
		bound = max(bound, now-s.confirmedAt+v.settings.MaxTransit)
	}
	w := 0.0
	for _, g := range s.filter.stale {
		if w += g.weight; w > v.settings.StaleAnswerThreshold {
			bound = max(bound, now-g.at+v.settings.MaxTransit)
			break
		}
	}
	return bound, true
}

// Confidence is the chance that acting on an entry now is right: it is still as believed. 0 for what is not listed or of unknown age.
func (v *View) Confidence(now time.Duration, name string) float64 {
	e := v.entries[name]
	if e == nil {
		return 0
	}
	v.advance(e.source, now)
	return v.confidence(e, now)
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
