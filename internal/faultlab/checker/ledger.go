// Package checker keeps the ledger of a run and judges it by the four rules and by worth. It is pure: what nodes,
// clients and the register saw comes in as calls with their times, a verdict comes out. It is a stream: a
// request is kept until its deadline and a linger are over, so memory follows what is open, not what has been.
//
// What counts is what the nodes and clients saw. A proxy is asked nothing.
package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lapisspread/internal/faultlab/model"
)

// Rule is one of the four rules, or what is owed to nodes where a client has left.
type Rule string

// The rules.
const (
	Lost      Rule = "lost"      // one final answer for each request taken, in time, and true
	Duplicate Rule = "duplicate" // what may have run is not repeated nor called harmless, unless its class permits
	Drain     Rule = "drain"     // nothing new to a node that drains or is gone, after the grace
	Cold      Rule = "cold"      // no node that has just started is pushed over
	Departed  Rule = "departed"  // nothing begins for a client that has left
)

// AllRules in the order of reports.
var AllRules = []Rule{Lost, Duplicate, Drain, Cold, Departed}

// Breach is a rule broken once, with what shows it.
type Breach struct {
	Rule     Rule     `json:"rule"`
	What     string   `json:"what"`
	AtMs     float64  `json:"at_ms"`
	Request  string   `json:"request,omitempty"`
	Class    string   `json:"class,omitempty"`
	Proxy    int      `json:"proxy"`
	Node     int      `json:"node"` // -1 is none
	Evidence []string `json:"evidence"`
}

// Settings are the figures that the judge goes by.
type Settings struct {
	Classes    []model.Class
	Tenants    []model.Tenant
	Proxies    int
	Nodes      int
	Slack      time.Duration // after the deadline in which an answer still earns
	LateGrace  time.Duration // after the deadline in which an answer that earns nothing still is one; later it is lost
	DrainGrace time.Duration
	Linger     time.Duration // how long after its deadline a request is watched for second runs
	Keep       int           // breaches of each rule whose evidence is kept
}

// Defaults for what the settings leave open.
const (
	DefaultSlack      = 8 * time.Millisecond
	DefaultLateGrace  = 500 * time.Millisecond
	DefaultDrainGrace = 500 * time.Millisecond
	DefaultLinger     = 3 * time.Second
	defaultKeep       = 50
)

// Try is a request as a proxy takes it.
type Try struct {
	Proxy   int
	Arrival model.Arrival
}

// unansweredShare is how many requests may meet a new connection that is closed with no answer: one in so many. Those beyond it
// are lost.
const unansweredShare = 200

// What may begin for a client that has left: an attempt within departedGrace, later in so many cases by chance; a first one of what still
// waited for it within firstGrace, later for a part of these (and fewer than departedLeast) at most.
const (
	departedGrace  = 100 * time.Millisecond
	departedChance = 2
	firstGrace     = 300 * time.Millisecond
	departedPart   = 4
	departedLeast  = 5
)

// mostAttempts bounds what is kept of one request; what goes beyond it is a breach of its own in any class.
const mostAttempts = 8

type attempt struct {
	at      time.Duration
	node    int32
	proved  bool // it never ran
	began   time.Duration
	made    bool // the node has made an answer for it
	present bool
}

type entry struct {
	Try
	attempts []attempt
	runs     int8
	answered time.Duration // 0 is not
	end      model.End
	left     time.Duration // its client has; 0 is not
	waited   bool          // for its first attempt then
	closed   bool          // nothing is owed: answered, or the client or its proxy is gone
	lost     bool
}

// Ledger is the judge of one run. Calls need not be in the order of time, but no call may come later than the
// linger after the deadline of its request: it is then counted in Unjudged.
type Ledger struct {
	set      Settings
	base     uint64 // number of entries[0]
	entries  []entry
	now      time.Duration
	told     [][]telling // by proxy, by node
	stopped  []bool      // by proxy
	breaches []Breach
	counts   map[Rule]int
	unjudged int
	peak     int
	free     [][]attempt

	asked, served   float64 // worth
	classes         []Tally
	tenants         []Tally
	windows         []window // of a second each
	tenths          []float64
	latency         []*hdrhistogram.Histogram
	sent            []sent // by class
	lateFail        float64
	heldBack        float64 // worth: refused or failed late, and nothing had been sent
	firstTries      int
	taken           int
	attempts        int
	crossing        int
	probes          int
	workAsked       float64
	workWasted      float64
	refused, failed int
	ok, timedOut    int
	departed        int
	beganLate       int // attempts that began for a client that had left
	waitedThen      int // requests that waited for their first attempt as their client left
	waitedSent      int // of these, sent on all the same,
	lastWaited      Breach
	excused         int
	unanswered      []Breach // what each would be if it were lost; the last Keep of them
	unansweredAll   int
	nodes           []NodeTally
}

