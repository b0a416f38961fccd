package store

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// snapshotFormat is the form of snapshots that is written. Form 1, of before there were trains and pieces, is JSON with whole texts: it is read.
const snapshotFormat = 2

// snapshot is a state as it is written: CBOR in its one deterministic encoding (RFC 8949, 4.2). Texts and pieces stand in it once, and
// what refers to them does so by their hash, so that what was damaged is found.
type snapshot struct {
	Format         int               `json:"Form"`
	Texts          [][]byte          `json:"Texts"`   // of charters and files
	Chunks         [][]byte          `json:"Pieces"`  // of all policies
	Files          []snapshotFile    `json:"Files"`   // each once
	Declaration    int               `json:"Charter"` // of Files
	Accepted       []int             `json:"Good"`    // of Files
	Pending        []int             `json:"Waiting"` // of Files
	HighestNumbers map[string]uint64 `json:"Seen"`
	HeldFiles      []HeldFile        `json:"Held"`
	Conflicts      []string          `json:"Conflicts"`
	Generation     uint64            `json:"Order"`
	LastEpoch      uint64            `json:"Epoch"`
	MergeCount     uint64            `json:"Merges"`
	Head           snapshotPolicy    `json:"Head"`
	Retained       []snapshotPolicy  `json:"Kept"`
	ActiveIndex    int               `json:"Base"`
	CandidateIndex int               `json:"Next"`
	Bisection      [][]trackedChange `json:"Trials"`
	Stopped        *RolloutResult    `json:"Stopped"`
	FailedChanges  []FailedChange    `json:"Faults"`
	ProxyCount     int               `json:"Proxies"`
}

type snapshotFile struct {
	Namespace   string      `json:"Namespace"` // empty for a charter
	Text        merkle.Name `json:"Text"`
	Author      string      `json:"By"`
	Number      uint64      `json:"Number"`
	MergeNumber uint64      `json:"At"`
}

type snapshotPolicy struct {
	Version     rollout.Version `json:"Offer"` // without a hash nothing was ever merged
	Declaration int             `json:"Charter"`
	Files       []int           `json:"Files"`
}

var (
	encMode = func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err) // the options are the package's own
		}
		return m
	}()
	decMode = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 20}.DecMode()
		if err != nil {
			panic(err) // they are within its bounds
		}
		return m
	}()
)

// Snapshot is the one encoding of the state.
func (b *StateMachine) Snapshot() ([]byte, error) {
	s := &b.state
	all := map[snapshotFile]string{}
	names := map[string]merkle.Name{} // texts are many times the same
	one := func(namespace string, f submittedFile) snapshotFile {
		name, ok := names[f.text]
		if !ok {
			name = merkle.NameOf([]byte(f.text))
			names[f.text] = name
		}
		return snapshotFile{namespace, name, f.author, f.number, f.mergeNumber}
	}
	note := func(charter submittedFile, lists ...map[string]submittedFile) {
		all[one("", charter)] = charter.text
		for _, files := range lists {
			for name, f := range files {
				all[one(name, f)] = f.text
			}
		}
	}
	note(s.declaration, s.accepted, s.pending)
	for k := range s.newestFirst() {
		note(k.declaration, k.files)
	}
	out := snapshot{Format: snapshotFormat, HighestNumbers: s.highestNumbers, HeldFiles: s.heldFiles, Conflicts: s.conflicts, Generation: s.generation, LastEpoch: s.lastEpoch, MergeCount: s.mergeCount, ActiveIndex: s.activeIndex,
		CandidateIndex: s.candidateIndex, Bisection: s.bisection, Stopped: s.stopped, FailedChanges: s.failedChanges, ProxyCount: s.proxyCount}
	out.Files = slices.SortedFunc(maps.Keys(all), func(a, b snapshotFile) int {
		return cmp.Or(strings.Compare(a.Namespace, b.Namespace), cmp.Compare(a.Number, b.Number), cmp.Compare(a.MergeNumber, b.MergeNumber),
			strings.Compare(a.Author, b.Author), slices.Compare(a.Text[:], b.Text[:]))
	})
	at, written := map[snapshotFile]int{}, map[merkle.Name]bool{}
	for i, f := range out.Files {
		at[f] = i
		if !written[f.Text] {
			written[f.Text] = true
			out.Texts = append(out.Texts, []byte(all[f]))
		}
	}
	list := func(files map[string]submittedFile) (places []int) {
		for name, f := range files {
			places = append(places, at[one(name, f)])
		}
		slices.Sort(places)
		return places
	}
	out.Declaration, out.Accepted, out.Pending = at[one("", s.declaration)], list(s.accepted), list(s.pending)
	var before *merkle.Tree
	clear(written)
	kept := func(k *retainedPolicy) snapshotPolicy {
		if k.tree == nil {
			return snapshotPolicy{}
		}
		for name, piece := range k.tree.Lacks(before) {
			if !written[name] {
				written[name] = true
				out.Chunks = append(out.Chunks, piece)
			}
		}
		before = k.tree
		return snapshotPolicy{k.version, at[one("", k.declaration)], list(k.files)}
	}
	for i := range s.retained {
		out.Retained = append(out.Retained, kept(&s.retained[i]))
	}
	out.Head = kept(&s.head)
	// Lists with nothing in them are written in one way, whichever way they became so.
	if len(out.HeldFiles) == 0 {
		out.HeldFiles = nil
	}
	if len(out.Conflicts) == 0 {
		out.Conflicts = nil
	}
	if len(out.Bisection) == 0 {
		out.Bisection = nil
	}
	if len(out.FailedChanges) == 0 {
		out.FailedChanges = nil
	}
	return encMode.Marshal(&out)
}

