// Package modelcheck tries the machine of package grant: a small world with a clock for each process that is wrong within the
// stated drift, stewards that agree by an abstract Raft (terms, votes, majorities, logs that are cut back), stores that are
// lost or put back from an older copy, and a network that loses, delays, reorders and repeats. All states of a small world
// are explored (Explore), long runs of larger ones are drawn (Draw). At every moment it is checked that all that any
// process may still spend sums to no more than the whole.
package modelcheck

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"lapisspread/internal/quotalease"
	"lapisspread/internal/quotalease/internal/mutation"
)

const (
	fleet  = "f"
	budget = "b"
)

// clock is wrong by a constant rate.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// rec is an entry of a log; id stands for it and all before it.
type rec struct {
	term, id uint64
	cmd      quotalease.Command
}

// steward is one of the stewards. Its log and term are durable, unless its store is exchanged.
type steward struct {
	clock
	id      int
	up      bool
	log     []rec // shared between copies of a world: never changed in place
	term    uint64
	leader  bool
	match   []int           // of a leader: how much each has confirmed in its term
	contact []time.Duration // and when it confirmed last, by the leader's clock
	sure    int             // entries that it confirmed to a leader, or committed as one
	commit  int
	applied int
	book    *quotalease.Book
	keeper  *quotalease.Keeper
	heard   map[quotalease.Key]*request // the last that it took from each
}

type request struct {
	id     uint64
	from   int
	sentAt time.Duration // by the sender's clock
	quotalease.Request
}

type reply struct {
	id     uint64
	to     int
	sentAt time.Duration // of the request, by the holder's clock
	quotalease.Reply
}

// work is a unit in hand.
type work struct {
	token quotalease.Token
	until time.Duration // by its process's clock, or by true time when the process is gone
}

// process is one proxy.
type process struct {
	clock
	quotalease.Key
	*quotalease.Holder
	up    bool
	works []work
}

// Settings are those of a world.
type Settings struct {
	Holders, Stewards int
	Kind              quotalease.Kind
	Whole, Burst      float64
	Lease, Life       time.Duration
	Drift             float64
	Floor             float64        // of the first holder
	Step              time.Duration  // the longest moment of a drawn run; 0 is a twentieth of a lease
	Mix               map[string]int // how often each fault is drawn, in 4,000 moments; nil is the usual
	flaws             mutation.Set
}

// whole is a configured whole under which something was granted; it counts until that must have ended, by true time.
type whole struct {
	units, burst float64
	until        time.Duration
}

// World is one state of everything.
type World struct {
	set      Settings
	now      time.Duration // true time
	stewards []*steward
	procs    []*process
	requests []*request
	replies  []*reply
	orphans  []work // of processes that are gone
	cut      map[[2]int]bool
	wholes   []whole // all that count now; the last is the newest
	version  uint64  // highest that was ever committed
	epoch    uint64
	level    float64 // of one bucket for the whole, which all that is spent must fit
	filled   time.Duration
	spent    float64
	demand   float64 // that each process wants
	found    string  // what broke
	lives    uint64  // incarnations that there were
}

func (s *Settings) fleet(units, burst float64) quotalease.Fleet {
	b := quotalease.Budget{Name: budget, Kind: s.Kind, Whole: units, Burst: burst, Lease: s.Lease, Life: s.Life}
	if s.Floor > 0 {
		b.Floors = map[string]float64{name(0): s.Floor}
	}
	return quotalease.Fleet{ID: fleet, Drift: s.Drift, Longest: s.longest(), Budgets: []quotalease.Budget{b}}
}

func (s *Settings) longest() time.Duration { return s.Lease + s.Life }

func name(i int) string { return string(rune('a'+i%26)) + string(rune('a'+i/26)) }