type telling struct {
	listing model.Listing
	since   time.Duration // it has been told so; for Leaving and Left, since the first of them
	known   bool
	started time.Duration
	startAt time.Duration // it was told of that start
}

// Tally is worth by class or tenant.
type Tally struct {
	Asked, Served float64
	Requests      int
	OK, Refused   int
	Failed        int
}

// Share is what of the worth asked for was served; 1 if nothing was.
func (t *Tally) Share() float64 {
	if t.Asked == 0 {
		return 1
	}
	return t.Served / t.Asked
}

// NodeTally is what a node saw.
type NodeTally struct {
	Attempts, Runs, Made int
	PerSecond            []int // attempts, by second
}

type window struct {
	asked, served          float64
	ok, ref, fail          int
	attempts, runs         int
	probes, opened, called int
}

// New makes a ledger.
func New(set Settings) *Ledger {
	if set.Slack == 0 {
		set.Slack = DefaultSlack
	}
	if set.LateGrace == 0 {
		set.LateGrace = DefaultLateGrace
	}
	if set.DrainGrace == 0 {
		set.DrainGrace = DefaultDrainGrace
	}
	if set.Linger == 0 {
		set.Linger = DefaultLinger
	}
	if set.Keep == 0 {
		set.Keep = defaultKeep
	}
	l := &Ledger{set: set, base: 1, counts: map[Rule]int{}, classes: make([]Tally, len(set.Classes)),
		tenants: make([]Tally, len(set.Tenants)), sent: make([]sent, len(set.Classes)), nodes: make([]NodeTally, set.Nodes)}
	for range set.Classes {
		l.latency = append(l.latency, hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3))
	}
	l.stopped = make([]bool, set.Proxies)
	for range set.Proxies {
		l.told = append(l.told, make([]telling, set.Nodes))
	}
	return l
}

func (l *Ledger) second(at time.Duration) *window {
	i := int(max(0, at) / time.Second)
	for len(l.windows) <= i {
		l.windows = append(l.windows, window{})
	}
	return &l.windows[i]
}

// Asked counts a client's first try, whether a proxy takes it or not.
func (l *Ledger) Asked(a *model.Arrival) {
	l.firstTries++
	l.asked += a.Worth
	l.second(a.First).asked += a.Worth
	l.classes[a.Class].Asked += a.Worth
	l.classes[a.Class].Requests++
	if a.Tenant >= 0 {
		if !a.Over {
			l.tenants[a.Tenant].Asked += a.Worth
		}
		l.tenants[a.Tenant].Requests++
	}
	l.workAsked += a.Work
}

// sent counts what proxies have taken of a class, and sent for it.
type sent struct{ taken, attempts, repeats int }

// Take opens the account of a request that a proxy has taken, and gives its number: one more than the last.
func (l *Ledger) Take(t Try) uint64 {
	l.taken++
	l.sent[t.Arrival.Class].taken++
	var room []attempt
	if n := len(l.free); n > 0 {
		room, l.free = l.free[n-1], l.free[:n-1]
	}
	away := l.stopped[t.Proxy]
	if away {
		l.excused++
	}
	l.entries = append(l.entries, entry{Try: t, attempts: room[:0], closed: away})
	l.peak = max(l.peak, len(l.entries))
	return l.base + uint64(len(l.entries)) - 1
}

func (l *Ledger) entry(id uint64) *entry {
	if id < l.base || id >= l.base+uint64(len(l.entries)) {
		l.unjudged++
		return nil
	}
	return &l.entries[id-l.base]
}

func (l *Ledger) class(e *entry) *model.Class { return &l.set.Classes[e.Arrival.Class] }

// Told notes what a proxy has been told of a node.
func (l *Ledger) Told(at time.Duration, proxy, node int, listing model.Listing, started time.Duration) {
	t := &l.told[proxy][node]
	if started > t.started {
		t.started, t.startAt = started, at
	}
	if t.known && t.listing != model.Active && listing != model.Active {
		t.listing = listing
		return
	}
	if !t.known || t.listing != listing {
		t.since = at
	}
	t.known, t.listing = true, listing
}

