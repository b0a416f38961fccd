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

// form is the form of snapshots that is written. Form 1, of before there were trains and pieces, is JSON with whole texts: it is read.
const form = 2

// snapshot is a state as it is written: CBOR in its one deterministic encoding (RFC 8949, 4.2). Texts and pieces stand in it once, and
// what refers to them does so by their hash, so that what was damaged is found.
type snapshot struct {
	Form      int               `json:"Form"`
	Texts     [][]byte          `json:"Texts"`   // of charters and files
	Pieces    [][]byte          `json:"Pieces"`  // of all policies
	Files     []snapFile        `json:"Files"`   // each once
	Charter   int               `json:"Charter"` // of Files
	Good      []int             `json:"Good"`    // of Files
	Waiting   []int             `json:"Waiting"` // of Files
	Seen      map[string]uint64 `json:"Seen"`
	Held      []Held            `json:"Held"`
	Conflicts []string          `json:"Conflicts"`
	Order     uint64            `json:"Order"`
	Epoch     uint64            `json:"Epoch"`
	Merges    uint64            `json:"Merges"`
	Head      snapKept          `json:"Head"`
	Kept      []snapKept        `json:"Kept"`
	Base      int               `json:"Base"`
	Next      int               `json:"Next"`
	Trials    [][]change        `json:"Trials"`
	Stopped   *Judge            `json:"Stopped"`
	Faults    []Fault           `json:"Faults"`
	Proxies   int               `json:"Proxies"`
}

type snapFile struct {
	Namespace string      `json:"Namespace"` // empty for a charter
	Text      merkle.Name `json:"Text"`
	By        string      `json:"By"`
	Number    uint64      `json:"Number"`
	At        uint64      `json:"At"`
}

type snapKept struct {
	Offer   rollout.Version `json:"Offer"` // without a hash nothing was ever merged
	Charter int             `json:"Charter"`
	Files   []int           `json:"Files"`
}

var (
	encoding = func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err) // the options are the package's own
		}
		return m
	}()
	decoding = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 20}.DecMode()
		if err != nil {
			panic(err) // they are within its bounds
		}
		return m
	}()
)

// Snapshot is the one encoding of the state.
func (b *Book) Snapshot() ([]byte, error) {
	s := &b.s
	all := map[snapFile]string{}
	names := map[string]merkle.Name{} // texts are many times the same
	one := func(namespace string, f file) snapFile {
		name, ok := names[f.Text]
		if !ok {
			name = merkle.NameOf([]byte(f.Text))
			names[f.Text] = name
		}
		return snapFile{namespace, name, f.By, f.Number, f.At}
	}
	note := func(charter file, lists ...map[string]file) {
		all[one("", charter)] = charter.Text
		for _, files := range lists {
			for name, f := range files {
				all[one(name, f)] = f.Text
			}
		}
	}
	note(s.Charter, s.Good, s.Waiting)
	for k := range s.policies() {
		note(k.Charter, k.Files)
	}
	out := snapshot{Form: form, Seen: s.Seen, Held: s.Held, Conflicts: s.Conflicts, Order: s.Order, Epoch: s.Epoch, Merges: s.Merges, Base: s.Base,
		Next: s.Next, Trials: s.Trials, Stopped: s.Stopped, Faults: s.Faults, Proxies: s.Proxies}
	out.Files = slices.SortedFunc(maps.Keys(all), func(a, b snapFile) int {
		return cmp.Or(strings.Compare(a.Namespace, b.Namespace), cmp.Compare(a.Number, b.Number), cmp.Compare(a.At, b.At),
			strings.Compare(a.By, b.By), slices.Compare(a.Text[:], b.Text[:]))
	})
	at, written := map[snapFile]int{}, map[merkle.Name]bool{}
	for i, f := range out.Files {
		at[f] = i
		if !written[f.Text] {
			written[f.Text] = true
			out.Texts = append(out.Texts, []byte(all[f]))
		}
	}
	list := func(files map[string]file) (places []int) {
		for name, f := range files {
			places = append(places, at[one(name, f)])
		}
		slices.Sort(places)
		return places
	}
	out.Charter, out.Good, out.Waiting = at[one("", s.Charter)], list(s.Good), list(s.Waiting)
	var before *merkle.Tree
	clear(written)
	kept := func(k *Kept) snapKept {
		if k.Tree == nil {
			return snapKept{}
		}
		for name, piece := range k.Tree.Lacks(before) {
			if !written[name] {
				written[name] = true
				out.Pieces = append(out.Pieces, piece)
			}
		}
		before = k.Tree
		return snapKept{k.Offer, at[one("", k.Charter)], list(k.Files)}
	}
	for i := range s.Kept {
		out.Kept = append(out.Kept, kept(&s.Kept[i]))
	}
	out.Head = kept(&s.Head)
	// Lists with nothing in them are written in one way, whichever way they became so.
	if len(out.Held) == 0 {
		out.Held = nil
	}
	if len(out.Conflicts) == 0 {
		out.Conflicts = nil
	}
	if len(out.Trials) == 0 {
		out.Trials = nil
	}
	if len(out.Faults) == 0 {
		out.Faults = nil
	}
	return encoding.Marshal(&out)
}

