// Package peer decides what is done with the connections to one Diameter peer: who connects, which of two simultaneous
// connections stays, whether the peer is well, when to come again. It is pure: events go in with the time, actions come
// out; sockets and messages are the caller's.
//
// It is the peer state machine of RFC 6733, section 5.6, with the watchdog of RFC 3539, section 3.4, and the back-off of
// section 2.1 of RFC 6733 (Tc).
package peer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// State is where a peer stands.
type State uint8

// The states of RFC 6733, section 5.6.
const (
	Closed State = iota
	WaitConnAck
	WaitICEA
	WaitConnAckElect
	WaitReturns
	ROpen
	IOpen
	Closing
)

func (s State) String() string {
	return [...]string{"closed", "wait-conn-ack", "wait-i-cea", "wait-conn-ack/elect", "wait-returns", "r-open", "i-open", "closing"}[s]
}

// Side tells the connection that we have begun from the one that the peer has.
type Side uint8

// The sides.
const (
	Initiator Side = iota // ours
	Responder             // the peer's
)

func (s Side) String() string { return [...]string{"I", "R"}[s] }

// Kind is what has happened.
type Kind uint8

// The events.
const (
	Start         Kind = iota // the peer is wanted
	Stop                      // it is not wanted any more: Cause says why
	Connected                 // our connection is there
	ConnectFailed             // or could not be made
	CER                       // the peer asks on a new connection; a second one on the same is Garbage
	CEA                       // it answers ours: Code says how
	DWR                       // watchdog
	DWA
	DPR // the peer ends the connection: Cause says why
	DPA
	Message      // anything else, on an open connection or not
	Disconnected // a connection is closed, by the peer or the network
	Garbage      // its stream can't be followed
)

var kindNames = [...]string{"start", "stop", "connected", "connect-failed", "cer", "cea", "dwr", "dwa", "dpr", "dpa", "message", "disconnected", "garbage"}

func (k Kind) String() string { return kindNames[k] }

// Event is something that has happened, on a side where it is one of a connection.
type Event struct {
	Kind  Kind
	Side  Side
	Host  string // CER, CEA: the peer's Origin-Host
	Code  uint32 // CER: the Result-Code that we would answer by its capabilities; CEA: that of the answer
	Cause uint32 // Stop, DPR: a Disconnect-Cause
}

// The Disconnect-Causes of section 5.4.3.
const (
	Rebooting         = 0
	Busy              = 1
	DoNotWantToTalkTo = 2
)

// Do is what is to be done.
type Do uint8

// The actions.
const (
	Connect    Do = iota // make our connection, and tell Connected or ConnectFailed
	Accept               // take the peer's connection, the one whose CER came last
	Reject               // close the connection whose CER came last, without a word
	SendCER              // on our connection
	SendCEA              // on the peer's, with Code
	Disconnect           // close a side's connection; nothing is told of it any more
	SendDWR
	SendDWA
	SendDPR // with Cause
	SendDPA
	Deliver // the message that came
	Up      // requests may go out on that side
	Suspect // the watchdog has no answer: what is pending may be sent elsewhere, as far as its class allows
	Okay    // it has one again
	Down    // no more requests; those that are out have no answer any more
)

var doNames = [...]string{"connect", "accept", "reject", "send-cer", "send-cea", "disconnect", "send-dwr", "send-dwa", "send-dpr", "send-dpa", "deliver",
	"up", "suspect", "okay", "down"}

func (d Do) String() string { return doNames[d] }

// Action is something to be done, in the order in which it is given.
type Action struct {
	Do    Do
	Side  Side
	Code  uint32 // SendCEA
	Cause uint32 // SendDPR
}

const (
	success         = 2001
	electionLost    = 4003
	jitterPart      = 15 // the watchdog's time is moved by up to this part either way: 2 s of 30 (RFC 3539, section 3.4.1)
	reopenAfter     = 3  // watchdog answers in a row after which a peer that was down is well again
	mostBackOff     = 8  // times the reconnect time at most
	unwantedBackOff = 10 // times, after a peer has said that it does not want to talk to us
)

// Settings are what a machine goes by.
type Settings struct {
	Host       string        // our own Origin-Host: simultaneous connections are decided by it
	Watchdog   time.Duration // Tw; 6 s at least (RFC 3539)
	Handshake  time.Duration // for a connection, and for CEA
	Goodbye    time.Duration // for a DPA
	Reopen     time.Duration // between the watchdogs that a peer which was down must answer first; 0 is a third of Watchdog
	Reconnect  time.Duration // Tc: before we connect again; 0 leaves connecting to the peer
	Persistent bool          // connect again after it was closed, unless we are stopped
}

