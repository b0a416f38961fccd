// Package policybook is the state machine of a fleet's policies: the charter, the last good file of each namespace, what is offered
// and held, and the merged policy under an epoch. It is pure: commands come from a log that all stewards agree on, and the same
// commands give the same bytes at each of them. What conflicts, and who is held for it, is package namespace's to say.
//
// Three policies matter: Base is in force, Next is the train on its way, Head is the newest merged. An offer moves Head and never
// displaces Next; what has gathered departs as the next train. A train that is stopped is halved until the change at fault stands
// alone (see train.go). Epochs only rise; Order rises when an operator tells the fleet to go back, and then alone. A file's number
// is used once: what is late or repeated takes no namespace back. The design: docs/fleet-ownership-design.md, docs/capacity-trains.md.
package policybook

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"lapisspread/internal/advice"
	"lapisspread/internal/namespace"
	"lapisspread/internal/rollout"
)

// Bounds on what is kept. A policy has to fit in one answer to a proxy.
const (
	MostText   = 256 << 10 // bytes of a charter, or of a namespace's file
	MostFiles  = 1 << 20   // bytes of all good and waiting files
	MostPolicy = 512 << 10 // bytes of a policy's encoding
	MostKept   = 4         // policies that the fleet can be told to go back to
	mostBy     = 128       // bytes of who gave a command
	mostTold   = 64        // conflicts
	mostFaults = 256       // changes that were at fault, the newest
	mostWords  = 2 << 10   // bytes of one text that tells why
)

// Command is one of the four.
type Command struct {
	Charter *Charter `json:"charter,omitempty"`
	Offer   *Offer   `json:"offer,omitempty"`
	Back    *Back    `json:"back,omitempty"`
	Judge   *Judge   `json:"judge,omitempty"`
}

// Charter puts a charter in place of the one before.
type Charter struct {
	Text string `json:"text"`
	By   string `json:"by,omitempty"`
}

// Offer offers the file of a namespace.
type Offer struct {
	Text string `json:"text"`
	By   string `json:"by,omitempty"`
}

// Back is an operator's word that the fleet goes back to an epoch that is kept.
type Back struct {
	Epoch uint64 `json:"epoch"`
	By    string `json:"by,omitempty"`
}

// Judge says how a roll-out has ended. The leader gives it.
type Judge struct {
	Order uint64 `json:"order"`
	Epoch uint64 `json:"epoch"`
	Done  bool   `json:"done"`          // else it was stopped
	Why   string `json:"why,omitempty"` // of one that was stopped
	Help  string `json:"help,omitempty"`

	Proxies int `json:"proxies,omitempty"` // that the leader knew by then; 0 is not told
}

// Held tells why a namespace's file was held back. Texts stand for errors, so that all stewards keep the same bytes.
type Held struct {
	Namespace string   `json:"namespace"`
	Offered   uint64   `json:"offered"`
	Holds     uint64   `json:"holds"` // its file that goes on; 0 is none
	By        string   `json:"by,omitempty"`
	Cut       []string `json:"cut,omitempty"`
	Why       string   `json:"why"` // with the request written out, where the conflict is about one
	Help      string   `json:"help"`
}

// Kept is a policy with what it came of.
type Kept struct {
	Offer   rollout.Offer   `json:"offer"`
	Charter file            `json:"charter"`
	Files   map[string]file `json:"files"` // by namespace, as they were offered
	Text    string          `json:"text"`  // the policy's encoding
}

// file is a charter or a namespace's file, as it was given.
type file struct {
	Text   string `json:"text"`
	By     string `json:"by,omitempty"`
	Number uint64 `json:"number,omitempty"` // of a namespace's file
	At     uint64 `json:"at,omitempty"`     // the merge that it came in with
}

// UnmarshalJSON reads what snapshots of before trains have too: the text alone.
func (f *file) UnmarshalJSON(text []byte) error {
	if len(text) > 0 && text[0] == '"' {
		return json.Unmarshal(text, &f.Text)
	}
	type plain file
	return json.Unmarshal(text, (*plain)(f))
}