// newWorld is a fleet that is founded, with all stewards past their silence and the first one leading. rate says how wrong
// the clock of the i-th process is, as a part of the drift: -1 is slowest, 1 fastest; stewards come first.
func newWorld(s Settings, rate func(i int) float64) *World {
	w := &World{set: s, cut: map[[2]int]bool{}, demand: 2 * s.Whole, epoch: 1}
	for i := range s.Stewards {
		w.stewards = append(w.stewards, &steward{clock: clock{1 + s.Drift*rate(i), time.Hour * time.Duration(i)}, id: i, up: true})
		w.start(w.stewards[i], 0)
	}
	lead := w.stewards[0]
	base := []quotalease.Command{
		{Found: &quotalease.Found{Fleet: fleet, Epoch: 1, Drift: s.Drift, Longest: s.longest()}},
		{Expire: &quotalease.Expire{Token: quotalease.Token{Epoch: 0, Index: 1}}},
		{SetBudgets: &quotalease.SetBudgets{Version: 1, Fleet: s.fleet(s.Whole, s.Burst)}},
	}
	base[1].Expire.Token = quotalease.Token{Epoch: 1, Index: 1}
	lead.term, lead.leader, lead.match, lead.contact = 1, true, make([]int, s.Stewards), make([]time.Duration, s.Stewards)
	for _, c := range base {
		w.append(lead, c)
	}
	for _, f := range w.stewards[1:] {
		w.replicate(lead, f)
	}
	for _, f := range w.stewards[1:] {
		w.replicate(lead, f)
	}
	for i := range s.Holders {
		wrong := clock{1 + s.Drift*rate(s.Stewards+i), -time.Minute * time.Duration(i)}
		w.procs = append(w.procs, &process{clock: wrong, Key: quotalease.Key{Holder: name(i)}})
		w.born(i)
	}
	return w
}

// born starts a process of a name.
func (w *World) born(i int) {
	p := w.procs[i]
	w.lives++
	p.Incarnation = w.lives
	set := quotalease.HolderSettings{Fleet: fleet, Key: p.Key, Drift: w.set.Drift}
	if p.Holder != nil { // what the one before kept on disk
		set.Version, set.Floors = p.Holder.Floors()
	}
	p.Holder = quotalease.NewHolder(set)
	p.Without(w.set.flaws)
	p.Claim(p.at(w.now), true)
	p.Want(budget, w.demand)
	p.up = true
}

// gone ends a process; what it has in hand goes on elsewhere, until its life is over.
func (w *World) gone(i int) {
	p := w.procs[i]
	p.up = false
	for _, one := range p.works {
		left := float64(one.until-p.at(w.now)) / p.rate
		if left > 0 {
			w.orphans = append(w.orphans, work{until: w.now + time.Duration(left)})
		}
	}
	p.works = nil
}

// start starts a steward with what its store holds, silent for a time.
func (w *World) start(s *steward, silence time.Duration) {
	s.up, s.leader, s.sure, s.commit, s.applied = true, false, 0, 0, 0
	s.heard = map[quotalease.Key]*request{}
	s.book = quotalease.NewBook()
	s.book.Without(w.set.flaws)
	s.keeper = quotalease.NewKeeper(s.at(w.now), silence, s.book)
}

func (w *World) silence() time.Duration { return quotalease.Silence(w.set.longest(), w.set.Drift) }

// restart starts a steward anew, with the first entries of its log: all of them, or those of an older copy of its store.
func (w *World) restart(s *steward, entries int) {
	if entries < len(s.log) {
		s.log = s.log[:entries:entries]
		s.term = 0
		if entries > 0 {
			s.term = s.log[entries-1].term
		}
	}
	w.start(s, w.silence())
}

func (w *World) quiet(s *steward) bool { return s.keeper.Quiet(s.at(w.now)) }

func (w *World) majority() int { return w.set.Stewards/2 + 1 }

func (w *World) append(s *steward, c quotalease.Command) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // commands are plain data
	}
	id := uint64(0)
	if n := len(s.log); n > 0 {
		id = s.log[n-1].id
	}
	data = binary.AppendUvarint(data, id)
	data = binary.AppendUvarint(data, s.term)
	s.log = append(s.log[:len(s.log):len(s.log)], rec{s.term, xxh3.Hash(data), c})
	s.match[s.id] = len(s.log)
}