// Forget notes that a proxy starts from nothing: what it was told before does not bind the new process.
func (l *Ledger) Forget(proxy int) { clear(l.told[proxy]) }

// ToldOfStart tells whether a proxy has been told of a node's start at that time.
func (l *Ledger) ToldOfStart(proxy, node int, started time.Duration) bool {
	t := &l.told[proxy][node]
	return t.started >= started && t.started > 0
}

// Sent notes an attempt that a proxy sends to a node. The number counts a request's attempts from 0.
func (l *Ledger) Sent(at time.Duration, id uint64, proxy, node, number int) {
	l.attempts++
	l.nodes[node].Attempts++
	s := int(max(0, at) / time.Second)
	for len(l.nodes[node].PerSecond) <= s {
		l.nodes[node].PerSecond = append(l.nodes[node].PerSecond, 0)
	}
	l.nodes[node].PerSecond[s]++
	l.second(at).attempts++
	if t := &l.told[proxy][node]; t.known && t.listing != model.Active && at > t.since+l.set.DrainGrace {
		l.breach(Breach{Rule: Drain, What: "a send to a node that drains or is gone", Proxy: proxy, Node: node,
			Evidence: []string{fmt.Sprintf("told at %v that it is %s", t.since, t.listing),
				fmt.Sprintf("sent at %v, %v after that; the grace is %v", at, at-t.since, l.set.DrainGrace)}}, at, id, nil)
	}
	e := l.entry(id)
	if e == nil {
		return
	}
	sent := &l.sent[e.Arrival.Class]
	sent.attempts++
	if number > 0 {
		sent.repeats++
	}
	if number < 0 || number >= mostAttempts {
		l.breach(Breach{Rule: Duplicate, What: "more attempts than any class allows", Proxy: proxy, Node: node,
			Evidence: []string{fmt.Sprintf("attempt %d", number)}}, at, id, e)
		return
	}
	if !l.class(e).Safe {
		for i := range e.attempts {
			if a := &e.attempts[i]; a.present && !a.proved && i != number {
				l.breach(Breach{Rule: Duplicate, What: "a repeat of what may have run", Proxy: proxy, Node: node,
					Evidence: l.story(e, fmt.Sprintf("attempt %d sent at %v to node %d", number, at, node))}, at, id, e)
				break
			}
		}
	}
	for len(e.attempts) <= number {
		e.attempts = append(e.attempts, attempt{})
	}
	l.sentForNobody(at, id, e, number)
	e.attempts[number] = attempt{at: at, node: int32(node), present: true}
}

// sentForNobody convicts for what begins after the client has left.
func (l *Ledger) sentForNobody(at time.Duration, id uint64, e *entry, number int) {
	if e.left == 0 {
		return
	}
	story := func(grace time.Duration) []string {
		return l.story(e, fmt.Sprintf("its client left at %v, attempt %d began at %v, %v after; the grace is %v", e.left, number, at, at-e.left, grace))
	}
	if at > e.left+departedGrace {
		if l.beganLate++; l.beganLate > departedChance {
			l.breach(Breach{Rule: Departed, What: "an attempt for a client that has left", Proxy: e.Proxy, Node: -1, Evidence: story(departedGrace)}, at, id, e)
		}
	}
	if e.waited && at > e.left+firstGrace {
		e.waited = false
		l.waitedSent++
		l.lastWaited = Breach{Rule: Departed, What: "too many of those whose client left while they waited were sent on", Proxy: e.Proxy, Node: -1,
			AtMs: model.Millis(at), Request: fmt.Sprint(id), Class: l.class(e).Name, Evidence: story(firstGrace)}
	}
}

// settleDeparted convicts, once, if too many of those were.
func (l *Ledger) settleDeparted() {
	if l.waitedSent >= departedLeast && l.waitedSent*departedPart > l.waitedThen {
		l.counts[Departed]++
		b := l.lastWaited
		b.Evidence = append(b.Evidence, fmt.Sprintf("%d of %d; one in %d may", l.waitedSent, l.waitedThen, departedPart))
		l.breaches = append(l.breaches, b)
	}
	l.waitedSent, l.waitedThen = 0, 0
}

func (l *Ledger) attempt(id uint64, number int) (*entry, *attempt) {
	e := l.entry(id)
	if e == nil || number < 0 || number >= len(e.attempts) {
		return nil, nil
	}
	return e, &e.attempts[number]
}