type state struct {
	Form      int               `json:"form"` // 1
	Charter   file              `json:"charter"`
	Good      map[string]file   `json:"good"`    // that Head came of, and those of namespaces that the charter has no more
	Waiting   map[string]file   `json:"waiting"` // held: they come in by themselves once nothing is against them
	Seen      map[string]uint64 `json:"seen"`    // the highest number that a namespace has used
	Held      []Held            `json:"held,omitempty"`
	Conflicts []string          `json:"conflicts,omitempty"`
	Order     uint64            `json:"order"`
	Epoch     uint64            `json:"epoch"`  // the highest
	Merges    uint64            `json:"merges"` // that there were
	Head      Kept              `json:"head"`   // the newest merged
	Kept      []Kept            `json:"kept,omitempty"`
	Base      int               `json:"base"`             // of Kept: what all have; -1 is none
	Next      int               `json:"next"`             // of Kept: the train on its way; -1 is none
	Trials    [][]change        `json:"trials,omitempty"` // parts of a train that was stopped, that go out one by one before Head
	Stopped   *Judge            `json:"stopped,omitempty"`
	Faults    []Fault           `json:"faults,omitempty"` // the newest last
	Proxies   int               `json:"proxies,omitempty"`
}

// flaw is a guard taken out, to see that the tests convict.
type flaw uint8

const (
	noSeen    flaw = 1 << iota // a file's number may come again
	allStop                    // one that is held stops all
	sameOrder                  // going back is not counted
	displace                   // an offer takes the place of the train on its way
	blameAll                   // a train that was stopped is not halved: all in it are at fault
	noBlame                    // the change at fault stays in Head
	tellOne                    // of a train whose changes can't be parted one is told, the others are dropped without a word
)

// Book is the state. Callers see to it that one at a time calls.
type Book struct {
	s     state
	flaws flaw
	told  *Standing // of the state as it is; nil is not worked out yet
}

// New makes an empty one. Orders begin at order: a fleet that is founded anew numbers its epochs from 1, and has to go before all
// that its proxies were told before.
func New(order uint64) *Book {
	return &Book{s: state{Form: 1, Order: order, Good: map[string]file{}, Waiting: map[string]file{}, Seen: map[string]uint64{}, Base: -1, Next: -1}}
}

// Empty tells whether nothing was ever taken in.
func (b *Book) Empty() bool { return b.s.Charter.Text == "" }

// Apply carries a command out, whole or not at all. Errors change nothing: NoCharter, TooMuch, BadCommand, EpochGone, and those of
// package namespace for a file or a charter that is bad by itself. A file that is held back is no error: see Held.
func (b *Book) Apply(c Command) error {
	given := 0
	for _, is := range []bool{c.Charter != nil, c.Offer != nil, c.Back != nil, c.Judge != nil} {
		if is {
			given++
		}
	}
	switch {
	case given != 1:
		return BadCommand{fmt.Sprintf("it says %d things", given)}
	}
	b.told = nil
	switch {
	case c.Charter != nil:
		return b.charter(*c.Charter)
	case c.Offer != nil:
		return b.offer(*c.Offer)
	case c.Back != nil:
		return b.back(*c.Back)
	}
	return b.judge(*c.Judge)
}

func bounded(what, text, by string) error {
	if len(text) > MostText {
		return TooMuch{what, len(text), MostText}
	}
	if len(by) > mostBy {
		return TooMuch{"the name of who gave it", len(by), mostBy}
	}
	return nil
}

func (b *Book) charter(c Charter) error {
	if err := bounded("the charter", c.Text, c.By); err != nil {
		return err
	}
	if _, err := namespace.ParseCharter("charter", []byte(c.Text)); err != nil {
		return err
	}
	next := b.copy()
	if c.Text != next.Charter.Text {
		next.Charter = file{Text: c.Text, By: c.By, At: next.Merges + 1}
	}
	return b.moved(next)
}