// Check tells what makes no sense, by the field's name.
func (s *Settings) Check() error {
	var errs []error
	if s.Host == "" {
		errs = append(errs, errors.New("host: missing"))
	}
	if s.Watchdog < 6*time.Second {
		errs = append(errs, fmt.Errorf("watchdog: %v is under 6s, the least that RFC 3539 allows", s.Watchdog))
	}
	if s.Handshake <= 0 || s.Goodbye <= 0 || s.Reconnect < 0 || s.Reopen < 0 {
		errs = append(errs, fmt.Errorf("handshake %v, goodbye %v, reconnect %v: wanted above 0, above 0, 0 or above", s.Handshake, s.Goodbye, s.Reconnect))
	}
	return errors.Join(errs...)
}

// Machine is one peer. It is for one caller at a time.
type Machine struct {
	set     Settings
	rng     *rand.Rand
	state   State
	wanted  bool
	peer    string // its Origin-Host, once it was told
	rCode   uint32 // what we answer to the CER of a connection that waits for the election
	failed  int    // connects in a row without an open connection
	wasDown bool   // its last connection ended without a goodbye
	expires time.Duration

	// The watchdog, while a connection is open.
	waiting   bool // for a DWA
	suspect   bool
	answered  int // watchdogs in a row
	reopening bool
	tick      time.Duration
}

const never = time.Duration(1<<63 - 1)

// New makes a machine in Closed. An error names the setting.
func New(s Settings, seed uint64) (*Machine, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return &Machine{set: s, rng: rand.New(rand.NewPCG(seed, 5)), expires: never, tick: never}, nil
}

// State is where the peer stands.
func (m *Machine) State() State { return m.state }

// Open tells whether a connection is open, and which.
func (m *Machine) Open() (Side, bool) {
	switch m.state {
	case IOpen:
		return Initiator, true
	case ROpen:
		return Responder, true
	}
	return 0, false
}

// Well tells whether requests may go to the peer: a connection is open, its watchdog answers, and after a failure has done
// so for a while.
func (m *Machine) Well() bool {
	_, open := m.Open()
	return open && !m.suspect && !m.reopening
}

// Next is when Tick must be called at the latest.
func (m *Machine) Next() time.Duration { return min(m.expires, m.tick) }

// to goes to a state, with a time-out if d is above 0.
func (m *Machine) to(now time.Duration, s State, d time.Duration) {
	m.state, m.expires = s, never
	if d > 0 {
		m.expires = now + d
	}
}

// open goes to an open state and starts the watchdog.
func (m *Machine) open(now time.Duration, side Side, out []Action) []Action {
	s := IOpen
	if side == Responder {
		s = ROpen
	}
	m.to(now, s, 0)
	m.reopening = m.wasDown // it must show that it is well first
	m.wasDown, m.failed, m.waiting, m.suspect, m.answered = false, 0, false, false, 0
	// The first watchdog comes at any time within Tw: peers that all came at once would else tick in step for many minutes, by
	// the RFC's jitter alone.
	m.tick = now + m.set.Watchdog/5 + time.Duration(m.rng.Int64N(int64(m.set.Watchdog*4/5)+1))
	if m.reopening {
		m.tick = now // at once (RFC 3539: REOPEN begins with a watchdog)
	}
	out = append(out, Action{Do: Up, Side: side})
	if m.reopening {
		out = append(out, Action{Do: Suspect, Side: side})
	}
	return out
}

// setTick sets the watchdog's time anew, with jitter so that a thousand peers do not tick in step.
func (m *Machine) setTick(now time.Duration) {
	w := m.set.Watchdog
	j := w / jitterPart
	m.tick = now + w - j + time.Duration(m.rng.Int64N(int64(2*j)+1))
}

// close goes to Closed, and has us connect again where we are to.
func (m *Machine) close(now time.Duration, out []Action) []Action {
	m.to(now, Closed, 0)
	m.tick, m.waiting, m.rCode = never, false, 0
	if m.wanted && m.set.Persistent && m.set.Reconnect > 0 {
		times := time.Duration(min(1<<min(m.failed, 10), mostBackOff))
		wait := m.set.Reconnect * times
		m.expires = now + wait/2 + time.Duration(m.rng.Int64N(int64(wait/2)+1))
	}
	m.failed++
	return out
}

// down closes an open connection.
func (m *Machine) down(now time.Duration, side Side, disconnect bool, out []Action) []Action {
	m.wasDown = true
	out = append(out, Action{Do: Down, Side: side})
	if disconnect {
		out = append(out, Action{Do: Disconnect, Side: side})
	}
	return m.close(now, out)
}