// Proved notes that an attempt never ran: no connection, or turned away unseen.
func (l *Ledger) Proved(id uint64, number int) {
	if _, a := l.attempt(id, number); a != nil {
		a.proved = true
	}
}

// Began notes that a node has begun to run an attempt.
func (l *Ledger) Began(at time.Duration, id uint64, node, number int) {
	l.nodes[node].Runs++
	l.second(at).runs++
	e, a := l.attempt(id, number)
	if a == nil {
		return
	}
	a.began = max(at, 1)
	if e.runs++; e.runs > 1 && !l.class(e).Safe {
		l.breach(Breach{Rule: Duplicate, What: "ran twice", Proxy: e.Proxy, Node: node,
			Evidence: l.story(e, fmt.Sprintf("attempt %d began at %v on node %d", number, at, node))}, at, id, e)
	}
}

// Made notes that a node has made the answer to an attempt.
func (l *Ledger) Made(id uint64, node, number int) {
	l.nodes[node].Made++
	if _, a := l.attempt(id, number); a != nil {
		a.made = true
	}
}

// Answered notes a final answer, at the time of its last byte. For one that serves, genuine tells whether it is
// what a node made for this request, as far as its bytes tell; that a node made one at all, the ledger knows.
func (l *Ledger) Answered(at time.Duration, id uint64, end model.End, genuine bool) {
	e := l.entry(id)
	if e == nil {
		return
	}
	if e.answered > 0 {
		l.breach(Breach{Rule: Lost, What: "answered twice", Proxy: e.Proxy, Node: -1,
			Evidence: l.story(e, fmt.Sprintf("a second final answer at %v", at))}, at, id, e)
		return
	}
	wasClosed := e.closed
	e.answered, e.end, e.closed = max(at, 1), end, true
	if wasClosed { // the client or the proxy is gone: nothing counts any more
		return
	}
	a := &e.Arrival
	late := at > a.Deadline+l.set.Slack
	if at > a.Deadline+l.set.LateGrace && !e.lost {
		e.lost = true
		l.breach(Breach{Rule: Lost, What: "a final answer too late", Proxy: e.Proxy, Node: -1,
			Evidence: l.story(e, fmt.Sprintf("answered at %v, %v after its deadline; the grace is %v", at, at-a.Deadline, l.set.LateGrace))}, at, id, e)
	}
	c := l.class(e)
	w := l.second(a.First)
	switch end {
	case model.Served:
		if !genuine || !slices.ContainsFunc(e.attempts, func(a attempt) bool { return a.made }) {
			l.breach(Breach{Rule: Lost, What: "served what no node made", Proxy: e.Proxy, Node: -1,
				Evidence: l.story(e, fmt.Sprintf("served at %v", at))}, at, id, e)
			return
		}
		if late { // it was nobody's use any more
			l.timedOut++
			w.fail++
			l.failed++
			l.classes[a.Class].Failed++
			l.unserved(e, at)
			return
		}
		value := a.Worth
		if at > a.First+c.Aim {
			value *= c.Late
			l.lateFail += a.Worth - value
		}
		if at > a.GiveUp {
			value = 0
		}
		l.served += value
		w.served += value
		for i := int(max(0, a.First) / Slice); len(l.tenths) <= i; {
			l.tenths = append(l.tenths, 0)
		}
		l.tenths[max(0, a.First)/Slice] += value
		w.ok++
		l.ok++
		l.classes[a.Class].Served += value
		l.classes[a.Class].OK++
		if a.Tenant >= 0 {
			if !a.Over {
				l.tenants[a.Tenant].Served += value
			}
			l.tenants[a.Tenant].OK++
		}
		l.latency[a.Class].RecordValue(int64((at - a.First) / time.Microsecond))
	case model.Rejected:
		l.refuse(e)
		if !c.Safe {
			for i := range e.attempts {
				if x := &e.attempts[i]; x.present && !x.proved {
					l.breach(Breach{Rule: Duplicate, What: "called harmless to repeat though it may have run", Proxy: e.Proxy, Node: int(x.node),
						Evidence: l.story(e, fmt.Sprintf("refused at %v", at))}, at, id, e)
					break
				}
			}
		}
		l.unserved(e, at)
	default:
		if !e.sent() {
			l.refuse(e)
		} else {
			w.fail++
			l.failed++
			l.classes[a.Class].Failed++
		}
		l.unserved(e, at)
	}
}

// sent tells whether a request was sent on to any node.
func (e *entry) sent() bool {
	return slices.ContainsFunc(e.attempts, func(x attempt) bool { return x.present })
}

