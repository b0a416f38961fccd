package calibrate

import (
	"time"

	"lapisspread/internal/staleness"
)

// messageKind says what a message carries.
type messageKind int

const (
	heartbeat    messageKind = iota // on the watch
	change                          // of one server, on the watch
	completeList                    // the answer to a call
)

// message is a message in transit from the discovery service to a proxy.
type message struct {
	kind            messageKind
	arrivesAt       time.Duration
	requestedAt     time.Duration // of a complete list: when the call was sent
	contentAt       time.Duration // the moment whose true list it carries
	staleAnswer     bool          // from a discovery service that answers with an old list
	version         uint64
	previousVersion uint64   // of a change: the version before it
	server          int      // of a change: the index of the changed server
	incarnations    []uint64 // of the changed server, or of all servers
}

const (
	heartbeatInterval = time.Second
	minHeartbeatPace  = .97  // shortest time between heartbeats, as a fraction of heartbeatInterval
	heartbeatSpread   = .06  // longest minus shortest time, as a fraction of heartbeatInterval
	changeLossChance  = .003 // probability that the watch loses a change
	minTransit        = 15 * time.Millisecond
	meanExtraTransit  = 25 * time.Millisecond
	lateChance        = .01 // probability that a message is late, by minLateness to maxLateness
	minLateness       = 300 * time.Millisecond
	maxLateness       = 2 * time.Second
	// requestTransit is the time from a call to the moment at which the discovery service makes the answer.
	requestTransit = 40 * time.Millisecond
)

// send sends a message on a proxy's watch, unless there is no watch or a fault blocks the message.
func (s *simulation) send(p *proxy, now time.Duration, m message) {
	if !p.watching() || p.fault == silentWatch || p.fault == partition || now < s.outageUntil {
		return
	}
	if p.fault == staleList {
		if m.kind == change {
			return
		}
		m.contentAt = p.staleList.at
		m.staleAnswer = true
	}
	if m.kind == change && p.rng.Float64() < changeLossChance {
		if p.firstLossAt < 0 {
			p.firstLossAt = now
		}
		return
	}
	transit := minTransit + time.Duration(p.rng.ExpFloat64()*float64(meanExtraTransit))
	if p.rng.Float64() < lateChance {
		transit += uniform(p.rng, minLateness, maxLateness)
	}
	m.arrivesAt = now + transit
	p.enqueue(m)
}

// sendHeartbeat sends a heartbeat if one is due.
func (s *simulation) sendHeartbeat(p *proxy, now time.Duration) {
	if !p.watching() || now < p.nextHeartbeat {
		return
	}
	s.send(p, now, message{kind: heartbeat, contentAt: now})
	pace := minHeartbeatPace + heartbeatSpread*p.rng.Float64()
	p.nextHeartbeat = now + time.Duration(float64(heartbeatInterval)*pace)
}

// sendCompleteList answers a call with the list at the moment contentAt.
func (s *simulation) sendCompleteList(p *proxy, contentAt, arrivesAt time.Duration) {
	m := message{
		kind:         completeList,
		arrivesAt:    arrivesAt,
		requestedAt:  contentAt - requestTransit,
		contentAt:    contentAt,
		version:      s.version,
		incarnations: s.incarnations(),
	}
	if p.fault == staleList {
		m.staleAnswer = true
		m.contentAt = p.staleList.at
		m.version = p.staleList.version
		m.incarnations = p.staleList.incarnations
	}
	p.enqueue(m)
}

// enqueue adds a message to the proxy's queue. Messages arrive in the order in which they were sent.
func (p *proxy) enqueue(m message) {
	m.arrivesAt = max(p.lastArrival, m.arrivesAt)
	p.lastArrival = m.arrivesAt
	p.queue = append(p.queue, m)
}

// receive applies all messages that have arrived at a proxy.
func (s *simulation) receive(p *proxy, now time.Duration) error {
	for len(p.queue) > 0 && p.queue[0].arrivesAt <= now {
		m := p.queue[0]
		p.queue = p.queue[1:]
		if m.kind != completeList && !p.watching() { // sent on a watch that has ended
			continue
		}
		p.lastMessageAt = now
		p.contentAt = max(p.contentAt, m.contentAt)
		p.staleAnswer = m.staleAnswer
		if err := s.apply(p, now, m); err != nil {
			return err
		}
	}
	return nil
}

// apply passes a message to the proxy's view.
func (s *simulation) apply(p *proxy, now time.Duration, m message) error {
	switch m.kind {
	case heartbeat:
		return p.view.RecordHeartbeat(now, listSource)
	case change:
		incarnation := m.incarnations[0]
		p.incarnations[m.server] = incarnation
		if m.previousVersion != p.version { // a change was lost: request the complete list
			p.callNow(now)
		}
		p.version = m.version
		changes := []staleness.Change{s.newChange(m.server, incarnation)}
		return p.view.ApplyUpdate(now, listSource, staleness.Update{Version: m.version, Changes: changes})
	}
	return s.applyCompleteList(p, now, m)
}

// applyCompleteList replaces the proxy's list, starts a watch if there is none, and passes the list to the view.
func (s *simulation) applyCompleteList(p *proxy, now time.Duration, m message) error {
	update := staleness.Update{Version: m.version, Complete: true, RequestedAt: m.requestedAt}
	for i, incarnation := range m.incarnations {
		p.incarnations[i] = incarnation
		if incarnation != 0 {
			update.Changes = append(update.Changes, s.newChange(i, incarnation))
		}
	}
	if m.version < p.version { // an older list replaces a newer one
		p.contentAt = m.contentAt
	}
	p.version = m.version
	p.firstLossAt = -1
	if !p.watching() {
		p.nextHeartbeat = now
	}
	return p.view.ApplyUpdate(now, listSource, update)
}

func (s *simulation) newChange(i int, incarnation uint64) staleness.Change {
	kind := kinds[s.servers[i].kind].name
	return staleness.Change{
		Entry:   staleness.Entry{Name: s.names[i], Kind: kind, Route: kind, Incarnation: incarnation},
		Removed: incarnation == 0,
	}
}
