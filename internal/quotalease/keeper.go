package quotalease

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Request is what a process asks of the stewards. It may come late, repeated and out of order.
type Request struct {
	Fleet string `json:"Fleet"`
	Epoch uint64 `json:"Epoch"` // the highest that it knows
	Key
	Seq     uint64 `json:"Seq"`     // number of the ask, from 1
	Seen    uint64 `json:"Seen"`    // newest version of the budgets that it saw
	Floors  uint64 `json:"Floors"`  // version of the floors that it goes by; 0 without the claim to them
	Leaving bool   `json:"Leaving"` // it will spend nothing more
	Wants   []Want `json:"Wants"`
}

// Want is what a process wants of a budget, beyond its floor, and how it stands.
type Want struct {
	Budget string `json:"Budget"`
	Units  Amount `json:"Units"` // units a second, or in hand
	Token  Token  `json:"Token"` // the newest that it took; it will never go by an older one
	Ended  bool   `json:"Ended"` // nor by that one
	Held   Amount `json:"Held"`  // in hand now, of grants
}

// end is when an item surely is over.
type end struct {
	at time.Duration
	Item
}

// ends is a heap, the first end on top.
type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// client is a process that asks.
type client struct {
	Request
	at      time.Duration
	pending bool // the ask is not answered by grants yet
}

// Keeper is what a steward holds beside the log and never shares: when, by its own clock, each item surely is over, and the
// latest asks. Every steward keeps ends from when it applied the entry, so any of them can lead; one that restarts counts
// everything anew. It is as safe as the book: a wrong plan is refused there. Only its word that something is over is trusted.
type Keeper struct {
	book    *Book
	quiet   time.Duration // until then it takes no part
	ends    ends
	due     []Item // over, but still in the book
	clients map[Key]*client
	again   bool // the last plan was of words alone
}

// NewKeeper makes the keeper of a steward that starts now and is silent for a time: Silence of the longest that was ever
// configured.
func NewKeeper(now, silence time.Duration, book *Book) *Keeper {
	k := &Keeper{book: book, quiet: now + silence, clients: map[Key]*client{}}
	if book.flaws.Silence {
		k.quiet = now
	}
	k.Restart(now)
	return k
}

// Quiet tells whether the steward must still keep silent: neither vote, nor confirm entries, nor lead.
func (k *Keeper) Quiet(now time.Duration) bool { return now < k.quiet }

// Restart counts all that is in the book from now on, after a Restore.
func (k *Keeper) Restart(now time.Duration) {
	k.ends, k.due = nil, nil
	k.Note(now, Applied{Born: k.book.Items()})
}

// Note tells what a command that was applied now has brought into being.
func (k *Keeper) Note(now time.Duration, a Applied) {
	for _, i := range a.Born {
		length := stretch(i.Length, k.book.drift)
		if k.book.flaws.Margin {
			length = i.Length
		}
		heap.Push(&k.ends, end{now + length, i})
	}
}

// Heard takes a request. It returns an error of this package if the stewards must not answer it; older requests than the
// last are dropped in silence.
func (k *Keeper) Heard(now time.Duration, r Request) error {
	b := k.book
	switch {
	case b.epoch == 0:
		return NotFounded{}
	case r.Fleet != b.fleet:
		return OtherFleet{b.fleet, r.Fleet}
	case r.Epoch > b.epoch:
		return OldEpoch{b.epoch, r.Epoch}
	}
	c := k.clients[r.Key]
	if c == nil {
		c = &client{}
		k.clients[r.Key] = c
	}
	if r.Seq > c.Seq {
		*c = client{r, now, true}
	}
	return nil
}

// Pending tells whether a plan is worth asking for.
func (k *Keeper) Pending(now time.Duration) bool {
	if len(k.due) > 0 || len(k.ends) > 0 && k.ends[0].at <= now {
		return true
	}
	for _, c := range k.clients {
		if c.pending {
			return true
		}
	}
	return false
}

