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
	fleetID   = "f"
	quotaName = "b"
)

// driftingClock is wrong by a constant rate.
type driftingClock struct {
	rate   float64
	offset time.Duration
}

func (c driftingClock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// logEntry is an entry of a log; id stands for it and all before it.
type logEntry struct {
	term, id uint64
	command  quotalease.Command
}

// server is one of the stewards. Its log and term are durable, unless its store is exchanged.
type server struct {
	driftingClock
	id        int
	up        bool
	log       []logEntry // shared between copies of a world: never changed in place
	term      uint64
	leader    bool
	match     []int           // of a leader: how much each has confirmed in its term
	contact   []time.Duration // and when it confirmed last, by the leader's clock
	confirmed int             // entries that it confirmed to a leader, or committed as one
	commit    int
	applied   int
	state     *quotalease.StateMachine
	allocator *quotalease.Allocator
	requests  map[quotalease.HolderID]*request // the last that it took from each
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

// inFlightWork is a unit in hand.
type inFlightWork struct {
	token quotalease.Token
	until time.Duration // by its process's clock, or by true time when the process is gone
}

// proxy is one proxy.
type proxy struct {
	driftingClock
	quotalease.HolderID
	*quotalease.Holder
	up       bool
	inFlight []inFlightWork
}

// Settings are those of a world.
type Settings struct {
	Holders, Servers           int
	Kind                       quotalease.Kind
	Limit, Burst               float64
	LeaseDuration, MaxHoldTime time.Duration
	MaxDrift                   float64
	Floor                      float64        // of the first holder
	MaxMoment                  time.Duration  // the longest moment of a drawn run; 0 is a twentieth of a lease
	FaultRates                 map[string]int // how often each fault is drawn, in 4,000 moments; nil is the usual
	mutations                  mutation.Set
}

// configuredLimit is a configured whole under which something was granted; it counts until that must have ended, by true time.
type configuredLimit struct {
	units, burst float64
	until        time.Duration
}

// cluster is one state of everything.
type cluster struct {
	settings     Settings
	now          time.Duration // true time
	servers      []*server
	proxies      []*proxy
	requests     []*request
	replies      []*reply
	orphanedWork []inFlightWork // of processes that are gone
	cutLinks     map[[2]int]bool
	limits       []configuredLimit // all that count now; the last is the newest
	version      uint64            // highest that was ever committed
	epoch        uint64
	level        float64 // of one bucket for the whole, which all that is spent must fit
	filledAt     time.Duration
	spentUnits   float64
	demandUnits  float64 // that each process wants
	violation    string  // what broke
	incarnations uint64  // incarnations that there were
}

func (s *Settings) config(units, burst float64) quotalease.FleetConfig {
	b := quotalease.Quota{Name: quotaName, Kind: s.Kind, Limit: units, Burst: burst, LeaseDuration: s.LeaseDuration, MaxHoldTime: s.MaxHoldTime}
	if s.Floor > 0 {
		b.Floors = map[string]float64{holderName(0): s.Floor}
	}
	return quotalease.FleetConfig{FleetID: fleetID, MaxDrift: s.MaxDrift, MaxLifetime: s.maxLifetime(), Quotas: []quotalease.Quota{b}}
}

func (s *Settings) maxLifetime() time.Duration { return s.LeaseDuration + s.MaxHoldTime }

func holderName(i int) string { return string(rune('a'+i%26)) + string(rune('a'+i/26)) }

// newCluster is a fleet that is founded, with all stewards past their silence and the first one leading. rate says how wrong
// the clock of the i-th process is, as a part of the drift: -1 is slowest, 1 fastest; stewards come first.
func newCluster(s Settings, rate func(i int) float64) *cluster {
	w := &cluster{settings: s, cutLinks: map[[2]int]bool{}, demandUnits: 2 * s.Limit, epoch: 1}
	for i := range s.Servers {
		w.servers = append(w.servers, &server{driftingClock: driftingClock{1 + s.MaxDrift*rate(i), time.Hour * time.Duration(i)}, id: i, up: true})
		w.startServer(w.servers[i], 0)
	}
	lead := w.servers[0]
	base := []quotalease.Command{
		{Bootstrap: &quotalease.Bootstrap{FleetID: fleetID, Epoch: 1, MaxDrift: s.MaxDrift, MaxLifetime: s.maxLifetime()}},
		{Expire: &quotalease.Expire{Token: quotalease.Token{Epoch: 0, Index: 1}}},
		{SetQuotas: &quotalease.SetQuotas{Version: 1, Config: s.config(s.Limit, s.Burst)}},
	}
	base[1].Expire.Token = quotalease.Token{Epoch: 1, Index: 1}
	lead.term, lead.leader, lead.match, lead.contact = 1, true, make([]int, s.Servers), make([]time.Duration, s.Servers)
	for _, c := range base {
		w.append(lead, c)
	}
	for _, f := range w.servers[1:] {
		w.replicate(lead, f)
	}
	for _, f := range w.servers[1:] {
		w.replicate(lead, f)
	}
	for i := range s.Holders {
		wrong := driftingClock{1 + s.MaxDrift*rate(s.Servers+i), -time.Minute * time.Duration(i)}
		w.proxies = append(w.proxies, &proxy{driftingClock: wrong, HolderID: quotalease.HolderID{Holder: holderName(i)}})
		w.startProxy(i)
	}
	return w
}

// startProxy starts a process of a name.
func (w *cluster) startProxy(i int) {
	p := w.proxies[i]
	w.incarnations++
	p.Incarnation = w.incarnations
	set := quotalease.HolderSettings{FleetID: fleetID, HolderID: p.HolderID, MaxDrift: w.settings.MaxDrift}
	if p.Holder != nil { // what the one before kept on disk
		set.ConfigVersion, set.Floors = p.Holder.Floors()
	}
	p.Holder = quotalease.NewHolder(set)
	p.SetMutations(w.settings.mutations)
	p.SetFloorClaim(p.at(w.now), true)
	p.SetDemand(quotaName, w.demandUnits)
	p.up = true
}

// stopProxy ends a process; what it has in hand goes on elsewhere, until its life is over.
func (w *cluster) stopProxy(i int) {
	p := w.proxies[i]
	p.up = false
	for _, one := range p.inFlight {
		left := float64(one.until-p.at(w.now)) / p.rate
		if left > 0 {
			w.orphanedWork = append(w.orphanedWork, inFlightWork{until: w.now + time.Duration(left)})
		}
	}
	p.inFlight = nil
}

// startServer starts a steward with what its store holds, silent for a time.
func (w *cluster) startServer(s *server, silence time.Duration) {
	s.up, s.leader, s.confirmed, s.commit, s.applied = true, false, 0, 0, 0
	s.requests = map[quotalease.HolderID]*request{}
	s.state = quotalease.NewStateMachine()
	s.state.SetMutations(w.settings.mutations)
	s.allocator = quotalease.NewAllocator(s.at(w.now), silence, s.state)
}

func (w *cluster) startupSilence() time.Duration {
	return quotalease.StartupSilence(w.settings.maxLifetime(), w.settings.MaxDrift)
}

// restartServer starts a steward anew, with the first entries of its log: all of them, or those of an older copy of its store.
func (w *cluster) restartServer(s *server, entries int) {
	if entries < len(s.log) {
		s.log = s.log[:entries:entries]
		s.term = 0
		if entries > 0 {
			s.term = s.log[entries-1].term
		}
	}
	w.startServer(s, w.startupSilence())
}

func (w *cluster) silent(s *server) bool { return s.allocator.Silent(s.at(w.now)) }

func (w *cluster) majority() int { return w.settings.Servers/2 + 1 }

func (w *cluster) append(s *server, c quotalease.Command) {
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
	s.log = append(s.log[:len(s.log):len(s.log)], logEntry{s.term, xxh3.Hash(data), c})
	s.match[s.id] = len(s.log)
}

// electLeader lets a steward ask for votes; others vote for it if its log is no older than theirs. (Ongaro and Ousterhout, In
// Search of an Understandable Consensus Algorithm, 2014, 5.2 and 5.4; with a vote before, so nothing changes in vain.)
func (w *cluster) electLeader(c *server) bool {
	if !c.up || c.leader || w.silent(c) {
		return false
	}
	last := func(s *server) (term uint64, n int) {
		if n = len(s.log); n > 0 {
			term = s.log[n-1].term
		}
		return term, n
	}
	term, n := last(c)
	var votes []*server
	for _, v := range w.servers {
		vt, vn := last(v)
		if v != c && v.up && !w.silent(v) && w.connected(c.id, v.id) && v.term <= c.term && (vt < term || vt == term && vn <= n) {
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
	c.leader, c.match, c.contact = true, make([]int, w.settings.Servers), make([]time.Duration, w.settings.Servers)
	for i := range c.contact {
		c.contact[i] = c.at(w.now)
	}
	w.append(c, quotalease.Command{Batch: []quotalease.Command{}}) // an entry of its own term: with it all before is committed
	return true
}

func (w *cluster) connected(a, b int) bool {
	return !w.cutLinks[[2]int{a, b}] && !w.cutLinks[[2]int{b, a}]
}

// replicate sends a follower the leader's log, and the leader its confirmation.
func (w *cluster) replicate(l, f *server) bool {
	if !l.up || !l.leader || l == f || !f.up || w.silent(f) || !w.connected(l.id, f.id) {
		return false
	}
	if f.term > l.term {
		l.term, l.leader = f.term, false
		return true
	}
	f.term, f.leader = l.term, false
	if n := f.confirmed; n > 0 && (len(l.log) < n || l.log[n-1].id != f.log[n-1].id) {
		// What it confirmed, and what may have been committed with that, is not in the log any more: a store was put back. As
		// after a start, it confirms nothing until what was granted by it has ended.
		f.log = l.log
		silence := w.startupSilence()
		if w.settings.mutations.NoSilenceAfterTruncation {
			silence = 0
		}
		w.startServer(f, silence)
		return true
	}
	f.log, f.confirmed = l.log, len(l.log)
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
			l.commit, l.confirmed = n, max(l.confirmed, n)
			break
		}
	}
	w.applyCommitted(l)
	w.recordLimit(l)
	w.applyCommitted(f)
	return true
}

func (w *cluster) applyCommitted(s *server) {
	for s.applied < s.commit {
		c := s.log[s.applied].command
		s.applied++
		if c.SetQuotas != nil && s.leader {
			w.recordLimit(s) // what comes before it in the log is granted now too, under the whole of before
		}
		a, _ := s.state.Apply(uint64(s.applied), c) // what the book refuses changes nothing
		s.allocator.ObserveApplied(s.at(w.now), a)
		_, v := s.state.Config()
		w.version = max(w.version, v)
	}
}

// recordLimit notes the whole of a leader that may just have committed grants.
func (w *cluster) recordLimit(l *server) {
	f, _ := l.state.Config()
	if len(f.Quotas) == 0 {
		return
	}
	one := configuredLimit{f.Quotas[0].Limit, f.Quotas[0].Burst, 0}
	one.until = w.now + time.Duration(float64(w.settings.maxLifetime())/(1-w.settings.MaxDrift)) + time.Millisecond
	w.limits = slices.DeleteFunc(slices.Clone(w.limits), func(x configuredLimit) bool { return x.units == one.units || x.until < w.now })
	w.limits = append(w.limits, one)
}

// stepDownWithoutQuorum lets leaders that a majority has not confirmed for the longest time step down.
func (w *cluster) stepDownWithoutQuorum() {
	for _, s := range w.servers {
		if !s.leader || !s.up {
			continue
		}
		have := 1
		for i, at := range s.contact {
			if i != s.id && s.at(w.now)-at <= w.settings.maxLifetime() {
				have++
			}
		}
		if have < w.majority() {
			s.leader = false
		}
	}
}

// sendRequest lets a process ask; the request is on the network from now on.
func (w *cluster) sendRequest(i int) {
	p := w.proxies[i]
	at := p.at(w.now)
	r := &request{from: i, sentAt: at, Request: p.NextRequest(at)}
	r.id = r.Incarnation<<32 | r.Seq
	w.requests = append(w.requests, r)
}

// deliverRequest lets a steward take a request; a leader plans.
func (w *cluster) deliverRequest(s *server, r *request) bool {
	if !s.up || s.allocator.HandleRequest(s.at(w.now), r.Request) != nil {
		return false
	}
	if last := s.requests[r.HolderID]; last == nil || last.Seq < r.Seq {
		s.requests[r.HolderID] = r
	}
	w.proposePlan(s)
	return true
}

// runOperator is what operators do at a leader whose history lacks their word: they found the fleet anew, and set its budgets.
func (w *cluster) runOperator(s *server) {
	if !s.up || !s.leader {
		return
	}
	for _, r := range s.log[s.commit:] {
		if r.command.Bootstrap != nil || r.command.SetQuotas != nil {
			return // said, not committed yet
		}
	}
	_, epoch, _ := s.state.Bootstrapped()
	if epoch < w.epoch {
		w.epoch++
		w.append(s, quotalease.Command{Bootstrap: &quotalease.Bootstrap{FleetID: fleetID, Epoch: w.epoch, MaxDrift: w.settings.MaxDrift, MaxLifetime: w.settings.maxLifetime()}})
		return
	}
	if _, v := s.state.Config(); v < w.version {
		w.append(s, quotalease.Command{SetQuotas: &quotalease.SetQuotas{Version: w.version + 1, Config: w.settings.config(w.settings.Limit, w.settings.Burst)}})
	}
}

// proposePlan lets a leader put its plan into its log.
func (w *cluster) proposePlan(s *server) bool {
	if !s.up || !s.leader {
		return false
	}
	c := s.allocator.Plan(s.at(w.now))
	if len(c) == 0 {
		return false
	}
	w.append(s, quotalease.Command{Batch: c})
	return true
}

// sendReply lets a steward answer the last request that it heard of a process.
func (w *cluster) sendReply(s *server, r *request) {
	book := s.state
	if w.settings.mutations.ReplyBeforeCommit {
		book = book.Clone()
		for i := s.applied; i < len(s.log); i++ {
			book.Apply(uint64(i+1), s.log[i].command)
		}
	}
	if _, _, err := book.Bootstrapped(); !s.up || err != nil {
		return
	}
	out := &reply{to: r.from, sentAt: r.sentAt, Reply: book.ReplyTo(r.HolderID)}
	data := binary.AppendVarint(nil, int64(r.sentAt))
	for _, g := range out.Leases {
		data = binary.AppendUvarint(data, g.Token.Index)
		data = binary.AppendVarint(data, int64(g.Amount))
	}
	data = binary.AppendUvarint(data, out.ConfigVersion)
	out.id = xxh3.Hash(data)
	for _, had := range w.replies {
		if had.id == out.id && had.to == out.to && had.HolderID == out.HolderID {
			return
		}
	}
	w.replies = append(w.replies, out)
}

// deliverReply lets a process take a reply; what it refuses it refuses.
func (w *cluster) deliverReply(r *reply) {
	if p := w.proxies[r.to]; p.up {
		p.HandleReply(r.sentAt, p.at(w.now), r.Reply)
	}
}

// maxLimit is the largest whole that counts now.
func (w *cluster) maxLimit() (units, burst float64) {
	units, burst = w.settings.Floor, w.settings.Burst*w.settings.Floor/w.settings.Limit // nobody takes these back
	for _, x := range w.limits {
		if x.until >= w.now {
			units, burst = max(units, x.units), max(burst, x.burst)
		}
	}
	return units, burst
}

// fillSharedBucket keeps the one bucket that all that is spent must fit.
func (w *cluster) fillSharedBucket() {
	units, burst := w.maxLimit()
	w.level = min(burst, w.level+units*(w.now-w.filledAt).Seconds())
	w.filledAt = w.now
}

// acquire lets a process spend what it can of a rate, or take up to most units in hand.
func (w *cluster) acquire(i, most int) {
	p := w.proxies[i]
	for range most {
		at := p.at(w.now)
		t, err := p.Acquire(at, quotaName, 1)
		if err != nil {
			return
		}
		w.spentUnits++
		if w.settings.Kind == quotalease.InFlight {
			p.inFlight = append(p.inFlight, inFlightWork{t, at + w.settings.MaxHoldTime})
			continue
		}
		w.fillSharedBucket()
		if w.level--; w.level < -1e-3 {
			w.recordViolation("%s spends beyond the whole and its burst, by %.3f units", p.HolderID.Holder, -w.level)
		}
	}
}

// releaseWork gives back what is over, and the first n besides.
func (w *cluster) releaseWork(i, n int) {
	p := w.proxies[i]
	at := p.at(w.now)
	p.inFlight = slices.DeleteFunc(slices.Clone(p.inFlight), func(one inFlightWork) bool {
		if one.until > at && n <= 0 {
			return false
		}
		n--
		if err := p.Release(quotaName, one.token, 1); err != nil {
			w.recordViolation("%v", err)
		}
		return true
	})
}

func (w *cluster) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// outstanding is all that processes may spend now, with what is in hand.
func (w *cluster) outstanding() (sum float64) {
	for _, p := range w.proxies {
		at := p.at(w.now)
		var held, floorHeld float64
		for _, one := range p.inFlight {
			switch {
			case one.until <= at:
			case one.token == quotalease.Token{}:
				floorHeld++
			default:
				held++
			}
		}
		if p.up {
			has := p.Status(at, quotaName)
			held, floorHeld = max(held, has.Amount.Units()), max(floorHeld, has.Floor.Units())
		}
		sum += held + floorHeld
	}
	for _, one := range w.orphanedWork {
		if one.until > w.now {
			sum++
		}
	}
	return sum
}

// checkInvariant tells what is broken now, "" if nothing is.
func (w *cluster) checkInvariant() string {
	units, _ := w.maxLimit()
	if sum := w.outstanding(); w.violation == "" && sum > units+1e-6 {
		w.recordViolation("%.6f may be spent of a whole of %v", sum, units)
	}
	return w.violation
}

// clone is a copy that shares what never changes.
func (w *cluster) clone() *cluster {
	c := *w
	c.servers = make([]*server, len(w.servers))
	for i, s := range w.servers {
		n := *s
		n.match, n.contact = slices.Clone(s.match), slices.Clone(s.contact)
		n.state = s.state.Clone()
		n.allocator = s.allocator.Clone(n.state)
		n.requests = make(map[quotalease.HolderID]*request, len(s.requests))
		for k, r := range s.requests {
			n.requests[k] = r
		}
		c.servers[i] = &n
	}
	c.proxies = make([]*proxy, len(w.proxies))
	for i, p := range w.proxies {
		n := *p
		n.Holder = p.Holder.Clone()
		n.inFlight = slices.Clone(p.inFlight)
		c.proxies[i] = &n
	}
	c.requests, c.replies = slices.Clone(w.requests), slices.Clone(w.replies)
	c.orphanedWork, c.limits = slices.Clone(w.orphanedWork), slices.Clone(w.limits)
	return &c
}

// stateHash stands for the state: equal keys, equal futures.
func (w *cluster) stateHash(buf []byte) ([]byte, xxh3.Uint128) {
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
	for _, s := range w.servers {
		num(flag(s.up), int(s.term), flag(s.leader), s.commit, s.applied, len(s.log), s.confirmed)
		if n := len(s.log); n > 0 {
			buf = binary.AppendUvarint(buf, s.log[n-1].id) // the book follows from the log and what is applied of it
		}
		if s.leader {
			num(s.match...)
			for _, at := range s.contact {
				num(int(at))
			}
		}
		buf = s.allocator.AppendState(buf)
		for _, p := range w.proxies {
			if r := s.requests[p.HolderID]; r != nil {
				num(int(r.Seq))
			}
		}
	}
	for _, p := range w.proxies {
		buf = p.AppendState(buf)
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