// elect lets a steward ask for votes; others vote for it if its log is no older than theirs. (Ongaro and Ousterhout, In
// Search of an Understandable Consensus Algorithm, 2014, 5.2 and 5.4; with a vote before, so nothing changes in vain.)
func (w *World) elect(c *steward) bool {
	if !c.up || c.leader || w.quiet(c) {
		return false
	}
	last := func(s *steward) (term uint64, n int) {
		if n = len(s.log); n > 0 {
			term = s.log[n-1].term
		}
		return term, n
	}
	term, n := last(c)
	var votes []*steward
	for _, v := range w.stewards {
		vt, vn := last(v)
		if v != c && v.up && !w.quiet(v) && w.linked(c.id, v.id) && v.term <= c.term && (vt < term || vt == term && vn <= n) {
			votes = append(votes, v)
		}
	}
	if len(votes)+1 < w.majority() {
		return false
	}
	c.term++
	for _, v := range votes {
		v.term, v.leader = c.term, false
	}
	c.leader, c.match, c.contact = true, make([]int, w.set.Stewards), make([]time.Duration, w.set.Stewards)
	for i := range c.contact {
		c.contact[i] = c.at(w.now)
	}
	w.append(c, quotalease.Command{Batch: []quotalease.Command{}}) // an entry of its own term: with it all before is committed
	return true
}

func (w *World) linked(a, b int) bool { return !w.cut[[2]int{a, b}] && !w.cut[[2]int{b, a}] }

// replicate sends a follower the leader's log, and the leader its confirmation.
func (w *World) replicate(l, f *steward) bool {
	if !l.up || !l.leader || l == f || !f.up || w.quiet(f) || !w.linked(l.id, f.id) {
		return false
	}
	if f.term > l.term {
		l.term, l.leader = f.term, false
		return true
	}
	f.term, f.leader = l.term, false
	if n := f.sure; n > 0 && (len(l.log) < n || l.log[n-1].id != f.log[n-1].id) {
		// What it confirmed, and what may have been committed with that, is not in the log any more: a store was put back. As
		// after a start, it confirms nothing until what was granted by it has ended.
		f.log = l.log
		silence := w.silence()
		if w.set.flaws.Cut {
			silence = 0
		}
		w.start(f, silence)
		return true
	}
	f.log, f.sure = l.log, len(l.log)
	l.match[f.id] = len(l.log)
	l.contact[f.id] = l.at(w.now)
	f.commit = max(f.commit, min(l.commit, len(f.log))) // it learns of the commit with the next message
	for n := len(l.log); n > l.commit && l.log[n-1].term == l.term; n-- {
		have := 0
		for _, m := range l.match {
			if m >= n {
				have++
			}
		}
		if have >= w.majority() {
			l.commit, l.sure = n, max(l.sure, n)
			break
		}
	}
	w.apply(l)
	w.grantedUnder(l)
	w.apply(f)
	return true
}

func (w *World) apply(s *steward) {
	for s.applied < s.commit {
		c := s.log[s.applied].cmd
		s.applied++
		if c.SetBudgets != nil && s.leader {
			w.grantedUnder(s) // what comes before it in the log is granted now too, under the whole of before
		}
		a, _ := s.book.Apply(uint64(s.applied), c) // what the book refuses changes nothing
		s.keeper.Note(s.at(w.now), a)
		_, v := s.book.Budgets()
		w.version = max(w.version, v)
	}
}

// grantedUnder notes the whole of a leader that may just have committed grants.
func (w *World) grantedUnder(l *steward) {
	f, _ := l.book.Budgets()
	if len(f.Budgets) == 0 {
		return
	}
	one := whole{f.Budgets[0].Whole, f.Budgets[0].Burst, 0}
	one.until = w.now + time.Duration(float64(w.set.longest())/(1-w.set.Drift)) + time.Millisecond
	w.wholes = slices.DeleteFunc(slices.Clone(w.wholes), func(x whole) bool { return x.units == one.units || x.until < w.now })
	w.wholes = append(w.wholes, one)
}

// quorum lets leaders that a majority has not confirmed for the longest time step down.
func (w *World) quorum() {
	for _, s := range w.stewards {
		if !s.leader || !s.up {
			continue
		}
		have := 1
		for i, at := range s.contact {
			if i != s.id && s.at(w.now)-at <= w.set.longest() {
				have++
			}
		}
		if have < w.majority() {
			s.leader = false
		}
	}
}