// Step takes an event, and appends what is to be done to out.
func (m *Machine) Step(now time.Duration, e Event, out []Action) []Action {
	switch e.Kind {
	case Start:
		m.wanted = true
		if m.state == Closed && m.expires == never {
			return m.connect(now, out)
		}
		return out
	case Stop:
		return m.stop(now, e.Cause, out)
	}
	if side, open := m.Open(); open {
		return m.stepOpen(now, side, e, out)
	}
	switch m.state {
	case Closed:
		if e.Kind == CER {
			return m.acceptFirst(now, e, out)
		}
		if e.Kind == Connected { // one that was given up
			return append(out, Action{Do: Disconnect, Side: Initiator})
		}
	case WaitConnAck:
		switch {
		case e.Kind == Connected:
			m.to(now, WaitICEA, m.set.Handshake)
			return append(out, Action{Do: SendCER, Side: Initiator})
		case e.Kind == ConnectFailed:
			return m.close(now, out)
		case e.Kind == CER:
			return m.hold(now, e, WaitConnAckElect, out)
		}
	case WaitICEA:
		switch {
		case e.Kind == CEA && e.Side == Initiator:
			if e.Code/1000 != 2 {
				return m.close(now, append(out, Action{Do: Disconnect, Side: Initiator}))
			}
			m.peer = e.Host
			return m.open(now, Initiator, out)
		case e.Kind == CER && e.Side == Responder:
			return m.elect(now, m.hold(now, e, WaitReturns, out))
		case e.Side == Initiator: // the end of it, or something else than a CEA
			return m.close(now, append(out, Action{Do: Disconnect, Side: Initiator}))
		}
	case WaitConnAckElect:
		switch {
		case e.Kind == Connected:
			m.to(now, WaitReturns, m.set.Handshake)
			return m.elect(now, append(out, Action{Do: SendCER, Side: Initiator}))
		case e.Kind == ConnectFailed:
			return m.answerHeld(now, out)
		case e.Kind == CER:
			return append(out, Action{Do: Reject, Side: Responder})
		case e.Side == Responder:
			m.to(now, WaitConnAck, m.set.Handshake)
			return append(out, Action{Do: Disconnect, Side: Responder})
		}
	case WaitReturns:
		switch {
		case e.Kind == CEA && e.Side == Initiator && e.Code/1000 == 2:
			m.peer = e.Host
			return m.open(now, Initiator, append(out, Action{Do: Disconnect, Side: Responder}))
		case e.Kind == CER && e.Side == Responder:
			return append(out, Action{Do: Reject, Side: Responder})
		case e.Side == Initiator:
			return m.answerHeld(now, append(out, Action{Do: Disconnect, Side: Initiator}))
		case e.Side == Responder:
			m.to(now, WaitICEA, m.set.Handshake)
			return append(out, Action{Do: Disconnect, Side: Responder})
		}
	case Closing:
		return m.stepClosing(now, e, out)
	}
	return out
}

func (m *Machine) connect(now time.Duration, out []Action) []Action {
	if m.set.Reconnect == 0 {
		return out // the peer connects
	}
	m.to(now, WaitConnAck, m.set.Handshake)
	return append(out, Action{Do: Connect, Side: Initiator})
}

// acceptFirst takes a peer's connection where there is no other.
func (m *Machine) acceptFirst(now time.Duration, e Event, out []Action) []Action {
	out = append(out, Action{Do: Accept, Side: Responder}, Action{Do: SendCEA, Side: Responder, Code: e.Code})
	if e.Code/1000 != 2 {
		return append(out, Action{Do: Disconnect, Side: Responder})
	}
	m.peer = e.Host
	return m.open(now, Responder, out)
}

// hold takes a peer's connection while ours is on its way: which stays is not decided yet.
func (m *Machine) hold(now time.Duration, e Event, s State, out []Action) []Action {
	if e.Code/1000 != 2 {
		return append(out, Action{Do: Accept, Side: Responder}, Action{Do: SendCEA, Side: Responder, Code: e.Code}, Action{Do: Disconnect, Side: Responder})
	}
	m.peer, m.rCode = e.Host, e.Code
	m.to(now, s, m.set.Handshake)
	return append(out, Action{Do: Accept, Side: Responder})
}

// elect decides between the two connections (section 5.6.4): who has the greater name keeps the one that it has accepted.
func (m *Machine) elect(now time.Duration, out []Action) []Action {
	if m.state != WaitReturns || m.set.Host <= m.peer {
		return out // lost: the peer answers on ours and closes its own, or the other way round
	}
	return m.answerHeld(now, append(out, Action{Do: Disconnect, Side: Initiator}))
}

// answerHeld answers the CER that was held, and has that connection open.
func (m *Machine) answerHeld(now time.Duration, out []Action) []Action {
	out = append(out, Action{Do: SendCEA, Side: Responder, Code: m.rCode})
	return m.open(now, Responder, out)
}

