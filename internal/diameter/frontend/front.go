// Package frontend is the Diameter front end of the engine: a peer's request becomes an exchange, and its one end becomes an
// answer with a Result-Code. What is unsafe passes the guard: it runs once, whoever sends it again.
package frontend

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/diameter"
	"lapisspread/internal/diameter/claim"
	"lapisspread/internal/diameter/node"
	"lapisspread/internal/engine"
	"lapisspread/internal/idempotency"
	"lapisspread/internal/idempotency/guard"
)

// Service is where a request goes, held until Leave.
type Service struct {
	Engine        *engine.Engine
	Class, Tenant int
	Unsafe        bool // its class must not run twice
	// Message makes what the service's servers are sent. Wire is the request, ready to be handed on.
	Message func(a *claim.Ask, wire diameter.Message) (engine.Message, error)
	// Ended notes the end, and how long it took.
	Ended func(end engine.Outcome, took time.Duration)
	Leave func()
}

// Turned says why a request finds no service now; nothing of it has run.
type Turned struct {
	What  string
	After time.Duration // when to come back, 0 is not told
	Code  diameter.ResultCode
}

func (t *Turned) Error() string { return t.What }

// Settings are what a front end is made of.
type Settings struct {
	Rules *claim.Rules
	Host  string // our Origin-Host
	Realm string
	Guard *guard.Guard
	Route func(a *claim.Ask, bytes int64) (*Service, error) // an error is a *Turned, or a failure
	// Unsafe tells whether requests of a class must not run twice, at any service that has it. It must not block; nil
	// takes all for unsafe.
	Unsafe func(class string) bool
	Slack  time.Duration // ahead of the client's giving up, for the answer's way back
	Log    *slog.Logger
}

// Front takes requests of a node. It is for any goroutine.
type Front struct {
	Counts Counts

	set   Settings
	node  *node.Node
	dict  *diameter.Dictionary
	infos struct{ session, app, requestType, requestNumber, proxyInfo *diameter.Definition }
}

// Counts are how requests have ended.
type Counts struct {
	Served, Refused, Failed, Wrong, Repeated atomic.Int64
}

// New makes a front end. Serve must be given the node whose Handle it is.
func New(s Settings) *Front {
	f := &Front{set: s, dict: s.Rules.Dictionary()}
	if f.set.Unsafe == nil {
		f.set.Unsafe = func(string) bool { return true }
	}
	if f.set.Log == nil {
		f.set.Log = slog.New(slog.DiscardHandler)
	}
	f.infos.session, f.infos.app = f.dict.Named("Session-Id"), f.dict.Named("Auth-Application-Id")
	f.infos.requestType, f.infos.requestNumber, f.infos.proxyInfo = f.dict.Named("CC-Request-Type"), f.dict.Named("CC-Request-Number"), f.dict.Named("Proxy-Info")
	return f
}

// Allow tells whether a peer may connect; it is for node.Settings.
func (f *Front) Allow(host, realm string, cert *x509.Certificate) error {
	var hasName func(string) error
	if cert != nil {
		hasName = cert.VerifyHostname
	}
	return f.set.Rules.Allow(claim.From{Host: host, Realm: realm}, hasName)
}

// Handle takes a request; it is for node.Settings.
func (f *Front) Handle(r *node.Request) {
	came := time.Now()
	ask, wrong := f.set.Rules.Classify(r.Message, claim.From{Host: r.From.Name(), Realm: r.From.Realm()})
	if wrong != nil {
		f.Counts.Wrong.Add(1)
		f.refuse(r, wrong, 0)
		return
	}
	svc, err := f.set.Route(&ask, int64(len(r.Message)))
	if err != nil && !f.mayReject(&ask) {
		f.end(r, claim.RanBefore, 0)
		return
	}
	if err != nil {
		f.turn(r, err)
		return
	}
	left := sync.OnceFunc(svc.Leave)
	defer left()
	if !svc.Unsafe {
		answer, _ := f.run(r, &ask, svc, came, true)
		r.Answer(answer)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), came.Add(ask.GiveUp-f.slack(&ask)/2))
	defer cancel()
	answer, end, verdict := f.set.Guard.Do(ctx, ask.Name, ask.Repeat, func() ([]byte, guard.Outcome) {
		return f.run(r, &ask, svc, came, false)
	})
	switch verdict {
	case idempotency.Begin:
	case idempotency.Join, idempotency.Answered:
		f.Counts.Repeated.Add(1)
		svc.Ended(endOf(end, verdict), 0)
	case idempotency.Full:
		svc.Ended(engine.Rejected, 0)
		f.end(r, claim.Full, 0)
		return
	case idempotency.KeyTooLong:
		svc.Ended(engine.Failed, 0)
		f.end(r, claim.TooLong, 0)
		return
	default:
		svc.Ended(engine.Failed, 0)
		f.end(r, claim.RanBefore, 0)
		return
	}
	if answer == nil { // it was in hand elsewhere, and that ended without an answer
		f.end(r, claim.RanBefore, 0)
		return
	}
	r.Answer(f.readdress(r, answer))
}