// Plan is what the leading steward proposes now: first what frees room (words of holders, ends), then grants for those who
// asked. Whatever of it is not committed is proposed again: ends at the next plan, the rest when the holder asks again.
func (k *Keeper) Plan(now time.Duration) []Command {
	if k.Quiet(now) || k.book.epoch == 0 {
		return nil
	}
	out := k.expiries(now)
	keys := slices.SortedFunc(maps.Keys(k.clients), Key.Compare)
	var asked []*client
	for _, key := range keys {
		c := k.clients[key]
		if now-c.at > k.book.longest {
			delete(k.clients, key)
			continue
		}
		if c.pending {
			asked = append(asked, c)
			out = append(out, k.words(c)...)
		}
	}
	if len(out) > 0 && !k.again {
		k.again = true // the next plan grants what this one frees
		return out
	}
	k.again = false
	return append(out, k.grants(now, asked)...)
}

// expiries is a word for all that is over and still in the book.
func (k *Keeper) expiries(now time.Duration) []Command {
	for len(k.ends) > 0 && k.ends[0].at <= now {
		k.due = append(k.due, heap.Pop(&k.ends).(end).Item)
	}
	k.due = slices.DeleteFunc(k.due, func(i Item) bool { return !k.book.live(i) })
	var out []Command
	for _, i := range k.due {
		out = append(out, Command{Expire: &Expire{i.Key, i.Budget, i.Token}})
	}
	return out
}

// words is what a request says and the book doesn't know.
func (k *Keeper) words(c *client) []Command {
	var out []Command
	b := k.book
	floors := false
	for _, l := range b.ledgers {
		if at := l.floors[c.Holder]; len(at) > 1 && at[1].Version <= c.Floors {
			floors = true
		}
	}
	if c.Seen > b.seen && c.Seen > b.version || floors {
		out = append(out, Command{Know: &Know{c.Key, c.Seen, c.Floors}})
	}
	words := Words{Epoch: b.epoch, Key: c.Key, Seq: c.Seq, All: c.Leaving}
	said := func(w Want) {
		e := b.entry(w.Budget, c.Key)
		ahead := w.Token.Epoch == b.epoch && w.Token.Index > b.index+b.lift
		if !ahead && (e == nil || c.Seq <= e.Seq) {
			return
		}
		news := ahead || w.Held.up() < e.Rest
		if e != nil {
			for _, g := range e.Grants {
				order := g.Token.Compare(w.Token)
				news = news || order < 0 || w.Ended && order == 0 || c.Leaving
			}
		}
		if !news {
			return
		}
		words.Parts = append(words.Parts, Word{w.Budget, w.Token, w.Held, w.Ended})
	}
	for _, w := range c.Wants {
		said(w)
	}
	if len(words.Parts) > 0 {
		out = append(out, Command{Words: &words})
	}
	return out
}

// grants plans the budgets that pending asks name.
func (k *Keeper) grants(now time.Duration, asked []*client) []Command {
	named := map[string]bool{}
	for _, c := range asked {
		c.pending = false
		if c.Leaving {
			delete(k.clients, c.Key)
			continue
		}
		for _, w := range c.Wants {
			named[w.Budget] = true
		}
	}
	if k.book.past != (Token{}) || k.book.seen > k.book.version {
		return nil
	}
	parts := make([][]Part, len(asked))
	for i := range k.book.config.Budgets {
		if b := &k.book.config.Budgets[i]; named[b.Name] {
			k.grantsOf(now, b, asked, parts)
		}
	}
	var out []Command
	for i, c := range asked {
		if len(parts[i]) > 0 {
			out = append(out, Command{Grants: &Grants{k.book.fleet, k.book.epoch, c.Key, c.Seq, parts[i]}})
		}
	}
	return out
}

