package staleness

import "time"

// Handle names a listed entry for looks at a Snapshot. It is never used again for another entry of the same slot.
type Handle uint64

func (h Handle) slot() uint32       { return uint32(h) }
func (h Handle) generation() uint32 { return uint32(h >> 32) }

func (v *View) assignHandle(e *trackedEntry) {
	var slot uint32
	if n := len(v.freeSlots); n > 0 {
		slot, v.freeSlots = v.freeSlots[n-1], v.freeSlots[:n-1]
		v.slots[slot] = e
		v.generations[slot]++
	} else {
		slot = uint32(len(v.slots))
		v.slots, v.generations = append(v.slots, e), append(v.generations, 1)
	}
	e.handle = Handle(v.generations[slot])<<32 | Handle(slot)
}

// Handle is the handle of a listed entry, 0 if there is none. It ends when the entry changes.
func (v *View) Handle(name string) Handle {
	if e := v.entries[name]; e != nil {
		return e.handle
	}
	return 0
}

// RouteIndex is the index of a route in each Snapshot from now on, -1 if nobody told of it.
func (v *View) RouteIndex(name string) int {
	if r := v.routeByName[name]; r != nil {
		return r.index
	}
	return -1
}

// routeSnapshot is a route in a snapshot.
type routeSnapshot struct {
	confidence  float32
	level       Level
	permissions [3]Permission
}

type entrySnapshot struct {
	generation uint32
	confidence float32
	permitted  [3]bool
}

// Snapshot is what a request looks at: built once a tick, never changed, free to be read by many at once. Looks allocate nothing and
// take no lock; what they don't find is blind.
type Snapshot struct {
	At         time.Duration
	RetryAfter time.Duration
	routes     []routeSnapshot
	entries    []entrySnapshot
}

// Tick brings all routes up to now and builds a snapshot.
func (v *View) Tick(now time.Duration) *Snapshot {
	s := &Snapshot{At: now, RetryAfter: v.RetryAfter(), routes: make([]routeSnapshot, len(v.routeByIndex)), entries: make([]entrySnapshot, len(v.slots))}
	for _, r := range v.routes {
		v.evaluateRoute(r, now)
		look := routeSnapshot{confidence: float32(r.confidence), level: r.level}
		for e := range look.permissions {
			look.permissions[e] = PermissionFor(r.level, Idempotency(e))
		}
		s.routes[r.index] = look
	}
	for i, e := range v.slots {
		if e == nil {
			continue
		}
		look := entrySnapshot{generation: e.handle.generation()}
		if r := v.routeByName[e.Route]; r == nil || e.Route == "" {
			look.confidence = float32(v.Confidence(now, e.Name))
		} else {
			look.confidence = float32(e.confidence) // weighed just now
			for effect := range look.permitted {
				look.permitted[effect] = v.permits(r, e, Idempotency(effect))
			}
		}
		s.entries[i] = look
	}
	return s
}

// Route is a route's level and chance.
func (s *Snapshot) Route(index int) (Level, float32) {
	if uint(index) >= uint(len(s.routes)) {
		return Blind, 0
	}
	r := &s.routes[index]
	return r.level, r.confidence
}

// Permission is what a route allows a request of an effect class.
func (s *Snapshot) Permission(index int, e Idempotency) Permission {
	if uint(index) >= uint(len(s.routes)) || int(e) >= 3 {
		return FloorOrReject
	}
	return s.routes[index].permissions[e]
}

// Entry is the chance that an entry is as believed, and whether a request of an effect class may go to it.
func (s *Snapshot) Entry(h Handle, e Idempotency) (chance float32, may bool) {
	if uint(h.slot()) >= uint(len(s.entries)) || int(e) >= 3 {
		return 0, false
	}
	l := &s.entries[h.slot()]
	if l.generation != h.generation() || h == 0 {
		return 0, false
	}
	return l.confidence, l.permitted[e]
}
