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
	MaxFileBytes        = 256 << 10 // bytes of a charter, or of a namespace's file
	MaxTotalFileBytes   = 16 << 20  // bytes of all good and waiting files
	MaxPolicyBytes      = 16 << 20  // bytes of a policy's pieces
	MaxUnchunkedBytes   = 512 << 10 // bytes of a policy's encoding that is given whole, to proxies that don't take pieces
	MaxRetainedPolicies = 16        // policies that the fleet can be told to go back to
	maxAuthorBytes      = 128       // bytes of who gave a command
	maxConflicts        = 64        // conflicts
	maxFailedChanges    = 256       // changes that were at fault, the newest
	maxReasonBytes      = 2 << 10   // bytes of one text that tells why
)

// Command is one of the four.
type Command struct {
	SetDeclaration *SetDeclaration `json:"charter,omitempty"`
	SubmitFile     *SubmitFile     `json:"offer,omitempty"`
	Rollback       *Rollback       `json:"back,omitempty"`
	RolloutResult  *RolloutResult  `json:"judge,omitempty"`
}

// SetDeclaration puts a charter in place of the one before.
type SetDeclaration struct {
	Text   string `json:"text"`
	Author string `json:"by,omitempty"`
}

// SubmitFile offers the file of a namespace.
type SubmitFile struct {
	Text   string `json:"text"`
	Author string `json:"by,omitempty"`
}

// Rollback is an operator's word that the fleet goes back to an epoch that is kept.
type Rollback struct {
	Epoch  uint64 `json:"epoch"`
	Author string `json:"by,omitempty"`
}

// RolloutResult says how a roll-out has ended. The leader gives it.
type RolloutResult struct {
	Generation uint64 `json:"order"`
	Epoch      uint64 `json:"epoch"`
	Completed  bool   `json:"done"`          // else it was stopped
	Reason     string `json:"why,omitempty"` // of one that was stopped
	Advice     string `json:"help,omitempty"`

	ProxyCount int `json:"proxies,omitempty"` // that the leader knew by then; 0 is not told
}

// HeldFile tells why a namespace's file was held back. Texts stand for errors, so that all stewards keep the same bytes.
type HeldFile struct {
	Namespace    string   `json:"namespace"`
	Submitted    uint64   `json:"offered"`
	Active       uint64   `json:"holds"` // its file that goes on; 0 is none
	Author       string   `json:"by,omitempty"`
	RemovedItems []string `json:"cut,omitempty"`
	Reason       string   `json:"why"` // with the request written out, where the conflict is about one
	Advice       string   `json:"help"`
}

// retainedPolicy is a policy with what it came of. Its offer's hash is the root of its pieces.
type retainedPolicy struct {
	version     rollout.Version
	declaration submittedFile
	files       map[string]submittedFile // by namespace, as they were offered
	tree        *merkle.Tree             // nil is none
}

// submittedFile is a charter or a namespace's file, as it was given.
type submittedFile struct {
	text        string
	author      string
	number      uint64 // of a namespace's file
	mergeNumber uint64 // the merge that it came in with
}

type state struct {
	declaration    submittedFile
	accepted       map[string]submittedFile // that Head came of, and those of namespaces that the charter has no more
	pending        map[string]submittedFile // held: they come in by themselves once nothing is against them
	highestNumbers map[string]uint64        // the highest number that a namespace has used
	heldFiles      []HeldFile
	conflicts      []string
	generation     uint64
	lastEpoch      uint64         // the highest
	mergeCount     uint64         // that there were
	head           retainedPolicy // the newest merged
	retained       []retainedPolicy
	activeIndex    int               // of Kept: what all have; -1 is none
	candidateIndex int               // of Kept: the train on its way; -1 is none
	bisection      [][]trackedChange // parts of a train that was stopped, that go out one by one before Head
	stopped        *RolloutResult
	failedChanges  []FailedChange // the newest last
	proxyCount     int
}

// mutation is a guard taken out, to see that the tests convict.
type mutation uint8

const (
	allowReusedNumbers mutation = 1 << iota // a file's number may come again
	holdEverything                          // one that is held stops all
	keepGeneration                          // going back is not counted
	displaceCandidate                       // an offer takes the place of the train on its way
	skipBisection                           // a train that was stopped is not halved: all in it are at fault
	keepFailedChanges                       // the change at fault stays in Head
	skipParseCache                          // files are read anew each time
	reportOnlyFirst                         // of a train whose changes can't be parted one is told, the others are dropped without a word
)