func (b *Book) offer(o Offer) error {
	if b.Empty() {
		return NoCharter{}
	}
	if err := bounded("a namespace's file", o.Text, o.By); err != nil {
		return err
	}
	n, err := namespace.Parse("offered", []byte(o.Text))
	if err != nil {
		return err
	}
	charter, err := namespace.ParseCharter("charter", []byte(b.s.Charter.Text))
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(charter.Namespaces, func(h namespace.Holder) bool { return h.Name == n.Name }) {
		return namespace.UnknownNamespace{Namespace: n.Name} // kept, it would take room that is nobody's
	}
	if b.s.Good[n.Name].Text == o.Text || b.s.Waiting[n.Name].Text == o.Text {
		return nil // told again
	}
	if seen := b.s.Seen[n.Name]; n.Number <= seen && b.flaws&noSeen == 0 {
		return namespace.VersionTaken{Namespace: n.Name, Offered: n.Number, Holds: seen}
	}
	next := b.copy()
	next.Seen[n.Name] = max(n.Number, next.Seen[n.Name])
	next.Waiting[n.Name] = file{Text: o.Text, By: o.By, Number: n.Number}
	if b.flaws&noSeen != 0 && next.Good[n.Name].Text != "" {
		delete(next.Good, n.Name)
	}
	return b.moved(next)
}

// moved puts a state in place of this one in which charter or files are others: it is merged, and if no train is on its way, one departs.
func (b *Book) moved(s *state) error {
	if err := b.merge(s, true); err != nil {
		return err
	}
	b.depart(s)
	b.s = *s
	return nil
}

// copy is a state that can be changed and thrown away. What it shares is never written to.
func (b *Book) copy() *state {
	s := b.s
	s.Good, s.Waiting, s.Seen, s.Kept = maps.Clone(s.Good), maps.Clone(s.Waiting), maps.Clone(s.Seen), slices.Clone(s.Kept)
	s.Trials, s.Faults = slices.Clone(s.Trials), slices.Clone(s.Faults)
	return &s
}

// join merges files over last good ones under a charter. All three were read before, when they came.
func join(charter file, good, offered map[string]file) (namespace.Outcome, error) {
	c, err := namespace.ParseCharter("charter", []byte(charter.Text))
	if err != nil {
		return namespace.Outcome{}, err
	}
	parse := func(files map[string]file) (all []*namespace.Namespace, err error) {
		for _, name := range slices.Sorted(maps.Keys(files)) {
			n, err := namespace.Parse(name, []byte(files[name].Text))
			if err != nil {
				return nil, err
			}
			all = append(all, n)
		}
		return all, nil
	}
	last, err := parse(good)
	if err != nil {
		return namespace.Outcome{}, err
	}
	next, err := parse(offered)
	if err != nil {
		return namespace.Outcome{}, err
	}
	return namespace.Merge(c, last, next), nil
}

// merge joins what a state has, and moves its Head. An error is told before anything but s was touched.
func (b *Book) merge(s *state, bounds bool) error {
	total := 0
	for _, files := range []map[string]file{s.Good, s.Waiting} {
		for _, f := range files {
			total += len(f.Text)
		}
	}
	if bounds && total > MostFiles {
		return TooMuch{"all namespaces' files", total, MostFiles}
	}
	out, err := join(s.Charter, s.Good, s.Waiting)
	if err != nil {
		return err
	}
	text := out.Policy.Encode()
	if bounds && len(text) > MostPolicy {
		return TooMuch{"the merged policy", len(text), MostPolicy}
	}
	if b.flaws&allStop != 0 && len(out.Held) > 0 {
		waiting := s.Waiting
		*s = *b.copy()
		s.Waiting = waiting
		return nil
	}
	s.Merges++
	s.Held, s.Conflicts = nil, nil
	for _, h := range out.Held {
		by := s.Good[h.Namespace].By
		if w, ok := s.Waiting[h.Namespace]; ok && h.Offered == w.Number {
			by = w.By
		}
		s.Held = append(s.Held, Held{h.Namespace, h.Offered, h.Holds, by, h.Cut, cut(h.Error()), advice.Of(h)})
	}
	for _, c := range out.Conflicts[:min(mostTold, len(out.Conflicts))] {
		s.Conflicts = append(s.Conflicts, cut(c.String()))
	}
	kept := Kept{Charter: s.Charter, Files: map[string]file{}, Text: string(text)}
	for _, n := range out.Good {
		if w, ok := s.Waiting[n.Name]; ok && n.Number == w.Number {
			w.At = s.Merges
			s.Good[n.Name] = w
			delete(s.Waiting, n.Name)
		}
		kept.Files[n.Name] = s.Good[n.Name]
	}
	kept.Offer = s.Head.Offer
	if s.Head.Offer.Hash != out.Hash {
		s.Epoch++
		kept.Offer = rollout.Offer{Order: s.Order, Epoch: s.Epoch, Hash: out.Hash}
	}
	s.Head = kept
	return nil
}

