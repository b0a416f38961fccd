// Package store is the state machine of a fleet's policies: the charter, the last good file of each namespace, what is offered
// and held, and the merged policy under an epoch. It is pure: commands come from a log that all stewards agree on, and the same
// commands give the same bytes at each of them. What conflicts, and who is held for it, is package namespace's to say.
//
// Three policies matter: Base is in force, Next is the train on its way, Head is the newest merged. An offer moves Head and never
// displaces Next; what has gathered departs as the next train. A train that is stopped is halved until the change at fault stands
// alone (see train.go). Epochs only rise; Order rises when an operator tells the fleet to go back, and then alone. A file's number
// is used once: what is late or repeated takes no namespace back. The design: docs/fleet-ownership-design.md, docs/capacity-trains.md.
package store

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// Bounds on what is kept. They reach over twice as far as 13,000 routes with 150,000 tenants (some 5 MB of files, and of policy). A
// train takes some 6 s: of those that went out in the minute for which the fleet is watched after one, each can be gone back to.
const (
	MostText   = 256 << 10 // bytes of a charter, or of a namespace's file
	MostFiles  = 16 << 20  // bytes of all good and waiting files
	MostPolicy = 16 << 20  // bytes of a policy's pieces
	MostWhole  = 512 << 10 // bytes of a policy's encoding that is given whole, to proxies that don't take pieces
	MostKept   = 16        // policies that the fleet can be told to go back to
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

// Kept is a policy with what it came of. Its offer's hash is the root of its pieces.
type Kept struct {
	Offer   rollout.Version
	Charter file
	Files   map[string]file // by namespace, as they were offered
	Tree    *merkle.Tree    // nil is none
}

// file is a charter or a namespace's file, as it was given.
type file struct {
	Text   string
	By     string
	Number uint64 // of a namespace's file
	At     uint64 // the merge that it came in with
}

type state struct {
	Charter   file
	Good      map[string]file   // that Head came of, and those of namespaces that the charter has no more
	Waiting   map[string]file   // held: they come in by themselves once nothing is against them
	Seen      map[string]uint64 // the highest number that a namespace has used
	Held      []Held
	Conflicts []string
	Order     uint64
	Epoch     uint64 // the highest
	Merges    uint64 // that there were
	Head      Kept   // the newest merged
	Kept      []Kept
	Base      int        // of Kept: what all have; -1 is none
	Next      int        // of Kept: the train on its way; -1 is none
	Trials    [][]change // parts of a train that was stopped, that go out one by one before Head
	Stopped   *Judge
	Faults    []Fault // the newest last
	Proxies   int
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
	noCache                    // files are read anew each time
	tellOne                    // of a train whose changes can't be parted one is told, the others are dropped without a word
)

// Book is the state. Callers see to it that one at a time calls.
type Book struct {
	s     state
	flaws flaw

	// What follows is no part of the state: the same commands give the same with and without it.
	told   *Standing                       // of the state as it is; nil is not worked out yet
	parsed map[string]*namespace.Namespace // files by their text
	wholes map[string]string               // encodings by root; empty is one that is too long
}

// New makes an empty one. Orders begin at order: a fleet that is founded anew numbers its epochs from 1, and has to go before all
// that its proxies were told before.
func New(order uint64) *Book {
	return &Book{s: state{Order: order, Good: map[string]file{}, Waiting: map[string]file{}, Seen: map[string]uint64{}, Base: -1, Next: -1}}
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
	defer b.forget()
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

// join merges files over last good ones under a charter, and gives the policy in pieces, with those of a tree before as far as they are
// the same. All files were read before, when they came.
func (b *Book) join(charter file, good, offered map[string]file, before *merkle.Tree) (namespace.Outcome, *merkle.Tree, error) {
	none := namespace.Outcome{}
	c, err := namespace.ParseCharter("charter", []byte(charter.Text))
	if err != nil {
		return none, nil, err
	}
	last, err := b.parse(good)
	if err != nil {
		return none, nil, err
	}
	next, err := b.parse(offered)
	if err != nil {
		return none, nil, err
	}
	out := namespace.Merge(c, last, next)
	tree, err := out.Policy.Tree()
	if err != nil || before == nil {
		return out, tree, err
	}
	tree, err = before.With(merkle.Changes(before, tree))
	return out, tree, err
}

// parse reads files. What was read stays at hand by its text.
func (b *Book) parse(files map[string]file) (all []*namespace.Namespace, err error) {
	for _, name := range slices.Sorted(maps.Keys(files)) {
		text := files[name].Text
		n := b.parsed[text]
		if n == nil || b.flaws&noCache != 0 {
			if n, err = namespace.Parse(name, []byte(text)); err != nil {
				return nil, err
			}
			if b.parsed == nil {
				b.parsed = map[string]*namespace.Namespace{}
			}
			b.parsed[text] = n
		}
		all = append(all, n)
	}
	return all, nil
}

// forget drops from what is at hand what nothing needs any more.
func (b *Book) forget() {
	if len(b.parsed) > 2*(len(b.s.Good)+len(b.s.Waiting))+64 {
		had := b.parsed
		b.parsed = map[string]*namespace.Namespace{}
		keep := func(files map[string]file) {
			for _, f := range files {
				if n := had[f.Text]; n != nil {
					b.parsed[f.Text] = n
				}
			}
		}
		keep(b.s.Good)
		keep(b.s.Waiting)
		keep(b.s.base().Files)
	}
	for root := range b.wholes {
		if _, ok := b.TreeOf(root); !ok {
			delete(b.wholes, root)
		}
	}
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
	out, tree, err := b.join(s.Charter, s.Good, s.Waiting, s.Head.Tree)
	if err != nil {
		return err
	}
	if bounds && tree.Size() > MostPolicy {
		return TooMuch{"the merged policy", tree.Size(), MostPolicy}
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
		s.Held = append(s.Held, Held{h.Namespace, h.Offered, h.Holds, by, h.Cut, cut(h.Error()), operatorerror.Of(h)})
	}
	for _, c := range out.Conflicts[:min(mostTold, len(out.Conflicts))] {
		s.Conflicts = append(s.Conflicts, cut(c.String()))
	}
	kept := Kept{Charter: s.Charter, Files: map[string]file{}, Tree: tree}
	for _, n := range out.Good {
		if w, ok := s.Waiting[n.Name]; ok && n.Number == w.Number {
			w.At = s.Merges
			s.Good[n.Name] = w
			delete(s.Waiting, n.Name)
		}
		kept.Files[n.Name] = s.Good[n.Name]
	}
	kept.Offer = s.Head.Offer
	if root := tree.Root().String(); s.Head.Offer.Hash != root {
		s.Epoch++
		kept.Offer = rollout.Version{Generation: s.Order, Epoch: s.Epoch, Hash: root}
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
	k.Offer.Generation = s.Order
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
	if h := b.s.Head.Offer; h.Epoch == j.Epoch && h.Generation == j.Order && h.Hash != "" && !b.s.departed(h.Epoch) {
		// An entry of before trains, when the newest took the place of what was on its way: it went out, and proxies may have it.
		s := b.copy()
		s.Trials = nil
		s.enter(s.Head)
		b.s = *s
	}
	if b.s.Next < 0 || b.s.Kept[b.s.Next].Offer.Epoch != j.Epoch || b.s.Kept[b.s.Next].Offer.Generation != j.Order {
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
	Base     rollout.Version `json:"Base"`     // in force: what all have; none is the zero
	Next     rollout.Version `json:"Next"`     // the train on its way; none is the zero
	Head     rollout.Version `json:"Head"`     // the newest merged. It departs under this epoch or, if parts of a stopped train go first, a higher one
	Stopped  *Judge          `json:"Stopped"`  // why Next goes no further; nil if it does
	Train    []Change        `json:"Train"`    // in Next, against Base
	Gathered []Change        `json:"Gathered"` // in Head, and not in Next: they wait for a train
	Faults   []Fault         `json:"Faults"`   // changes that were taken out, the newest last; one of a namespace, until a higher number of it is in force
	Held     []Held          `json:"Held"`     // by namespace
	Told     []string        `json:"Told"`     // conflicts
	Kept     []uint64        `json:"Kept"`     // the epochs that the fleet can be told to go back to
	Proxies  int             `json:"Proxies"`  // that the leader knew at the last judgement; 0 is not known
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

// Tree is a policy that is kept, or Head, in pieces.
func (b *Book) Tree(o rollout.Version) (*merkle.Tree, bool) {
	for k := range b.s.policies() {
		if k.Offer == o {
			return k.Tree, true
		}
	}
	return nil, false
}

// TreeOf is the policy of a root in hexadecimal, if it is kept under any epoch.
func (b *Book) TreeOf(root string) (*merkle.Tree, bool) {
	for k := range b.s.policies() {
		if k.Offer.Hash == root {
			return k.Tree, true
		}
	}
	return nil, false
}

// Policies are all that are kept, and Head, the newest first.
func (b *Book) Policies() iter.Seq2[rollout.Version, *merkle.Tree] {
	return func(yield func(rollout.Version, *merkle.Tree) bool) {
		for k := range b.s.policies() {
			if !yield(k.Offer, k.Tree) {
				return
			}
		}
	}
}

// Whole is the encoding of a policy that is kept, for proxies that don't take pieces. It is not ok if it is longer than MostWhole, or
// the policy is not kept.
func (b *Book) Whole(o rollout.Version) (text string, ok bool) {
	tree, there := b.Tree(o)
	if !there {
		return "", false
	}
	text, known := b.wholes[o.Hash]
	if !known {
		if tree.Size() <= 4*MostWhole { // else it need not be tried
			if p, err := namespace.FromTree(tree); err == nil {
				text = string(p.Encode())
			}
		}
		if len(text) > MostWhole {
			text = ""
		}
		if b.wholes == nil {
			b.wholes = map[string]string{}
		}
		b.wholes[o.Hash] = text
	}
	return text, text != ""
}

// policies are all that are kept, the newest first.
func (s *state) policies() iter.Seq[*Kept] {
	return func(yield func(*Kept) bool) {
		if s.Head.Tree != nil && !yield(&s.Head) {
			return
		}
		for i := range s.Kept {
			if !yield(&s.Kept[len(s.Kept)-1-i]) {
				return
			}
		}
	}
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
