package staleness

import "time"

// Handle identifies a listed entry in a Snapshot. It consists of a slot and the slot's generation, so that a handle
// never refers to a later entry in the same slot. 0 refers to no entry.
type Handle uint64

// generationShift is the position of the generation in a Handle.
const generationShift = 32

func newHandle(slot, generation uint32) Handle {
	return Handle(generation)<<generationShift | Handle(slot)
}

func (h Handle) slot() uint32       { return uint32(h) }
func (h Handle) generation() uint32 { return uint32(h >> generationShift) }

// assignHandle assigns an entry to a free slot, or to a new slot if none is free.
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

// Handle returns the handle of a listed entry, or 0 if the entry is not listed. The handle is invalid once the entry
// changes.
func (v *View) Handle(name string) Handle {
	if e := v.entries[name]; e != nil {
		return e.handle
	}
	return 0
}

// RouteIndex returns the index of a route in each later Snapshot, or -1 if no source has listed the route.
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

// Snapshot is an immutable copy of the levels and confidences of a View, read for each request. Any number of
// goroutines may read it at once; its methods neither allocate nor lock. Routes that it does not contain are Blind.
type Snapshot struct {
	At         time.Duration // the time of the Tick that made it
	RetryAfter time.Duration // see View.RetryAfter
	routes     []routeSnapshot
	entries    []entrySnapshot
}

// Tick evaluates all routes at the time now and returns a snapshot.
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

// entrySnapshot returns the snapshot of an entry. The entry's route must have been evaluated at the time now.
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

// Route returns a route's level and the probability that acting on its list is right. index is that of View.RouteIndex.
func (s *Snapshot) Route(index int) (Level, float32) {
	if uint(index) >= uint(len(s.routes)) {
		return Blind, 0
	}
	r := &s.routes[index]
	return r.level, r.confidence
}

// Permission returns what a route permits for a request.
func (s *Snapshot) Permission(index int, idempotency Idempotency) Permission {
	if uint(index) >= uint(len(s.routes)) || idempotency >= idempotencyClasses {
		return FloorOrReject
	}
	return s.routes[index].permissions[idempotency]
}

// Entry returns the probability that an entry is as listed, and whether a request may go to it.
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