// grantsOf plans one budget: every process that asks or holds is weighed, those with a pending ask are granted. A share that
// grows gets what is free at the moment, and the rest at later asks, as others take up that theirs shrank.
func (k *Keeper) grantsOf(now time.Duration, b *Budget, asked []*client, to [][]Part) {
	l := k.book.ledger(b.Name)
	var demands []Demand
	for key, c := range k.clients {
		if now-c.at > b.Lease {
			continue // it is gone, or cut off
		}
		for _, w := range c.Wants {
			if w.Budget == b.Name {
				d := Demand{Key: key, Want: w.Units}
				if g := l.entries[key].newest(); g != nil {
					d.Now = g.Amount
				}
				demands = append(demands, d)
				break
			}
		}
	}
	for key, e := range l.entries { // a new leader has not heard everybody: who holds wants that, until it says or ends
		if c := k.clients[key]; (c == nil || now-c.at > b.Lease) && len(e.Grants) > 0 {
			demands = append(demands, Demand{key, e.newest().Amount, e.newest().Amount})
		}
	}
	slices.SortFunc(demands, func(x, y Demand) int { return x.Key.Compare(y.Key) })
	amounts := Divide(b, demands)
	parts := bursts(b, amounts)

	sum, fresh := l.sum, l.fresh
	whole := count{Of(b.Whole) - l.floor.amount, Of(b.Burst) - l.floor.burst}
	for i, c := range asked {
		at, found := slices.BinarySearchFunc(demands, c.Key, func(d Demand, key Key) int { return d.Key.Compare(key) })
		if !found || c.Leaving {
			continue
		}
		e := l.entries[c.Key]
		var own, ownFresh count
		if e != nil {
			own, ownFresh = e.all(k.book.flaws), e.fresh(k.book.version, k.book.flaws)
		}
		room := func(whole, sum, own, fresh, ownFresh Amount) Amount {
			return max(0, min(max(whole, sum)-sum+own, whole-fresh+ownFresh))
		}
		g := count{
			min(amounts[at], room(whole.amount, sum.amount, own.amount, fresh.amount, ownFresh.amount)),
			min(parts[at], room(whole.burst, sum.burst, own.burst, fresh.burst, ownFresh.burst)),
		}
		if b.Kind == InHand {
			g.amount = g.amount.whole()
		} else if g.burst < min(Unit, parts[at]) {
			g = count{} // nothing could be spent of it
		}
		last := e.newest()
		if last == nil && g.amount == 0 || last != nil && c.Seq <= last.Ask {
			continue
		}
		if last != nil && last.Amount == 0 && g.amount == 0 {
			continue
		}
		sum.sub(own)
		sum.add(own.max(g))
		fresh.sub(ownFresh)
		fresh.add(ownFresh.max(g))
		to[i] = append(to[i], Part{b.Name, g.amount, g.burst})
	}
}

// Clone is a copy beside a copy of its book, for worlds that are explored.
func (k *Keeper) Clone(book *Book) *Keeper {
	c := *k
	c.book = book
	c.ends, c.due = slices.Clone(k.ends), slices.Clone(k.due)
	c.clients = make(map[Key]*client, len(k.clients))
	for key, one := range k.clients {
		n := *one
		c.clients[key] = &n
	}
	return &c
}

// NextEnd is when the next item is over, for a caller's timer; false if nothing is counted.
func (k *Keeper) NextEnd() (time.Duration, bool) {
	if len(k.due) > 0 {
		return 0, true
	}
	if len(k.ends) == 0 {
		return 0, false
	}
	return k.ends[0].at, true
}

// Dump appends all that decides what the keeper does next, beside its book, for worlds that are explored.
func (k *Keeper) Dump(out []byte) []byte {
	num := func(x ...int64) {
		for _, one := range x {
			out = binary.AppendVarint(out, one)
		}
	}
	flag := int64(0)
	if k.again {
		flag = 1
	}
	num(int64(k.quiet), flag, int64(len(k.ends)), int64(len(k.due)))
	all := slices.Clone(k.ends) // a heap's order depends on its past
	slices.SortFunc(all, func(x, y end) int {
		return cmp.Or(cmp.Compare(x.at, y.at), x.Token.Compare(y.Token), x.Key.Compare(y.Key), cmp.Compare(x.Budget, y.Budget))
	})
	for _, e := range all {
		num(int64(e.at), int64(e.Token.Epoch), int64(e.Token.Index), int64(e.Incarnation))
		out = append(out, e.Holder+e.Budget...)
	}
	for _, key := range slices.SortedFunc(maps.Keys(k.clients), Key.Compare) {
		c := k.clients[key]
		pending := int64(0)
		if c.pending {
			pending = 1
		}
		num(int64(c.Incarnation), int64(c.Seq), int64(c.at), pending)
		out = append(out, c.Holder...)
	}
	return out
}