// stepOpen takes an event while a connection is open.
func (m *Machine) stepOpen(now time.Duration, side Side, e Event, out []Action) []Action {
	if e.Kind == CER && e.Side == Responder {
		return append(out, Action{Do: Reject, Side: Responder}) // another connection, or a second CER: neither is taken
	}
	if e.Kind == Connected && side == Responder { // one that was given up
		return append(out, Action{Do: Disconnect, Side: Initiator})
	}
	if e.Side != side || e.Kind == ConnectFailed {
		return out
	}
	switch e.Kind {
	case Disconnected:
		return m.down(now, side, false, out)
	case Garbage, CEA, CER, DPA:
		return m.down(now, side, true, out)
	case DPR:
		m.to(now, Closing, m.set.Goodbye)
		m.tick = never
		if e.Cause == DoNotWantToTalkTo {
			m.failed = unwantedBackOff
		}
		return append(out, Action{Do: Down, Side: side}, Action{Do: SendDPA, Side: side})
	case DWA:
		m.waiting = false
		out = m.heard(now, side, true, out)
	case DWR:
		out = append(m.heard(now, side, false, out), Action{Do: SendDWA, Side: side})
	case Message:
		out = append(m.heard(now, side, false, out), Action{Do: Deliver, Side: side})
	}
	return out
}

// heard notes that the peer is alive (RFC 3539, OnReceive): anything that comes puts the watchdog off.
func (m *Machine) heard(now time.Duration, side Side, watchdog bool, out []Action) []Action {
	if m.reopening {
		if !watchdog {
			return out // only watchdogs show that a peer which was down is well again
		}
		if m.answered++; m.answered < reopenAfter {
			m.tick = min(m.tick, now+m.reopen()) // sooner than the RFC has it: well in one Tw at most, not three
			return out
		}
		m.reopening = false
		m.setTick(now)
		return append(out, Action{Do: Okay, Side: side})
	}
	m.setTick(now)
	if m.suspect {
		m.suspect, m.waiting = false, false
		out = append(out, Action{Do: Okay, Side: side})
	}
	return out
}

func (m *Machine) reopen() time.Duration {
	if m.set.Reopen > 0 {
		return m.set.Reopen
	}
	return m.set.Watchdog / reopenAfter
}

func (m *Machine) stop(now time.Duration, cause uint32, out []Action) []Action {
	m.wanted = false
	if side, open := m.Open(); open {
		m.to(now, Closing, m.set.Goodbye)
		m.tick = never
		return append(out, Action{Do: Down, Side: side}, Action{Do: SendDPR, Side: side, Cause: cause})
	}
	switch m.state {
	case Closed:
		m.expires = never
		return out
	case Closing:
		return out
	}
	return m.abandon(now, out)
}

// abandon closes whatever is under way.
func (m *Machine) abandon(now time.Duration, out []Action) []Action {
	if m.state == WaitConnAck || m.state == WaitICEA || m.state == WaitConnAckElect || m.state == WaitReturns || m.state == Closing {
		out = append(out, Action{Do: Disconnect, Side: Initiator})
	}
	if m.state == WaitConnAckElect || m.state == WaitReturns || m.state == Closing {
		out = append(out, Action{Do: Disconnect, Side: Responder})
	}
	return m.close(now, out)
}

// stepClosing waits for the end of a connection that we or the peer have said goodbye on.
func (m *Machine) stepClosing(now time.Duration, e Event, out []Action) []Action {
	switch e.Kind {
	case CER:
		return append(out, Action{Do: Reject, Side: Responder})
	case DPA, Disconnected, Garbage:
		return m.abandon(now, out)
	case DPR: // both have said goodbye: each answers
		return append(out, Action{Do: SendDPA, Side: e.Side})
	case Message: // the answer to something that was out
		return append(out, Action{Do: Deliver, Side: e.Side})
	}
	return out
}

// Tick does what time alone brings about, and appends what is to be done to out. Call it no later than Next.
func (m *Machine) Tick(now time.Duration, out []Action) []Action {
	if now >= m.expires {
		m.expires = never
		switch m.state {
		case Closed:
			if m.wanted {
				out = m.connect(now, out)
			}
		case WaitConnAckElect: // ours does not come about, the peer's is there
			out = m.answerHeld(now, append(out, Action{Do: Disconnect, Side: Initiator}))
		case ROpen, IOpen:
		default:
			out = m.abandon(now, out)
		}
	}
	side, open := m.Open()
	if !open || now < m.tick {
		return out
	}
	switch {
	case m.suspect || m.reopening && m.waiting: // RFC 3539: SUSPECT to DOWN
		return m.down(now, side, true, out)
	case m.waiting: // OKAY to SUSPECT: fail over
		m.suspect = true
		m.setTick(now)
		return append(out, Action{Do: Suspect, Side: side})
	}
	m.waiting = true
	m.setTick(now)
	return append(out, Action{Do: SendDWR, Side: side})
}