// Restore puts a snapshot in place of the state. An error changes nothing.
func (b *Book) Restore(text []byte) error {
	var next state
	var err error
	if len(text) > 0 && text[0] == '{' {
		next, err = restoreTexts(text)
	} else {
		next, err = restore(text)
	}
	if err != nil {
		return err
	}
	b.s, b.told, b.parsed, b.wholes = next, nil, nil, nil
	return nil
}

func restore(text []byte) (state, error) {
	bad := func(format string, args ...any) (state, error) {
		return state{}, BadCommand{"a snapshot " + fmt.Sprintf(format, args...)}
	}
	var in snapshot
	if err := decoding.Unmarshal(text, &in); err != nil {
		return bad("that can't be read: %v", err)
	}
	if in.Form != form || in.Base < -1 || in.Base >= len(in.Kept) || in.Next < -1 || in.Next >= len(in.Kept) || len(in.Kept) > MostKept {
		return bad("of another form")
	}
	texts, parts := map[merkle.Name]string{}, map[merkle.Name][]byte{}
	for _, t := range in.Texts {
		texts[merkle.NameOf(t)] = string(t)
	}
	for _, p := range in.Pieces {
		parts[merkle.NameOf(p)] = p
	}
	files := make([]file, len(in.Files))
	for i, f := range in.Files {
		t, ok := texts[f.Text]
		if !ok {
			return bad("in which file %d of %s is damaged", f.Number, f.Namespace)
		}
		files[i] = file{t, f.By, f.Number, f.At}
	}
	broken := false
	list := func(places []int) map[string]file {
		out := make(map[string]file, len(places))
		for _, i := range places {
			if broken = broken || i < 0 || i >= len(files); !broken {
				out[in.Files[i].Namespace] = files[i]
			}
		}
		return out
	}
	charter := func(i int) file {
		if broken = broken || i < 0 || i >= len(files); broken {
			return file{}
		}
		return files[i]
	}
	s := state{Charter: charter(in.Charter), Good: list(in.Good), Waiting: list(in.Waiting), Seen: in.Seen, Held: in.Held, Conflicts: in.Conflicts,
		Order: in.Order, Epoch: in.Epoch, Merges: in.Merges, Base: in.Base, Next: in.Next, Trials: in.Trials, Stopped: in.Stopped, Faults: in.Faults,
		Proxies: in.Proxies}
	if s.Seen == nil {
		s.Seen = map[string]uint64{}
	}
	var before *merkle.Tree
	for i, k := range append(slices.Clone(in.Kept), in.Head) {
		var one Kept
		if k.Offer.Hash != "" {
			tree, err := assemble(k.Offer.Hash, parts, before)
			if err != nil {
				return bad("whose policy of epoch %d is damaged: %v", k.Offer.Epoch, err)
			}
			before = tree
			one = Kept{k.Offer, charter(k.Charter), list(k.Files), tree}
		}
		if i == len(in.Kept) {
			s.Head = one
		} else if s.Kept = append(s.Kept, one); one.Tree == nil {
			broken = true
		}
	}
	if broken {
		return bad("that speaks of files that it does not have")
	}
	return s, nil
}