// refuse counts a request as refused: also one that was answered as failed and was never sent on.
func (l *Ledger) refuse(e *entry) {
	l.second(e.Arrival.First).ref++
	l.refused++
	l.classes[e.Arrival.Class].Refused++
}

// unserved books what it costs that a request ends without service.
func (l *Ledger) unserved(e *entry, at time.Duration) {
	a := &e.Arrival
	if at > a.First+l.class(e).Aim {
		l.lateFail += a.Worth
	}
	if !e.sent() && at > a.At+(a.Deadline-a.At)/2 {
		l.heldBack += a.Worth
	}
}

// Departed notes that a client has left before its time: nothing is owed to it, and nothing new may begin for it.
func (l *Ledger) Departed(at time.Duration, id uint64) {
	if e := l.entry(id); e != nil && !e.closed {
		e.closed, e.left, e.waited = true, max(at, 1), !e.sent()
		l.departed++
		if e.waited {
			l.waitedThen++
		}
	}
}

// ProxyDied notes that a proxy was killed: what it held is lost through no fault of its own.
func (l *Ledger) ProxyDied(proxy int) {
	for i := range l.entries {
		if e := &l.entries[i]; e.Proxy == proxy && !e.closed {
			e.closed = true
			l.excused++
		}
	}
}

// ProxyStopped notes that a proxy has no processor, or has one again: what it holds and what comes to it meanwhile is lost
// through no fault of its own. What it does after that is judged as ever.
func (l *Ledger) ProxyStopped(proxy int, stopped bool) {
	l.stopped[proxy] = stopped
	l.ProxyDied(proxy)
}

// Excuse closes one account because the machine, not the proxy, lost it.
func (l *Ledger) Excuse(id uint64) {
	if e := l.entry(id); e != nil && !e.closed {
		e.closed = true
		l.excused++
	}
}

// Broke notes that a proxy ended a request's connection without a whole answer.
func (l *Ledger) Broke(at time.Duration, id uint64, why string) {
	e := l.entry(id)
	if e == nil || e.closed {
		return
	}
	e.closed, e.lost = true, true
	l.failed++
	l.classes[e.Arrival.Class].Failed++
	l.breach(Breach{Rule: Lost, What: "its connection ended without a whole answer", Proxy: e.Proxy, Node: -1,
		Evidence: l.story(e, fmt.Sprintf("ended at %v: %s", at, why))}, at, id, e)
}

// Unanswered notes that a request's new connection was closed with no answer. It counts as refused and is priced; those
// beyond one request in 200 are lost, which the end of the run tells. One that was sent on is lost as any other.
func (l *Ledger) Unanswered(at time.Duration, id uint64, why string) {
	e := l.entry(id)
	if e == nil || e.closed {
		return
	}
	if e.sent() {
		l.Broke(at, id, why)
		return
	}
	e.closed = true
	l.refuse(e)
	l.unserved(e, at)
	l.unansweredAll++
	l.unanswered = append(l.unanswered, Breach{Rule: Lost, What: "a new connection closed with no answer", Proxy: e.Proxy, Node: -1,
		AtMs: model.Millis(at), Request: fmt.Sprint(id), Class: l.class(e).Name, Evidence: l.story(e, fmt.Sprintf("closed at %v: %s", at, why))})
	if over := len(l.unanswered) - l.set.Keep; over > 0 {
		l.unanswered = l.unanswered[over:]
	}
}

// settleUnanswered convicts for those of them that are too many.
func (l *Ledger) settleUnanswered() {
	over := l.unansweredAll - l.taken/unansweredShare
	for i := range max(0, over) {
		l.counts[Lost]++
		if at := len(l.unanswered) - 1 - i; at >= 0 && l.counts[Lost] <= l.set.Keep {
			b := l.unanswered[at]
			b.Evidence = append(b.Evidence, fmt.Sprintf("%d of %d requests ended so; one in %d may", l.unansweredAll, l.taken, unansweredShare))
			l.breaches = append(l.breaches, b)
		}
	}
	l.unanswered, l.unansweredAll = nil, 0
}

// Probed counts probes.
func (l *Ledger) Probed(at time.Duration, n int) {
	l.probes += n
	l.second(at).probes += n
}

// Opened counts a connection that a node has taken.
func (l *Ledger) Opened(at time.Duration) { l.second(at).opened++ }

// Called counts a call that the register has got.
func (l *Ledger) Called(at time.Duration) { l.second(at).called++ }

