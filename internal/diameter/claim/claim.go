// Package claim decides what a Diameter request is to this proxy: who has sent it, of which class it is, for how long its
// client waits, under which name it must not run twice; and what its client is told of each end. It is pure: no I/O, no
// goroutine, no clock. What it goes by is a file (deploy/diameter.toml).
package claim

import (
	"fmt"
	"math"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/idempotency"
)

// Ask is a request as the decisions see it.
type Ask struct {
	Class, Tenant string
	Path          string          // of the HTTP request that it becomes, where the servers speak that
	Session       string          // its Session-Id, the key that finds its server
	Realm         string          // its Destination-Realm
	GiveUp        time.Duration   // from its arrival until its client gives up
	Name          idempotency.Key // under which it must not run twice
	Repeat        bool            // its T flag is set
}

// From is the peer that a request comes from.
type From struct{ Host, Realm string }

// Rules are a file's, ready for requests.
type Rules struct {
	file     *File
	dict     *diameter.Dictionary
	commands map[[2]uint32][]*Command // by application and code, in the order of the file
	peers    map[string]*Peer         // by Origin-Host
	realms   map[string]*Peer         // by realm, for those without a host
	serves   map[string]bool          // destination realms
	avp      avps
}

type avps struct {
	session, originHost, originRealm, destRealm, destHost, routeRecord, requestType, requestedAction *diameter.Definition
}

// Classify tells what a request is, or what is wrong with it in the RFC's terms. The message must have been parsed.
func (r *Rules) Classify(m diameter.Message, from From) (Ask, *diameter.Error) {
	h := m.Header()
	if !h.IsRequest() { // the rules of an answer are others: what a request must have could be missing
		return Ask{}, &diameter.Error{Code: diameter.InvalidHdrBits, What: "an answer in place of a request"}
	}
	if err := r.dict.Check(m); err != nil {
		e, ok := diameter.AsError(err)
		if !ok {
			e = &diameter.Error{Code: diameter.UnableToComply, What: err.Error()}
		}
		return Ask{}, e
	}
	if len(r.commands[[2]uint32{h.App, h.Command}]) == 0 {
		return Ask{}, &diameter.Error{Code: diameter.CommandUnsupported, What: fmt.Sprintf("command %d of application %d is not taken here", h.Command, h.App)}
	}
	if e := r.loop(m); e != nil {
		return Ask{}, e
	}
	a := Ask{Session: text(m, r.avp.session), Realm: text(m, r.avp.destRealm), Repeat: h.Flags&diameter.Retransmitted != 0,
		Name: idempotency.Key{Origin: text(m, r.avp.originHost), ID: h.EndToEnd}}
	if !r.serves[a.Realm] {
		return a, &diameter.Error{Code: diameter.RealmNotServed, What: fmt.Sprintf("realm %q is not served here", a.Realm)}
	}
	if host := text(m, r.avp.destHost); host != "" && host != r.file.Host {
		// Which server it goes to is decided here, so a request that is bound to one can't be.
		return a, &diameter.Error{Code: diameter.UnableToDeliver, What: fmt.Sprintf("destination host %q can't be chosen here", host)}
	}
	who := r.peer(from)
	if who == nil {
		return a, &diameter.Error{Code: diameter.UnknownPeer, What: fmt.Sprintf("%q of realm %q is not known", from.Host, from.Realm)}
	}
	// Danger: whoever could speak for another's realm would read the answers that the other had.
	if realm := text(m, r.avp.originRealm); !who.Agent && (realm != from.Realm || a.Name.Origin != from.Host) {
		origin, _ := m.Find(0, r.avp.originRealm.Code)
		return a, &diameter.Error{Code: diameter.InvalidAVPValue, Failed: origin.Raw(), What: fmt.Sprintf("%q of %q speaks for %q of %q and is no agent", from.Host, from.Realm, a.Name.Origin, realm)}
	}
	a.Tenant = who.Tenant
	c, e := r.command(m, h)
	if e != nil {
		return a, e
	}
	a.Class, a.Path, a.GiveUp = c.Class, c.Path, time.Duration(c.GiveUp)
	if c.deadline != nil {
		if avp, found := m.Find(c.deadline.Vendor, c.deadline.Code); found {
			ms, err := avp.Uint32()
			if err != nil || ms == 0 {
				return a, &diameter.Error{Code: diameter.InvalidAVPValue, Failed: avp.Raw(), What: fmt.Sprintf("%s: no time to wait", c.deadline.Name)}
			}
			a.GiveUp = min(a.GiveUp, time.Duration(ms)*time.Millisecond) // a client may wait for less, not for longer
		}
	}
	return a, nil
}

// loop tells whether a request has been here before (section 6.1.3).
func (r *Rules) loop(m diameter.Message) *diameter.Error {
	c := m.AVPs()
	for c.Next() {
		if c.AVP.Vendor == 0 && c.AVP.Code == r.avp.routeRecord.Code && string(c.AVP.Data) == r.file.Host {
			return &diameter.Error{Code: diameter.LoopDetected, What: "the request has been here before"}
		}
	}
	return nil
}