// Restore puts a snapshot in place of the state. An error changes nothing.
func (b *StateMachine) Restore(text []byte) error {
	var next state
	var err error
	if len(text) > 0 && text[0] == '{' {
		next, err = decodeLegacySnapshot(text)
	} else {
		next, err = decodeSnapshot(text)
	}
	if err != nil {
		return err
	}
	b.state, b.cachedStatus, b.parsedFiles, b.unchunked = next, nil, nil, nil
	return nil
}

func decodeSnapshot(text []byte) (state, error) {
	bad := func(format string, args ...any) (state, error) {
		return state{}, InvalidCommandError{"a snapshot " + fmt.Sprintf(format, args...)}
	}
	var in snapshot
	if err := decMode.Unmarshal(text, &in); err != nil {
		return bad("that can't be read: %v", err)
	}
	if in.Format != snapshotFormat || in.ActiveIndex < -1 || in.ActiveIndex >= len(in.Retained) || in.CandidateIndex < -1 || in.CandidateIndex >= len(in.Retained) || len(in.Retained) > MaxRetainedPolicies {
		return bad("of another form")
	}
	texts, parts := map[merkle.Name]string{}, map[merkle.Name][]byte{}
	for _, t := range in.Texts {
		texts[merkle.NameOf(t)] = string(t)
	}
	for _, p := range in.Chunks {
		parts[merkle.NameOf(p)] = p
	}
	files := make([]submittedFile, len(in.Files))
	for i, f := range in.Files {
		t, ok := texts[f.Text]
		if !ok {
			return bad("in which file %d of %s is damaged", f.Number, f.Namespace)
		}
		files[i] = submittedFile{t, f.Author, f.Number, f.MergeNumber}
	}
	broken := false
	list := func(places []int) map[string]submittedFile {
		out := make(map[string]submittedFile, len(places))
		for _, i := range places {
			if broken = broken || i < 0 || i >= len(files); !broken {
				out[in.Files[i].Namespace] = files[i]
			}
		}
		return out
	}
	charter := func(i int) submittedFile {
		if broken = broken || i < 0 || i >= len(files); broken {
			return submittedFile{}
		}
		return files[i]
	}
	s := state{declaration: charter(in.Declaration), accepted: list(in.Accepted), pending: list(in.Pending), highestNumbers: in.HighestNumbers, heldFiles: in.HeldFiles, conflicts: in.Conflicts,
		generation: in.Generation, lastEpoch: in.LastEpoch, mergeCount: in.MergeCount, activeIndex: in.ActiveIndex, candidateIndex: in.CandidateIndex, bisection: in.Bisection, stopped: in.Stopped, failedChanges: in.FailedChanges,
		proxyCount: in.ProxyCount}
	if s.highestNumbers == nil {
		s.highestNumbers = map[string]uint64{}
	}
	var before *merkle.Tree
	for i, k := range append(slices.Clone(in.Retained), in.Head) {
		var one retainedPolicy
		if k.Version.Hash != "" {
			tree, err := assembleTree(k.Version.Hash, parts, before)
			if err != nil {
				return bad("whose policy of epoch %d is damaged: %v", k.Version.Epoch, err)
			}
			before = tree
			one = retainedPolicy{k.Version, charter(k.Declaration), list(k.Files), tree}
		}
		if i == len(in.Retained) {
			s.head = one
		} else if s.retained = append(s.retained, one); one.tree == nil {
			broken = true
		}
	}
	if broken {
		return bad("that speaks of files that it does not have")
	}
	return s, nil
}