func cut(text string) string {
	if len(text) > mostWords {
		return text[:mostWords]
	}
	return text
}

// back puts the files of an epoch back, and gives its policy to all. What waited is dropped: it was written against other files.
func (b *Book) back(c Back) error {
	if len(c.By) > mostBy {
		return TooMuch{"the name of who gave it", len(c.By), mostBy}
	}
	at := slices.IndexFunc(b.s.Kept, func(k Kept) bool { return k.Offer.Epoch == c.Epoch })
	if at < 0 {
		var has []uint64
		for _, k := range b.s.Kept {
			has = append(has, k.Offer.Epoch)
		}
		return EpochGone{c.Epoch, has}
	}
	if at == b.s.Base && b.s.Next < 0 {
		return nil // told again
	}
	s := b.copy()
	if b.flaws&sameOrder == 0 {
		s.Order++
	}
	k := s.Kept[at]
	k.Offer.Order = s.Order
	s.Kept[at] = k
	if s.Base >= 0 {
		s.Charter = s.Kept[s.Base].Charter // that is in force stays; one on its way is dropped like the files
	}
	s.Base, s.Next, s.Stopped, s.Held, s.Conflicts, s.Trials = at, -1, nil, nil, nil, nil
	s.Waiting, s.Head = map[string]file{}, k
	was := s.Good
	s.Good = map[string]file{}
	for name, f := range k.Files {
		s.Good[name] = f
		if was[name].Text != f.Text {
			f.By = c.By
			s.Good[name] = f
		}
	}
	b.s = *s
	return nil
}

func (b *Book) judge(j Judge) error {
	if b.s.Next < 0 || b.s.Kept[b.s.Next].Offer.Epoch != j.Epoch || b.s.Kept[b.s.Next].Offer.Order != j.Order {
		return nil // of one that has given way
	}
	if b.s.Stopped != nil {
		return nil
	}
	s := b.copy()
	if j.Proxies > 0 {
		s.Proxies = j.Proxies
	}
	if j.Done {
		s.Base, s.Next = s.Next, -1
		s.settled()
	} else {
		j.Why, j.Help = cut(j.Why), cut(j.Help)
		s.Stopped = &j
		b.part(s)
	}
	b.depart(s)
	b.s = *s
	return nil
}

// Standing is what the fleet has, what goes out, and what waits. Nobody writes to its lists.
type Standing struct {
	Base     rollout.Offer // in force: what all have; none is the zero
	Next     rollout.Offer // the train on its way; none is the zero
	Head     rollout.Offer // the newest merged. It departs under this epoch or, if parts of a stopped train go first, a higher one
	Stopped  *Judge        // why Next goes no further; nil if it does
	Train    []Change      // in Next, against Base
	Gathered []Change      // in Head, and not in Next: they wait for a train
	Faults   []Fault       // changes that were taken out, the newest last; one of a namespace, until a higher number of it is in force
	Held     []Held        // by namespace
	Told     []string      // conflicts
	Kept     []uint64      // the epochs that the fleet can be told to go back to
	Proxies  int           // that the leader knew at the last judgement; 0 is not known
}

// Standing tells how things stand.
func (b *Book) Standing() Standing {
	if b.told != nil {
		return *b.told
	}
	s := &b.s
	out := Standing{Head: s.Head.Offer, Held: slices.Clone(s.Held), Told: slices.Clone(s.Conflicts), Faults: slices.Clone(s.Faults), Proxies: s.Proxies}
	from := s.base()
	out.Base = from.Offer
	if s.Next >= 0 {
		next := &s.Kept[s.Next]
		out.Next, out.Train = next.Offer, told(changes(from, next))
		if s.Stopped == nil {
			from = next
		}
	}
	out.Gathered = told(changes(from, &s.Head))
	if s.Stopped != nil {
		j := *s.Stopped
		out.Stopped = &j
	}
	for _, k := range s.Kept {
		out.Kept = append(out.Kept, k.Offer.Epoch)
	}
	b.told = &out
	return out
}