// Crossed counts an attempt that crosses zones.
func (l *Ledger) Crossed() { l.crossing++ }

// Wasted counts work that served nobody.
func (l *Ledger) Wasted(ms float64) { l.workWasted += ms }

// coldShare is the part of the work that proxies told of a start may have sent before its fall is theirs: they must have sent more.
const coldShare = 2.0 / 3

// Fell notes that a cold node was pushed over.
func (l *Ledger) Fell(f model.Fall, node int) {
	if f.Sent <= 0 || f.Told/f.Sent <= coldShare {
		return
	}
	who, most := 0, -1.0
	evidence := []string{fmt.Sprintf("started at %v, fell at %v: %.1f requests of mean work in the window, the settings allow %.1f and it bears %.1f",
		f.Started, f.At, f.Sent, f.Allowed, f.Bears)}
	for p := range l.set.Proxies {
		if w := f.ByProxy[int32(p)]; w > 0 {
			evidence = append(evidence, fmt.Sprintf("proxy %d sent %.1f", p, w))
			if w > most {
				who, most = p, w
			}
		}
	}
	l.breach(Breach{Rule: Cold, What: "a cold node pushed over", Proxy: who, Node: node, Evidence: evidence}, f.At, 0, nil)
}

// Advance forgets what is settled, and convicts for requests that have had no answer.
func (l *Ledger) Advance(now time.Duration) {
	l.now = max(l.now, now)
	n := 0
	for i := range l.entries {
		e := &l.entries[i]
		if now <= e.Arrival.Deadline+l.set.Slack+l.set.Linger {
			break
		}
		if !e.closed {
			id := l.base + uint64(i)
			l.timedOut++
			l.failed++
			l.classes[e.Arrival.Class].Failed++
			l.unserved(e, e.Arrival.Deadline)
			l.breach(Breach{Rule: Lost, What: "no final answer", Proxy: e.Proxy, Node: -1,
				Evidence: l.story(e, fmt.Sprintf("its deadline was %v", e.Arrival.Deadline))}, e.Arrival.Deadline, id, e)
		}
		if cap(e.attempts) > 0 {
			l.free = append(l.free, e.attempts[:0])
		}
		e.attempts = nil
		n++
	}
	if n == 0 {
		return
	}
	l.base += uint64(n)
	l.entries = l.entries[n:]
	if len(l.free) > 4096 { // what a burst has left
		l.free = l.free[:4096]
	}
}

// Finish settles all that is open, as if time had passed it.
func (l *Ledger) Finish() {
	l.Advance(model.Never - 1)
	l.settleUnanswered()
	l.settleDeparted()
}

// Peak is how many requests the ledger held at most at one time.
func (l *Ledger) Peak() int { return l.peak }

func (l *Ledger) breach(b Breach, at time.Duration, id uint64, e *entry) {
	l.counts[b.Rule]++
	if l.counts[b.Rule] > l.set.Keep {
		return
	}
	b.AtMs = model.Millis(at)
	if id > 0 {
		b.Request = fmt.Sprintf("%d", id)
	}
	if e != nil {
		b.Class = l.class(e).Name
	}
	l.breaches = append(l.breaches, b)
}

// story tells what is known of a request, and then last.
func (l *Ledger) story(e *entry, last string) []string {
	a := &e.Arrival
	s := []string{fmt.Sprintf("%s taken at %v by proxy %d, try %d, deadline %v", l.class(e).Name, a.At, e.Proxy, a.Try, a.Deadline)}
	for i := range e.attempts {
		x := &e.attempts[i]
		if !x.present {
			continue
		}
		line := fmt.Sprintf("attempt %d sent at %v to node %d", i, x.at, x.node)
		switch {
		case x.proved:
			line += ", never ran"
		case x.began > 0:
			line += fmt.Sprintf(", began at %v", x.began)
		}
		if x.made {
			line += ", answered by the node"
		}
		s = append(s, line)
	}
	if e.answered > 0 {
		s = append(s, fmt.Sprintf("first final answer at %v", e.answered))
	}
	return append(s, last)
}

// Forgot tells whether a request was a client's, and is watched no more.
func (l *Ledger) Forgot(id uint64) bool { return id > 0 && id < l.base }

// Find gives what a client has asked with a request that is still watched.
func (l *Ledger) Find(id uint64) (model.Arrival, bool) {
	if id < l.base || id >= l.base+uint64(len(l.entries)) {
		return model.Arrival{}, false
	}
	return l.entries[id-l.base].Arrival, true
}