// assembleTree puts a tree together from pieces, with those of another one as far as they are the same.
func assembleTree(root string, parts map[merkle.Name][]byte, before *merkle.Tree) (*merkle.Tree, error) {
	name, err := merkle.ParseName(root)
	if err != nil {
		return nil, err
	}
	a := merkle.Assemble(name, before)
	for {
		wants := a.Wants(1 << 10)
		if len(wants) == 0 {
			return a.Tree()
		}
		for _, w := range wants {
			piece, ok := parts[w]
			if !ok {
				return nil, errors.New("a piece is missing")
			}
			if err := a.Add(piece); err != nil {
				return nil, err
			}
		}
	}
}

// legacySnapshot is a snapshot of before there were trains and pieces.
type legacySnapshot struct {
	Format         int                   `json:"form"` // 1
	Declaration    string                `json:"charter"`
	Accepted       map[string]legacyFile `json:"good"`
	Pending        map[string]legacyFile `json:"waiting"`
	HighestNumbers map[string]uint64     `json:"seen"`
	HeldFiles      []HeldFile            `json:"held"`
	Conflicts      []string              `json:"conflicts"`
	Generation     uint64                `json:"order"`
	LastEpoch      uint64                `json:"epoch"`
	Retained       []legacyPolicy        `json:"kept"`
	ActiveIndex    int                   `json:"base"`
	CandidateIndex int                   `json:"next"`
	Stopped        *RolloutResult        `json:"stopped"`
}

type legacyFile struct {
	Text   string `json:"text"`
	Author string `json:"by"`
}

type legacyPolicy struct {
	Version rollout.Version   `json:"offer"`
	Files   map[string]string `json:"files"`
	Encoded string            `json:"text"`
}

// decodeLegacySnapshot reads form 1. Its policies are turned into pieces, under the same epochs; what was on its way is so still, and nothing
// has gathered.
func decodeLegacySnapshot(text []byte) (state, error) {
	bad := func(format string, args ...any) (state, error) {
		return state{}, InvalidCommandError{"a snapshot " + fmt.Sprintf(format, args...)}
	}
	var in legacySnapshot
	if err := json.Unmarshal(text, &in); err != nil {
		return bad("that can't be read: %v", err)
	}
	if in.Format != 1 || in.ActiveIndex < -1 || in.ActiveIndex >= len(in.Retained) || in.CandidateIndex < -1 || in.CandidateIndex >= len(in.Retained) || len(in.Retained) > MaxRetainedPolicies {
		return bad("of another form")
	}
	s := New(in.Generation).state
	s.declaration, s.heldFiles, s.conflicts = submittedFile{text: in.Declaration}, in.HeldFiles, in.Conflicts
	s.lastEpoch, s.activeIndex, s.candidateIndex, s.stopped = in.LastEpoch, in.ActiveIndex, in.CandidateIndex, in.Stopped
	maps.Copy(s.highestNumbers, in.HighestNumbers)
	take := func(to map[string]submittedFile, name, text, by string) error {
		n, err := namespace.Parse(name, []byte(text))
		if err == nil {
			to[name] = submittedFile{text: text, author: by, number: n.Number}
		}
		return err
	}
	for to, files := range map[*map[string]submittedFile]map[string]legacyFile{&s.accepted: in.Accepted, &s.pending: in.Pending} {
		for name, f := range files {
			if err := take(*to, name, f.Text, f.Author); err != nil {
				return bad("with a file that can't be read: %v", err)
			}
		}
	}
	for _, k := range in.Retained {
		p, err := namespace.Decode([]byte(k.Encoded))
		if err == nil && p.Hash() != k.Version.Hash {
			err = rollout.HashMismatchError{Expected: k.Version.Hash, Actual: p.Hash()}
		}
		if err != nil {
			return bad("whose policy of epoch %d is damaged: %v", k.Version.Epoch, err)
		}
		tree, err := p.Tree()
		if err != nil {
			return bad("whose policy of epoch %d can't be put in pieces: %v", k.Version.Epoch, err)
		}
		k.Version.Hash = tree.Root().String()
		one := retainedPolicy{version: k.Version, declaration: s.declaration, files: map[string]submittedFile{}, tree: tree}
		for name, text := range k.Files {
			if err := take(one.files, name, text, s.accepted[name].author); err != nil {
				return bad("with a file that can't be read: %v", err)
			}
		}
		s.retained = append(s.retained, one)
	}
	switch {
	case s.candidateIndex >= 0:
		s.head = s.retained[s.candidateIndex]
	case s.activeIndex >= 0:
		s.head = s.retained[s.activeIndex]
	}
	return s, nil
}