// ask lets a process ask; the request is on the network from now on.
func (w *World) ask(i int) {
	p := w.procs[i]
	at := p.at(w.now)
	r := &request{from: i, sentAt: at, Request: p.Ask(at)}
	r.id = r.Incarnation<<32 | r.Seq
	w.requests = append(w.requests, r)
}

// hear lets a steward take a request; a leader plans.
func (w *World) hear(s *steward, r *request) bool {
	if !s.up || s.keeper.Heard(s.at(w.now), r.Request) != nil {
		return false
	}
	if last := s.heard[r.Key]; last == nil || last.Seq < r.Seq {
		s.heard[r.Key] = r
	}
	w.propose(s)
	return true
}

// operate is what operators do at a leader whose history lacks their word: they found the fleet anew, and set its budgets.
func (w *World) operate(s *steward) {
	if !s.up || !s.leader {
		return
	}
	for _, r := range s.log[s.commit:] {
		if r.cmd.Found != nil || r.cmd.SetBudgets != nil {
			return // said, not committed yet
		}
	}
	_, epoch, _ := s.book.Founded()
	if epoch < w.epoch {
		w.epoch++
		w.append(s, quotalease.Command{Found: &quotalease.Found{Fleet: fleet, Epoch: w.epoch, Drift: w.set.Drift, Longest: w.set.longest()}})
		return
	}
	if _, v := s.book.Budgets(); v < w.version {
		w.append(s, quotalease.Command{SetBudgets: &quotalease.SetBudgets{Version: w.version + 1, Fleet: w.set.fleet(w.set.Whole, w.set.Burst)}})
	}
}

// propose lets a leader put its plan into its log.
func (w *World) propose(s *steward) bool {
	if !s.up || !s.leader {
		return false
	}
	c := s.keeper.Plan(s.at(w.now))
	if len(c) == 0 {
		return false
	}
	w.append(s, quotalease.Command{Batch: c})
	return true
}

// tell lets a steward answer the last request that it heard of a process.
func (w *World) tell(s *steward, r *request) {
	book := s.book
	if w.set.flaws.Commit {
		book = book.Clone()
		for i := s.applied; i < len(s.log); i++ {
			book.Apply(uint64(i+1), s.log[i].cmd)
		}
	}
	if _, _, err := book.Founded(); !s.up || err != nil {
		return
	}
	out := &reply{to: r.from, sentAt: r.sentAt, Reply: book.Tell(r.Key)}
	data := binary.AppendVarint(nil, int64(r.sentAt))
	for _, g := range out.Grants {
		data = binary.AppendUvarint(data, g.Token.Index)
		data = binary.AppendVarint(data, int64(g.Amount))
	}
	data = binary.AppendUvarint(data, out.Version)
	out.id = xxh3.Hash(data)
	for _, had := range w.replies {
		if had.id == out.id && had.to == out.to && had.Key == out.Key {
			return
		}
	}
	w.replies = append(w.replies, out)
}

// take lets a process take a reply; what it refuses it refuses.
func (w *World) take(r *reply) {
	if p := w.procs[r.to]; p.up {
		p.Take(r.sentAt, p.at(w.now), r.Reply)
	}
}

// most is the largest whole that counts now.
func (w *World) most() (units, burst float64) {
	units, burst = w.set.Floor, w.set.Burst*w.set.Floor/w.set.Whole // nobody takes these back
	for _, x := range w.wholes {
		if x.until >= w.now {
			units, burst = max(units, x.units), max(burst, x.burst)
		}
	}
	return units, burst
}

// fill keeps the one bucket that all that is spent must fit.
func (w *World) fill() {
	units, burst := w.most()
	w.level = min(burst, w.level+units*(w.now-w.filled).Seconds())
	w.filled = w.now
}

// spend lets a process spend what it can of a rate, or take up to most units in hand.
func (w *World) spend(i, most int) {
	p := w.procs[i]
	for range most {
		at := p.at(w.now)
		t, err := p.Allow(at, budget, 1)
		if err != nil {
			return
		}
		w.spent++
		if w.set.Kind == quotalease.InHand {
			p.works = append(p.works, work{t, at + w.set.Life})
			continue
		}
		w.fill()
		if w.level--; w.level < -1e-3 {
			w.fail("%s spends beyond the whole and its burst, by %.3f units", p.Key.Holder, -w.level)
		}
	}
}