// StateMachine is the state. Callers see to it that one at a time calls.
type StateMachine struct {
	state     state
	mutations mutation

	// What follows is no part of the state: the same commands give the same with and without it.
	cachedStatus *Status                         // of the state as it is; nil is not worked out yet
	parsedFiles  map[string]*namespace.Namespace // files by their text
	unchunked    map[string]string               // encodings by root; empty is one that is too long
}

// New makes an empty one. Orders begin at order: a fleet that is founded anew numbers its epochs from 1, and has to go before all
// that its proxies were told before.
func New(order uint64) *StateMachine {
	return &StateMachine{state: state{generation: order, accepted: map[string]submittedFile{}, pending: map[string]submittedFile{}, highestNumbers: map[string]uint64{}, activeIndex: -1, candidateIndex: -1}}
}

// Empty tells whether nothing was ever taken in.
func (b *StateMachine) Empty() bool { return b.state.declaration.text == "" }

// Apply carries a command out, whole or not at all. Errors change nothing: NoCharter, TooMuch, BadCommand, EpochGone, and those of
// package namespace for a file or a charter that is bad by itself. A file that is held back is no error: see Held.
func (b *StateMachine) Apply(c Command) error {
	given := 0
	for _, is := range []bool{c.SetDeclaration != nil, c.SubmitFile != nil, c.Rollback != nil, c.RolloutResult != nil} {
		if is {
			given++
		}
	}
	switch {
	case given != 1:
		return InvalidCommandError{fmt.Sprintf("it says %d things", given)}
	}
	b.cachedStatus = nil
	defer b.pruneCaches()
	switch {
	case c.SetDeclaration != nil:
		return b.setDeclaration(*c.SetDeclaration)
	case c.SubmitFile != nil:
		return b.submitFile(*c.SubmitFile)
	case c.Rollback != nil:
		return b.rollBack(*c.Rollback)
	}
	return b.finishRollout(*c.RolloutResult)
}

func checkSizes(what, text, by string) error {
	if len(text) > MaxFileBytes {
		return TooLargeError{what, len(text), MaxFileBytes}
	}
	if len(by) > maxAuthorBytes {
		return TooLargeError{"the name of who gave it", len(by), maxAuthorBytes}
	}
	return nil
}

func (b *StateMachine) setDeclaration(c SetDeclaration) error {
	if err := checkSizes("the charter", c.Text, c.Author); err != nil {
		return err
	}
	if _, err := namespace.ParseCharter("charter", []byte(c.Text)); err != nil {
		return err
	}
	next := b.cloneState()
	if c.Text != next.declaration.text {
		next.declaration = submittedFile{text: c.Text, author: c.Author, mergeNumber: next.mergeCount + 1}
	}
	return b.mergeAndCommit(next)
}

func (b *StateMachine) submitFile(o SubmitFile) error {
	if b.Empty() {
		return NoDeclarationError{}
	}
	if err := checkSizes("a namespace's file", o.Text, o.Author); err != nil {
		return err
	}
	n, err := namespace.Parse("offered", []byte(o.Text))
	if err != nil {
		return err
	}
	charter, err := namespace.ParseCharter("charter", []byte(b.state.declaration.text))
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(charter.Namespaces, func(h namespace.Holder) bool { return h.Name == n.Name }) {
		return namespace.UnknownNamespace{Namespace: n.Name} // kept, it would take room that is nobody's
	}
	if b.state.accepted[n.Name].text == o.Text || b.state.pending[n.Name].text == o.Text {
		return nil // told again
	}
	if seen := b.state.highestNumbers[n.Name]; n.Number <= seen && b.mutations&allowReusedNumbers == 0 {
		return namespace.VersionTaken{Namespace: n.Name, Offered: n.Number, Holds: seen}
	}
	next := b.cloneState()
	next.highestNumbers[n.Name] = max(n.Number, next.highestNumbers[n.Name])
	next.pending[n.Name] = submittedFile{text: o.Text, author: o.Author, number: n.Number}
	if b.mutations&allowReusedNumbers != 0 && next.accepted[n.Name].text != "" {
		delete(next.accepted, n.Name)
	}
	return b.mergeAndCommit(next)
}

// mergeAndCommit puts a state in place of this one in which charter or files are others: it is merged, and if no train is on its way, one departs.
func (b *StateMachine) mergeAndCommit(s *state) error {
	if err := b.updateHead(s, true); err != nil {
		return err
	}
	b.startNextRollout(s)
	b.state = *s
	return nil
}