// MayReject tells whether a request may be answered as one that has not run; it is for node.Settings. A repeat of an
// unsafe one may not, unless the ledger shows it: its sender would send it again as a new one.
func (f *Front) MayReject(m diameter.Message, host, realm string) bool {
	if m.Header().Flags&diameter.Retransmitted == 0 {
		return true
	}
	ask, wrong := f.set.Rules.Classify(m, claim.From{Host: host, Realm: realm})
	return wrong != nil || f.mayReject(&ask)
}

func (f *Front) mayReject(a *claim.Ask) bool {
	return !f.set.Unsafe(a.Class) || f.set.Guard.MayReject(a.Name, a.Repeat)
}

// endOf is how a request has ended that was not carried out again.
func endOf(end guard.Outcome, v idempotency.Verdict) engine.Outcome {
	switch {
	case v == idempotency.Answered || end == guard.Answered:
		return engine.Served
	case end == guard.NeverRan:
		return engine.Rejected
	}
	return engine.Failed
}

// readdress is an answer that was another's, with this request's identifiers: the end-to-end identifier is the same.
func (f *Front) readdress(r *node.Request, answer []byte) diameter.Message {
	m := append(diameter.Message(nil), answer...)
	m.SetHopByHop(r.Header.HopByHop)
	return m
}

// run has the engine carry a request out, and words its end.
func (f *Front) run(r *node.Request, a *claim.Ask, svc *Service, came time.Time, leaves bool) (diameter.Message, guard.Outcome) {
	wire, err := f.forward(r)
	var m engine.Message
	if err == nil {
		m, err = svc.Message(a, wire)
	}
	if err != nil {
		svc.Ended(engine.Failed, 0)
		f.Counts.Failed.Add(1)
		return f.worded(r, claim.Unfit, 0), guard.NeverRan
	}
	x := &engine.Request{Message: m, Class: svc.Class, Tenant: svc.Tenant, Key: keyOf(a.Session), MarkedRetry: a.Repeat, Timeout: a.GiveUp - f.slack(a)}
	x.Init()
	x.Deadline = svc.Engine.Clock().Now() + x.Timeout - time.Since(came)
	svc.Engine.Post(func() { svc.Engine.Submit(x) })
	var gone <-chan struct{}
	if leaves {
		gone = r.Gone()
	}
	var end engine.Result
	late := time.NewTimer(time.Until(came.Add(a.GiveUp - f.slack(a)/4)))
	defer late.Stop()
	select {
	case end = <-x.Result():
	case <-late.C: // the engine has ended: whoever ends it first waits for what is in hand, but an answer is owed all the same
		f.set.Log.Error("a request has no end from its engine")
		end = engine.Result{Outcome: engine.Failed, TimedOut: true, MayHaveRun: true}
	case <-gone:
		svc.Engine.Post(func() { svc.Engine.ClientGone(x) })
		end = engine.Result{Outcome: engine.Failed, ClientGone: true, MayHaveRun: true} // nobody waits for it
	}
	answer, fate := f.answer(r, end)
	switch fate {
	case guard.Answered:
		f.Counts.Served.Add(1)
		svc.Ended(engine.Served, time.Since(came))
	case guard.NeverRan:
		f.Counts.Refused.Add(1)
		svc.Ended(engine.Rejected, 0)
	default:
		f.Counts.Failed.Add(1)
		svc.Ended(engine.Failed, 0)
	}
	return answer, fate
}

// slack is ahead of a client's giving up: half of it for the ledger's last word, half for the answer's way.
func (f *Front) slack(a *claim.Ask) time.Duration { return min(f.set.Slack, a.GiveUp/4) }

// forward is the request as it is handed on: with who has sent it to us in a Route-Record (section 6.1.9).
func (f *Front) forward(r *node.Request) (diameter.Message, error) {
	w := diameter.NewBuilder(make([]byte, 0, len(r.Message)+64), r.Header)
	c := r.Message.AVPs()
	for c.Next() {
		w.Raw(c.AVP.Raw())
	}
	return w.Text(f.dict.Named("Route-Record"), r.From.Name()).Message()
}

// answer words a result, and tells what is known of its request by it.
func (f *Front) answer(r *node.Request, end engine.Result) (diameter.Message, guard.Outcome) {
	switch {
	case end.Outcome == engine.Rejected:
		return f.worded(r, claim.Refused, end.RetryAfter), guard.NeverRan
	case end.Outcome == engine.Failed && end.MayHaveRun:
		return f.worded(r, claim.MayHaveRun, 0), guard.Unknown
	case end.Outcome == engine.Failed:
		return f.worded(r, claim.Undeliver, 0), guard.NeverRan
	}
	if m, ok := end.Response.(diameter.Message); ok {
		return append(diameter.Message(nil), m...), guard.Answered
	}
	body, _ := end.Response.([]byte)
	if end.Stream != nil {
		var err error
		body, err = readAll(end.Stream)
		end.Stream.End(err)
		if err != nil {
			f.set.Log.Warn("an answer does not fit", "err", err)
			return f.worded(r, claim.Unfit, 0), guard.Unknown
		}
	}
	m, err := f.success(r, body)
	if err != nil {
		f.set.Log.Warn("an answer does not fit", "err", err)
		return f.worded(r, claim.Unfit, 0), guard.Unknown
	}
	return m, guard.Answered
}