// assemble puts a tree together from pieces, with those of another one as far as they are the same.
func assemble(root string, parts map[merkle.Name][]byte, before *merkle.Tree) (*merkle.Tree, error) {
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

// textState is a snapshot of before there were trains and pieces.
type textState struct {
	Form      int                 `json:"form"` // 1
	Charter   string              `json:"charter"`
	Good      map[string]textFile `json:"good"`
	Waiting   map[string]textFile `json:"waiting"`
	Seen      map[string]uint64   `json:"seen"`
	Held      []Held              `json:"held"`
	Conflicts []string            `json:"conflicts"`
	Order     uint64              `json:"order"`
	Epoch     uint64              `json:"epoch"`
	Kept      []textKept          `json:"kept"`
	Base      int                 `json:"base"`
	Next      int                 `json:"next"`
	Stopped   *Judge              `json:"stopped"`
}

type textFile struct {
	Text string `json:"text"`
	By   string `json:"by"`
}

type textKept struct {
	Offer rollout.Version   `json:"offer"`
	Files map[string]string `json:"files"`
	Text  string            `json:"text"`
}

// restoreTexts reads form 1. Its policies are turned into pieces, under the same epochs; what was on its way is so still, and nothing
// has gathered.
func restoreTexts(text []byte) (state, error) {
	bad := func(format string, args ...any) (state, error) {
		return state{}, BadCommand{"a snapshot " + fmt.Sprintf(format, args...)}
	}
	var in textState
	if err := json.Unmarshal(text, &in); err != nil {
		return bad("that can't be read: %v", err)
	}
	if in.Form != 1 || in.Base < -1 || in.Base >= len(in.Kept) || in.Next < -1 || in.Next >= len(in.Kept) || len(in.Kept) > MostKept {
		return bad("of another form")
	}
	s := New(in.Order).s
	s.Charter, s.Held, s.Conflicts = file{Text: in.Charter}, in.Held, in.Conflicts
	s.Epoch, s.Base, s.Next, s.Stopped = in.Epoch, in.Base, in.Next, in.Stopped
	maps.Copy(s.Seen, in.Seen)
	take := func(to map[string]file, name, text, by string) error {
		n, err := namespace.Parse(name, []byte(text))
		if err == nil {
			to[name] = file{Text: text, By: by, Number: n.Number}
		}
		return err
	}
	for to, files := range map[*map[string]file]map[string]textFile{&s.Good: in.Good, &s.Waiting: in.Waiting} {
		for name, f := range files {
			if err := take(*to, name, f.Text, f.By); err != nil {
				return bad("with a file that can't be read: %v", err)
			}
		}
	}
	for _, k := range in.Kept {
		p, err := namespace.Decode([]byte(k.Text))
		if err == nil && p.Hash() != k.Offer.Hash {
			err = rollout.HashMismatchError{Expected: k.Offer.Hash, Actual: p.Hash()}
		}
		if err != nil {
			return bad("whose policy of epoch %d is damaged: %v", k.Offer.Epoch, err)
		}
		tree, err := p.Tree()
		if err != nil {
			return bad("whose policy of epoch %d can't be put in pieces: %v", k.Offer.Epoch, err)
		}
		k.Offer.Hash = tree.Root().String()
		one := Kept{Offer: k.Offer, Charter: s.Charter, Files: map[string]file{}, Tree: tree}
		for name, text := range k.Files {
			if err := take(one.Files, name, text, s.Good[name].By); err != nil {
				return bad("with a file that can't be read: %v", err)
			}
		}
		s.Kept = append(s.Kept, one)
	}
	switch {
	case s.Next >= 0:
		s.Head = s.Kept[s.Next]
	case s.Base >= 0:
		s.Head = s.Kept[s.Base]
	}
	return s, nil
}