// Text is the encoding of a policy that is kept, or of Head.
func (b *Book) Text(o rollout.Offer) (string, bool) {
	if b.s.Head.Offer == o && o.Hash != "" {
		return b.s.Head.Text, true
	}
	for _, k := range b.s.Kept {
		if k.Offer == o {
			return k.Text, true
		}
	}
	return "", false
}

// Snapshot is the one encoding of the state.
func (b *Book) Snapshot() ([]byte, error) { return json.Marshal(&b.s) }

// Restore puts a snapshot in place of the state. An error changes nothing.
func (b *Book) Restore(snapshot []byte) error {
	next := New(0).s
	if err := json.Unmarshal(snapshot, &next); err != nil {
		return BadCommand{"a snapshot: " + err.Error()}
	}
	if next.Form != 1 || next.Base < -1 || next.Base >= len(next.Kept) || next.Next < -1 || next.Next >= len(next.Kept) || len(next.Kept) > MostKept {
		return BadCommand{"a snapshot of another form"}
	}
	if err := next.before(); err != nil {
		return err
	}
	for _, k := range append(slices.Clone(next.Kept), next.Head) {
		if k.Offer.Hash == "" {
			continue // nothing was ever merged
		}
		if sum := sha256.Sum256([]byte(k.Text)); hex.EncodeToString(sum[:]) != k.Offer.Hash {
			return BadCommand{fmt.Sprintf("a snapshot whose policy of epoch %d is damaged", k.Offer.Epoch)}
		}
	}
	b.s, b.told = next, nil
	return nil
}

// before gives a state of before trains what it lacks: the newest was on its way itself, and nothing gathered.
func (s *state) before() error {
	if s.Head.Offer.Hash != "" || len(s.Kept) == 0 {
		return nil
	}
	number := func(files map[string]file) error {
		for name, f := range files {
			n, err := namespace.Parse(name, []byte(f.Text))
			if err != nil {
				return err
			}
			f.Number = n.Number
			files[name] = f
		}
		return nil
	}
	for i := range s.Kept {
		s.Kept[i].Charter = s.Charter
		if err := number(s.Kept[i].Files); err != nil {
			return err
		}
	}
	switch {
	case s.Next >= 0:
		s.Head = s.Kept[s.Next]
	case s.Base >= 0:
		s.Head = s.Kept[s.Base]
	}
	return errors.Join(number(s.Good), number(s.Waiting))
}

// NoCharter is an offer to a fleet in which nobody may say anything yet.
type NoCharter struct{}

func (NoCharter) Error() string { return "the fleet has no charter" }

// Advice is what an operator can do.
func (NoCharter) Advice() string {
	return "Give the fleet its charter first: lapisspread fleet charter."
}

// TooMuch is more than the stewards keep.
type TooMuch struct {
	What       string
	Has, Limit int // bytes
}

func (e TooMuch) Error() string {
	return fmt.Sprintf("%s: %d bytes, %d are the most", e.What, e.Has, e.Limit)
}

// Advice is what an operator can do.
func (TooMuch) Advice() string {
	return "Nothing was changed. Take out rules that nothing comes to any more, and write those that are alike as one."
}

// EpochGone is a word to go back to an epoch that is not kept.
type EpochGone struct {
	Epoch uint64
	Kept  []uint64
}

func (e EpochGone) Error() string {
	return fmt.Sprintf("epoch %d is not kept; %v are", e.Epoch, e.Kept)
}

// Advice is what an operator can do.
func (EpochGone) Advice() string {
	return "Name one of the epochs that are kept, or have the teams offer the old content under new numbers."
}

// BadCommand is a command or a snapshot that can't be.
type BadCommand struct{ Why string }

func (e BadCommand) Error() string { return "policies: " + e.Why }

// Advice is what an operator can do.
func (BadCommand) Advice() string {
	return "See that all stewards and whoever speaks to them are of one release."
}