// peer is who that is by the file, nil if nobody.
func (r *Rules) peer(from From) *Peer {
	if p := r.peers[from.Host]; p != nil && (p.Realm == "" || p.Realm == from.Realm) {
		return p
	} else if p != nil {
		return nil // its name, in another's realm
	}
	return r.realms[from.Realm]
}

// Allow tells whether a peer may come. Names are those of its certificate, nil without TLS.
func (r *Rules) Allow(from From, hasName func(string) error) error {
	p := r.peer(from)
	if p == nil {
		return fmt.Errorf("peer %q of realm %q is not in the file", from.Host, from.Realm)
	}
	if p.Certificate == "" {
		return nil
	}
	if hasName == nil {
		return fmt.Errorf("peer %q has shown no certificate; it must be that of %q", from.Host, p.Certificate)
	}
	if err := hasName(p.Certificate); err != nil {
		return fmt.Errorf("peer %q: its certificate: %w", from.Host, err)
	}
	return nil
}

// command finds the rule for a request.
func (r *Rules) command(m diameter.Message, h diameter.Header) (*Command, *diameter.Error) {
	var wrong *diameter.Error
	for _, c := range r.commands[[2]uint32{h.App, h.Command}] {
		e := c.matches(m, r)
		if e == nil {
			return c, nil
		}
		if wrong == nil {
			wrong = e
		}
	}
	return nil, wrong
}

// matches tells why a command's rule is not for a request, nil if it is.
func (c *Command) matches(m diameter.Message, r *Rules) *diameter.Error {
	for _, k := range []struct {
		def  *diameter.Definition
		want *uint32
	}{{r.avp.requestType, c.RequestType}, {r.avp.requestedAction, c.RequestedAction}} {
		if k.want == nil {
			continue
		}
		a, found := m.Find(0, k.def.Code)
		if !found {
			return r.dict.Missing(k.def)
		}
		if v, err := a.Uint32(); err != nil || v != *k.want {
			return &diameter.Error{Code: diameter.InvalidAVPValue, Failed: a.Raw(), What: fmt.Sprintf("%s %d is not taken here", k.def.Name, v)}
		}
	}
	return nil
}

func text(m diameter.Message, def *diameter.Definition) string {
	a, _ := m.Find(def.Vendor, def.Code)
	return string(a.Data)
}

// End is how a request has ended, as far as what its client is told hangs on it.
type End uint8

// The ends that are not an answer of a server.
const (
	Refused    End = iota // nothing has run: coming again is harmless
	Undeliver             // nothing has run, and no server could be reached
	MayHaveRun            // it was sent, and no answer came in time
	RanBefore             // it is a repeat of one of which nobody knows how it ended
	Full                  // there is no room, or no disk, to remember it by: it has not run
	TooLong               // its name is too long to be remembered
	Unfit                 // the server's answer does not fit into Diameter
)

// Answer is the error that a client is told of an end; see docs/diameter.md for the table. After is when to come back, 0 is
// not told.
func (e End) Answer(after time.Duration) (*diameter.Error, time.Duration) {
	switch e {
	case Refused:
		return &diameter.Error{Code: diameter.TooBusy, What: "too busy; it has not run"}, after
	case Full:
		return &diameter.Error{Code: diameter.TooBusy, What: "it could not be remembered, and has not run"}, max(after, time.Second)
	case Undeliver:
		return &diameter.Error{Code: diameter.UnableToDeliver, What: "no server could be reached; it has not run"}, 0
	case MayHaveRun:
		return &diameter.Error{Code: diameter.UnableToComply, What: "no answer came in time; it may have run"}, 0
	case RanBefore:
		return &diameter.Error{Code: diameter.UnableToComply, What: "it came before and may have run; it was not run again"}, 0
	case TooLong:
		return &diameter.Error{Code: diameter.InvalidAVPValue, What: "its Origin-Host is too long to be remembered"}, 0
	}
	return &diameter.Error{Code: diameter.UnableToComply, What: "the server's answer does not fit"}, 0
}

// Seconds is a time to come back as Validity-Time has it: whole seconds, not too early.
func Seconds(after time.Duration) uint32 {
	return uint32(min(math.Ceil(after.Seconds()), math.MaxUint32))
}

// Fate is what an answer of a Diameter server says of its request.
type Fate uint8

// The fates.
const (
	Final    Fate = iota // it is the answer, for better or worse
	NeverRan             // the server has turned it away unseen
	Trouble              // the server has failed; it may have run
	Nonsense             // the answer has no result
)

// FateOf reads a server's answer. 3004 says that it has not run (section 7.1.3); all other protocol errors, 5012 and the
// lack of space say that something went wrong, and not that it has not run. What else there is, is the server's decision.
func FateOf(m diameter.Message, d *diameter.Dictionary) Fate {
	a, found := m.Find(0, d.Named("Result-Code").Code)
	if !found {
		if _, found := m.Find(0, d.Named("Experimental-Result").Code); found {
			return Final
		}
		return Nonsense
	}
	v, err := a.Uint32()
	switch code := diameter.ResultCode(v); {
	case err != nil || v < 1000 || v > 5999:
		return Nonsense
	case code == diameter.TooBusy:
		return NeverRan
	case code.Protocol() || code == diameter.UnableToComply || code == outOfSpace:
		return Trouble
	}
	return Final
}

const outOfSpace = diameter.ResultCode(4002)
