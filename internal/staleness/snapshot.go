package staleness

import "time"

// Handle names a listed entry in a Snapshot: a slot, and the slot's generation so that a handle never finds a later
// entry. 0 names none.
type Handle uint64

// generationShift is the position of the generation in a Handle.
const generationShift = 32

func newHandle(slot, generation uint32) Handle {
	return Handle(generation)<<generationShift | Handle(slot)
}

func (h Handle) slot() uint32       { return uint32(h) }
func (h Handle) generation() uint32 { return uint32(h >> generationShift) }

// assignHandle gives an entry a free slot, or a new one.
func (v *View) assignHandle(e *trackedEntry) {
	if len(v.freeSlots) == 0 {
		v.freeSlots = append(v.freeSlots, uint32(len(v.slots)))
		v.slots = append(v.slots, nil)
		v.generations = append(v.generations, 0)
	}
	last := len(v.freeSlots) - 1
	slot := v.freeSlots[last]
	v.freeSlots = v.freeSlots[:last]
	v.slots[slot] = e
	v.generations[slot]++
	e.handle = newHandle(slot, v.generations[slot])
}

func (v *View) releaseHandle(e *trackedEntry) {
	slot := e.handle.slot()
	v.slots[slot] = nil
	v.freeSlots = append(v.freeSlots, slot)
}

// Handle is the handle of a listed entry, 0 if there is none. It ends when the entry changes.
func (v *View) Handle(name string) Handle {
	if e := v.entries[name]; e != nil {
		return e.handle
	}
	return 0
}

// RouteIndex is the index of a route in each later Snapshot, -1 if no source named it.
func (v *View) RouteIndex(name string) int {
	if r := v.routeByName[name]; r != nil {
		return r.index
	}
	return -1
}

type routeSnapshot struct {
	confidence  float32
	level       Level
	permissions [idempotencyClasses]Permission
}

type entrySnapshot struct {
	generation uint32
	confidence float32
	permitted  [idempotencyClasses]bool
}

// Snapshot is what requests read. It never changes, so any number of goroutines may read it at once; its methods
// neither allocate nor lock. What it does not contain is Blind.
type Snapshot struct {
	At         time.Duration // when it was made
	RetryAfter time.Duration // see View.RetryAfter
	routes     []routeSnapshot
	entries    []entrySnapshot
}

// Tick brings all routes up to now and makes a snapshot.
func (v *View) Tick(now time.Duration) *Snapshot {
	s := &Snapshot{
		At:         now,
		RetryAfter: v.RetryAfter(),
		routes:     make([]routeSnapshot, len(v.routeByIndex)),
		entries:    make([]entrySnapshot, len(v.slots)),
	}
	for _, r := range v.routes {
		v.evaluateRoute(r, now)
		s.routes[r.index] = r.snapshot()
	}
	for slot, e := range v.slots {
		if e != nil {
			s.entries[slot] = v.entrySnapshot(e, now)
		}
	}
	return s
}

func (r *routeState) snapshot() routeSnapshot {
	s := routeSnapshot{confidence: float32(r.confidence), level: r.level}
	for class := range s.permissions {
		s.permissions[class] = PermissionFor(r.level, Idempotency(class))
	}
	return s
}

// entrySnapshot uses the evaluation of the entry's route, which must be that of now.
func (v *View) entrySnapshot(e *trackedEntry, now time.Duration) entrySnapshot {
	s := entrySnapshot{generation: e.handle.generation()}
	r := v.routeByName[e.Route]
	if r == nil || e.Route == "" {
		s.confidence = float32(v.Confidence(now, e.Name))
		return s
	}
	s.confidence = float32(e.confidence)
	for class := range s.permitted {
		s.permitted[class] = r.permits(e, Idempotency(class))
	}
	return s
}

// Route is a route's level, and the probability that acting on its list is right.
func (s *Snapshot) Route(index int) (Level, float32) {
	if uint(index) >= uint(len(s.routes)) {
		return Blind, 0
	}
	r := &s.routes[index]
	return r.level, r.confidence
}

// Permission is what a route permits for a request.
func (s *Snapshot) Permission(index int, idempotency Idempotency) Permission {
	if uint(index) >= uint(len(s.routes)) || idempotency >= idempotencyClasses {
		return FloorOrReject
	}
	return s.routes[index].permissions[idempotency]
}

// Entry is the probability that an entry is as listed, and whether a request may go to it.
func (s *Snapshot) Entry(h Handle, idempotency Idempotency) (confidence float32, permitted bool) {
	if uint(h.slot()) >= uint(len(s.entries)) || idempotency >= idempotencyClasses {
		return 0, false
	}
	e := &s.entries[h.slot()]
	if e.generation != h.generation() || h == 0 {
		return 0, false
	}
	return e.confidence, e.permitted[idempotency]
}