// finish gives back what is over, and the first n besides.
func (w *World) finish(i, n int) {
	p := w.procs[i]
	at := p.at(w.now)
	p.works = slices.DeleteFunc(slices.Clone(p.works), func(one work) bool {
		if one.until > at && n <= 0 {
			return false
		}
		n--
		if err := p.Done(budget, one.token, 1); err != nil {
			w.fail("%v", err)
		}
		return true
	})
}

func (w *World) fail(format string, args ...any) {
	if w.found == "" {
		w.found = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// granted is all that processes may spend now, with what is in hand.
func (w *World) granted() (sum float64) {
	for _, p := range w.procs {
		at := p.at(w.now)
		var held, floorHeld float64
		for _, one := range p.works {
			switch {
			case one.until <= at:
			case one.token == quotalease.Token{}:
				floorHeld++
			default:
				held++
			}
		}
		if p.up {
			has := p.Has(at, budget)
			held, floorHeld = max(held, has.Amount.Units()), max(floorHeld, has.Floor.Units())
		}
		sum += held + floorHeld
	}
	for _, one := range w.orphans {
		if one.until > w.now {
			sum++
		}
	}
	return sum
}

// check tells what is broken now, "" if nothing is.
func (w *World) check() string {
	units, _ := w.most()
	if sum := w.granted(); w.found == "" && sum > units+1e-6 {
		w.fail("%.6f may be spent of a whole of %v", sum, units)
	}
	return w.found
}

// clone is a copy that shares what never changes.
func (w *World) clone() *World {
	c := *w
	c.stewards = make([]*steward, len(w.stewards))
	for i, s := range w.stewards {
		n := *s
		n.match, n.contact = slices.Clone(s.match), slices.Clone(s.contact)
		n.book = s.book.Clone()
		n.keeper = s.keeper.Clone(n.book)
		n.heard = make(map[quotalease.Key]*request, len(s.heard))
		for k, r := range s.heard {
			n.heard[k] = r
		}
		c.stewards[i] = &n
	}
	c.procs = make([]*process, len(w.procs))
	for i, p := range w.procs {
		n := *p
		n.Holder = p.Holder.Clone()
		n.works = slices.Clone(p.works)
		c.procs[i] = &n
	}
	c.requests, c.replies = slices.Clone(w.requests), slices.Clone(w.replies)
	c.orphans, c.wholes = slices.Clone(w.orphans), slices.Clone(w.wholes)
	return &c
}

// key stands for the state: equal keys, equal futures.
func (w *World) key(buf []byte) ([]byte, xxh3.Uint128) {
	buf = buf[:0]
	num := func(x ...int) {
		for _, one := range x {
			buf = binary.AppendVarint(buf, int64(one))
		}
	}
	flag := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	num(int(w.now), len(w.requests), len(w.replies))
	for _, s := range w.stewards {
		num(flag(s.up), int(s.term), flag(s.leader), s.commit, s.applied, len(s.log), s.sure)
		if n := len(s.log); n > 0 {
			buf = binary.AppendUvarint(buf, s.log[n-1].id) // the book follows from the log and what is applied of it
		}
		if s.leader {
			num(s.match...)
			for _, at := range s.contact {
				num(int(at))
			}
		}
		buf = s.keeper.Dump(buf)
		for _, p := range w.procs {
			if r := s.heard[p.Key]; r != nil {
				num(int(r.Seq))
			}
		}
	}
	for _, p := range w.procs {
		buf = p.Dump(buf)
	}
	ids := make([]uint64, 0, len(w.requests)+len(w.replies))
	for _, r := range w.requests {
		ids = append(ids, r.id)
	}
	for _, r := range w.replies {
		ids = append(ids, r.id+uint64(r.to))
	}
	slices.Sort(ids)
	for _, id := range ids {
		buf = binary.AppendUvarint(buf, id)
	}
	return buf, xxh3.Hash128(buf)
}