// cloneState is a state that can be changed and thrown away. What it shares is never written to.
func (b *StateMachine) cloneState() *state {
	s := b.state
	s.accepted, s.pending, s.highestNumbers, s.retained = maps.Clone(s.accepted), maps.Clone(s.pending), maps.Clone(s.highestNumbers), slices.Clone(s.retained)
	s.bisection, s.failedChanges = slices.Clone(s.bisection), slices.Clone(s.failedChanges)
	return &s
}

// mergeFiles merges files over last good ones under a charter, and gives the policy in pieces, with those of a tree before as far as they are
// the same. All files were read before, when they came.
func (b *StateMachine) mergeFiles(charter submittedFile, good, offered map[string]submittedFile, before *merkle.Tree) (namespace.Outcome, *merkle.Tree, error) {
	none := namespace.Outcome{}
	c, err := namespace.ParseCharter("charter", []byte(charter.text))
	if err != nil {
		return none, nil, err
	}
	last, err := b.parseFiles(good)
	if err != nil {
		return none, nil, err
	}
	next, err := b.parseFiles(offered)
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

// parseFiles reads files. What was read stays at hand by its text.
func (b *StateMachine) parseFiles(files map[string]submittedFile) (all []*namespace.Namespace, err error) {
	for _, name := range slices.Sorted(maps.Keys(files)) {
		text := files[name].text
		n := b.parsedFiles[text]
		if n == nil || b.mutations&skipParseCache != 0 {
			if n, err = namespace.Parse(name, []byte(text)); err != nil {
				return nil, err
			}
			if b.parsedFiles == nil {
				b.parsedFiles = map[string]*namespace.Namespace{}
			}
			b.parsedFiles[text] = n
		}
		all = append(all, n)
	}
	return all, nil
}

// pruneCaches drops from what is at hand what nothing needs any more.
func (b *StateMachine) pruneCaches() {
	if len(b.parsedFiles) > 2*(len(b.state.accepted)+len(b.state.pending))+64 {
		had := b.parsedFiles
		b.parsedFiles = map[string]*namespace.Namespace{}
		keep := func(files map[string]submittedFile) {
			for _, f := range files {
				if n := had[f.text]; n != nil {
					b.parsedFiles[f.text] = n
				}
			}
		}
		keep(b.state.accepted)
		keep(b.state.pending)
		keep(b.state.active().files)
	}
	for root := range b.unchunked {
		if _, ok := b.TreeByRoot(root); !ok {
			delete(b.unchunked, root)
		}
	}
}

// updateHead joins what a state has, and moves its Head. An error is told before anything but s was touched.
func (b *StateMachine) updateHead(s *state, bounds bool) error {
	total := 0
	for _, files := range []map[string]submittedFile{s.accepted, s.pending} {
		for _, f := range files {
			total += len(f.text)
		}
	}
	if bounds && total > MaxTotalFileBytes {
		return TooLargeError{"all namespaces' files", total, MaxTotalFileBytes}
	}
	out, tree, err := b.mergeFiles(s.declaration, s.accepted, s.pending, s.head.tree)
	if err != nil {
		return err
	}
	if bounds && tree.Size() > MaxPolicyBytes {
		return TooLargeError{"the merged policy", tree.Size(), MaxPolicyBytes}
	}
	if b.mutations&holdEverything != 0 && len(out.Held) > 0 {
		waiting := s.pending
		*s = *b.cloneState()
		s.pending = waiting
		return nil
	}
	s.mergeCount++
	s.heldFiles, s.conflicts = nil, nil
	for _, h := range out.Held {
		by := s.accepted[h.Namespace].author
		if w, ok := s.pending[h.Namespace]; ok && h.Offered == w.number {
			by = w.author
		}
		s.heldFiles = append(s.heldFiles, HeldFile{h.Namespace, h.Offered, h.Holds, by, h.Cut, truncate(h.Error()), operatorerror.Of(h)})
	}
	for _, c := range out.Conflicts[:min(maxConflicts, len(out.Conflicts))] {
		s.conflicts = append(s.conflicts, truncate(c.String()))
	}
	kept := retainedPolicy{declaration: s.declaration, files: map[string]submittedFile{}, tree: tree}
	for _, n := range out.Good {
		if w, ok := s.pending[n.Name]; ok && n.Number == w.number {
			w.mergeNumber = s.mergeCount
			s.accepted[n.Name] = w
			delete(s.pending, n.Name)
		}
		kept.files[n.Name] = s.accepted[n.Name]
	}
	kept.version = s.head.version
	if root := tree.Root().String(); s.head.version.Hash != root {
		s.lastEpoch++
		kept.version = rollout.Version{Generation: s.generation, Epoch: s.lastEpoch, Hash: root}
	}
	s.head = kept
	return nil
}

func truncate(text string) string {
	if len(text) > maxReasonBytes {
		return text[:maxReasonBytes]
	}
	return text
}

// rollBack puts the files of an epoch back, and gives its policy to all. What waited is dropped: it was written against other files.
func (b *StateMachine) rollBack(c Rollback) error {
	if len(c.Author) > maxAuthorBytes {
		return TooLargeError{"the name of who gave it", len(c.Author), maxAuthorBytes}
	}
	at := slices.IndexFunc(b.state.retained, func(k retainedPolicy) bool { return k.version.Epoch == c.Epoch })
	if at < 0 {
		var has []uint64
		for _, k := range b.state.retained {
			has = append(has, k.version.Epoch)
		}
		return EpochNotRetainedError{c.Epoch, has}
	}
	if at == b.state.activeIndex && b.state.candidateIndex < 0 {
		return nil // told again
	}
	s := b.cloneState()
	if b.mutations&keepGeneration == 0 {
		s.generation++
	}
	k := s.retained[at]
	k.version.Generation = s.generation
	s.retained[at] = k
	if s.activeIndex >= 0 {
		s.declaration = s.retained[s.activeIndex].declaration // that is in force stays; one on its way is dropped like the files
	}
	s.activeIndex, s.candidateIndex, s.stopped, s.heldFiles, s.conflicts, s.bisection = at, -1, nil, nil, nil, nil
	s.pending, s.head = map[string]submittedFile{}, k
	was := s.accepted
	s.accepted = map[string]submittedFile{}
	for name, f := range k.files {
		s.accepted[name] = f
		if was[name].text != f.text {
			f.author = c.Author
			s.accepted[name] = f
		}
	}
	b.state = *s
	return nil
}

func (b *StateMachine) finishRollout(j RolloutResult) error {
	if h := b.state.head.version; h.Epoch == j.Epoch && h.Generation == j.Generation && h.Hash != "" && !b.state.rolledOut(h.Epoch) {
		// An entry of before trains, when the newest took the place of what was on its way: it went out, and proxies may have it.
		s := b.cloneState()
		s.bisection = nil
		s.startRollout(s.head)
		b.state = *s
	}
	if b.state.candidateIndex < 0 || b.state.retained[b.state.candidateIndex].version.Epoch != j.Epoch || b.state.retained[b.state.candidateIndex].version.Generation != j.Generation {
		return nil // of one that has given way
	}
	if b.state.stopped != nil {
		return nil
	}
	s := b.cloneState()
	if j.ProxyCount > 0 {
		s.proxyCount = j.ProxyCount
	}
	if j.Completed {
		s.activeIndex, s.candidateIndex = s.candidateIndex, -1
		s.clearSuperseded()
	} else {
		j.Reason, j.Advice = truncate(j.Reason), truncate(j.Advice)
		s.stopped = &j
		b.bisect(s)
	}
	b.startNextRollout(s)
	b.state = *s
	return nil
}

// Status is what the fleet has, what goes out, and what waits. Nobody writes to its lists.
type Status struct {
	Active         rollout.Version `json:"Base"`     // in force: what all have; none is the zero
	Candidate      rollout.Version `json:"Next"`     // the train on its way; none is the zero
	Head           rollout.Version `json:"Head"`     // the newest merged. It departs under this epoch or, if parts of a stopped train go first, a higher one
	Stopped        *RolloutResult  `json:"Stopped"`  // why Next goes no further; nil if it does
	Batch          []Change        `json:"Train"`    // in Next, against Base
	Queued         []Change        `json:"Gathered"` // in Head, and not in Next: they wait for a train
	FailedChanges  []FailedChange  `json:"Faults"`   // changes that were taken out, the newest last; one of a namespace, until a higher number of it is in force
	HeldFiles      []HeldFile      `json:"Held"`     // by namespace
	Conflicts      []string        `json:"Told"`     // conflicts
	RetainedEpochs []uint64        `json:"Kept"`     // the epochs that the fleet can be told to go back to
	ProxyCount     int             `json:"Proxies"`  // that the leader knew at the last judgement; 0 is not known
}

// Status tells how things stand.
func (b *StateMachine) Status() Status {
	if b.cachedStatus != nil {
		return *b.cachedStatus
	}
	s := &b.state
	out := Status{Head: s.head.version, HeldFiles: slices.Clone(s.heldFiles), Conflicts: slices.Clone(s.conflicts), FailedChanges: slices.Clone(s.failedChanges), ProxyCount: s.proxyCount}
	from := s.active()
	out.Active = from.version
	if s.candidateIndex >= 0 {
		next := &s.retained[s.candidateIndex]
		out.Candidate, out.Batch = next.version, publicChanges(changesBetween(from, next))
		if s.stopped == nil {
			from = next
		}
	}
	out.Queued = publicChanges(changesBetween(from, &s.head))
	if s.stopped != nil {
		j := *s.stopped
		out.Stopped = &j
	}
	for _, k := range s.retained {
		out.RetainedEpochs = append(out.RetainedEpochs, k.version.Epoch)
	}
	b.cachedStatus = &out
	return out
}

// Tree is a policy that is kept, or Head, in pieces.
func (b *StateMachine) Tree(o rollout.Version) (*merkle.Tree, bool) {
	for k := range b.state.newestFirst() {
		if k.version == o {
			return k.tree, true
		}
	}
	return nil, false
}

// TreeByRoot is the policy of a root in hexadecimal, if it is kept under any epoch.
func (b *StateMachine) TreeByRoot(root string) (*merkle.Tree, bool) {
	for k := range b.state.newestFirst() {
		if k.version.Hash == root {
			return k.tree, true
		}
	}
	return nil, false
}

// Policies are all that are kept, and Head, the newest first.
func (b *StateMachine) Policies() iter.Seq2[rollout.Version, *merkle.Tree] {
	return func(yield func(rollout.Version, *merkle.Tree) bool) {
		for k := range b.state.newestFirst() {
			if !yield(k.version, k.tree) {
				return
			}
		}
	}
}

// Unchunked is the encoding of a policy that is kept, for proxies that don't take pieces. It is not ok if it is longer than MostWhole, or
// the policy is not kept.
func (b *StateMachine) Unchunked(o rollout.Version) (text string, ok bool) {
	tree, there := b.Tree(o)
	if !there {
		return "", false
	}
	text, known := b.unchunked[o.Hash]
	if !known {
		if tree.Size() <= 4*MaxUnchunkedBytes { // else it need not be tried
			if p, err := namespace.FromTree(tree); err == nil {
				text = string(p.Encode())
			}
		}
		if len(text) > MaxUnchunkedBytes {
			text = ""
		}
		if b.unchunked == nil {
			b.unchunked = map[string]string{}
		}
		b.unchunked[o.Hash] = text
	}
	return text, text != ""
}

// newestFirst are all that are kept, the newest first.
func (s *state) newestFirst() iter.Seq[*retainedPolicy] {
	return func(yield func(*retainedPolicy) bool) {
		if s.head.tree != nil && !yield(&s.head) {
			return
		}
		for i := range s.retained {
			if !yield(&s.retained[len(s.retained)-1-i]) {
				return
			}
		}
	}
}

// NoDeclarationError is an offer to a fleet in which nobody may say anything yet.
type NoDeclarationError struct{}

func (NoDeclarationError) Error() string { return "the fleet has no charter" }

// Advice is what an operator can do.
func (NoDeclarationError) Advice() string {
	return "Give the fleet its charter first: lapisspread fleet charter."
}

// TooLargeError is more than the stewards keep.
type TooLargeError struct {
	What         string
	Bytes, Limit int // bytes
}

func (e TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d bytes, %d are the most", e.What, e.Bytes, e.Limit)
}

// Advice is what an operator can do.
func (TooLargeError) Advice() string {
	return "Nothing was changed. Take out rules that nothing comes to any more, and write those that are alike as one."
}

// EpochNotRetainedError is a word to go back to an epoch that is not kept.
type EpochNotRetainedError struct {
	Epoch    uint64
	Retained []uint64
}

func (e EpochNotRetainedError) Error() string {
	return fmt.Sprintf("epoch %d is not kept; %v are", e.Epoch, e.Retained)
}

// Advice is what an operator can do.
func (EpochNotRetainedError) Advice() string {
	return "Name one of the epochs that are kept, or have the teams offer the old content under new numbers."
}

// InvalidCommandError is a command or a snapshot that can't be.
type InvalidCommandError struct{ Reason string }

func (e InvalidCommandError) Error() string { return "policies: " + e.Reason }

// Advice is what an operator can do.
func (InvalidCommandError) Advice() string {
	return "See that all stewards and whoever speaks to them are of one release."
}