// MostBody is the longest body of a server's answer that fits into a Diameter message, in bytes.
const MostBody = diameter.MostMessage - 8192

func readAll(s engine.Stream) ([]byte, error) {
	r, ok := s.(io.Reader)
	if !ok {
		return nil, fmt.Errorf("a long answer of a kind that can't be read: %T", s)
	}
	body, err := io.ReadAll(io.LimitReader(r, MostBody+1))
	if err != nil {
		return nil, fmt.Errorf("reading a long answer: %w", err)
	}
	if len(body) > MostBody {
		return nil, fmt.Errorf("an answer of more than %d bytes", MostBody)
	}
	return body, nil
}

// success is the answer to a request that a server of another protocol has served: its body is the value of a
// Service-Parameter-Info (RFC 8506, section 8.43).
func (f *Front) success(r *node.Request, body []byte) (diameter.Message, error) {
	if len(body) > MostBody {
		return nil, fmt.Errorf("an answer of %d bytes; %d are the most", len(body), MostBody)
	}
	w := diameter.Answer(make([]byte, 0, 256+len(body)), r.Header, diameter.Success)
	f.echo(w, r, f.infos.session)
	w.Uint32(f.dict.Named("Result-Code"), uint32(diameter.Success))
	w.Text(f.dict.Named("Origin-Host"), f.set.Host).Text(f.dict.Named("Origin-Realm"), f.set.Realm)
	f.echo(w, r, f.infos.app, f.infos.requestType, f.infos.requestNumber)
	if len(body) > 0 {
		w.Begin(f.dict.Named("Service-Parameter-Info")).Uint32(f.dict.Named("Service-Parameter-Type"), 0).
			Bytes(f.dict.Named("Service-Parameter-Value"), body).End()
	}
	f.echo(w, r, f.infos.proxyInfo)
	return w.Message()
}

// echo copies AVPs of the request, as often as they stand there.
func (f *Front) echo(w *diameter.Builder, r *node.Request, defs ...*diameter.Definition) {
	for _, def := range defs {
		c := r.Message.AVPs()
		for c.Next() {
			if c.AVP.Code == def.Code && c.AVP.Vendor == def.Vendor {
				w.Raw(c.AVP.Raw())
			}
		}
	}
}

// Body is what Success has put into an answer.
func Body(m diameter.Message, d *diameter.Dictionary) []byte {
	info, found := m.Find(0, d.Named("Service-Parameter-Info").Code)
	if !found {
		return nil
	}
	v, _ := info.Find(0, d.Named("Service-Parameter-Value").Code)
	return v.Data
}

func (f *Front) turn(r *node.Request, err error) {
	var t *Turned
	if !errors.As(err, &t) {
		t = &Turned{What: err.Error()}
	}
	if t.Code == 0 {
		t.Code = diameter.TooBusy
	}
	f.Counts.Refused.Add(1)
	f.refuse(r, &diameter.Error{Code: t.Code, What: t.What}, t.After)
}

// end answers with an end that is no server's answer.
func (f *Front) end(r *node.Request, e claim.End, after time.Duration) {
	if e == claim.Full {
		f.Counts.Refused.Add(1)
	} else {
		f.Counts.Failed.Add(1)
	}
	r.Answer(f.worded(r, e, after))
}

func (f *Front) refuse(r *node.Request, e *diameter.Error, after time.Duration) {
	r.Answer(f.refusal(r, e, after))
}

func (f *Front) worded(r *node.Request, e claim.End, after time.Duration) diameter.Message {
	err, after := e.Answer(after)
	return f.refusal(r, err, after)
}

// refusal is an error answer, with when to come back in whole seconds where that is known.
func (f *Front) refusal(r *node.Request, e *diameter.Error, after time.Duration) diameter.Message {
	m, err := f.dict.Refusal(r.Message, r.Header, e, f.set.Host, f.set.Realm)
	if err != nil { // what it would have to carry does not fit: the code alone does
		m, _ = f.dict.Refusal(nil, r.Header, &diameter.Error{Code: e.Code, What: e.What}, f.set.Host, f.set.Realm)
	}
	if after <= 0 {
		return m
	}
	w := diameter.NewBuilder(make([]byte, 0, len(m)+16), m.Header())
	c := m.AVPs()
	for c.Next() {
		w.Raw(c.AVP.Raw())
	}
	if with, err := w.Uint32(f.dict.Named("Validity-Time"), claim.Seconds(after)).Message(); err == nil {
		return with
	}
	return m
}

// keyOf finds the same server for a session at every proxy; 0 is no key.
func keyOf(session string) uint64 {
	if session == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, session)
	return max(h.Sum64(), 1)
}
