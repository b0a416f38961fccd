package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"iter"
	"path/filepath"
	"sync"

	"lapisspread/internal/durable"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// policyContent is a policy that came whole.
type policyContent struct {
	offer rollout.Version
	hash  string // what it came to: the root, or the SHA-256 of its text where that is what the offer names
	tree  *merkle.Tree
}

// policyStore keeps a policy for the next process of this name, in pieces: a change appends the pieces that it brought, and now and then all
// is written anew.
type policyStore struct {
	mu       sync.Mutex // held over I/O: others don't wait for it
	journal  durable.Journal
	textFile durable.File // in which releases before pieces kept a text
	offer    rollout.Version
	tree     *merkle.Tree // that the journal has; nil is not known
}

// The kinds of records, by their first byte.
const (
	recordChunk = 'p'
	recordOffer = 'o' // a keptOffer in JSON; the pieces that it needs stand before it
)

// offerRecord says what the pieces before it come to.
type offerRecord struct {
	Offer rollout.Version `json:"Offer"`
	Root  string          `json:"Root"` // the offer's hash, unless the policy came as a text
}

type textRecord struct {
	Offer rollout.Version `json:"Offer"`
	Text  []byte          `json:"Text"`
}

// journalSlack is by how many bytes the journal may be more than twice as long as what is kept.
const journalSlack = 64 << 10

func newPolicyStore(dir, name string) *policyStore {
	return &policyStore{
		journal:  durable.Journal{Path: filepath.Join(dir, "pieces-"+name), Kind: "lapisspread-pieces", Form: 1},
		textFile: durable.File{Path: filepath.Join(dir, "policy-"+name), Kind: "lapisspread-policy", Form: 1},
	}
}

// load gives what the process before has kept: the newest that is whole, and the pieces that can be read besides. Without any the error
// is fs.ErrNotExist; an error may come with what could be read all the same.
func (k *policyStore) load() (c policyContent, loose [][]byte, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, loose, err = k.read()
	if c.tree != nil {
		k.offer, k.tree = c.offer, c.tree
	}
	var old textRecord
	if k.textFile.Load(&old) == nil && old.Offer.NewerThan(c.offer) { // an older release has run here since, or this is the first that keeps pieces
		if t, wrong := contentFromText(old.Offer, old.Text); wrong == nil {
			return t, loose, nil
		} else if errors.Is(err, fs.ErrNotExist) {
			err = wrong
		}
	}
	return c, loose, err
}

// read reads the journal.
func (k *policyStore) read() (c policyContent, loose [][]byte, err error) {
	records, lost, err := k.journal.Load()
	if err != nil {
		return c, nil, err
	}
	all := map[merkle.Name][]byte{}
	var offers []offerRecord
	for _, r := range records {
		switch {
		case len(r) > 1 && r[0] == recordChunk:
			all[merkle.NameOf(r[1:])] = r[1:]
		case len(r) > 1 && r[0] == recordOffer:
			var o offerRecord
			if json.Unmarshal(r[1:], &o) == nil {
				offers = append(offers, o)
			}
		}
	}
	for i := len(offers) - 1; i >= 0 && c.tree == nil; i-- {
		root, wrong := merkle.ParseName(offers[i].Root)
		if wrong != nil {
			continue
		}
		a := merkle.Assemble(root, nil)
		for names := a.Wants(len(all)); len(names) > 0; names = a.Wants(len(all)) {
			added := false
			for _, n := range names {
				if piece, there := all[n]; there && a.Add(piece) == nil {
					added = true
				}
			}
			if !added {
				break
			}
		}
		if t, wrong := a.Tree(); wrong == nil {
			// The text whose hash the offer names was checked before it was kept.
			c = policyContent{offers[i].Offer, offers[i].Offer.Hash, t}
		}
	}
	if lost > 0 || c.tree == nil {
		for _, piece := range all {
			loose = append(loose, piece)
		}
		err = fmt.Errorf("%s: %d bytes of it can't be read: %w", k.journal.Path, lost, durable.ErrDamaged)
	}
	return c, loose, err
}

// contentFromText is what a text comes to. Errors are rollout.WrongContent, and those of package namespace.
func contentFromText(o rollout.Version, text []byte) (policyContent, error) {
	if err := rollout.NewCurrentVersion(rollout.Version{}).AdoptText(o, text); err != nil {
		return policyContent{}, err
	}
	p, err := namespace.Decode(text)
	if err != nil {
		return policyContent{}, err
	}
	t, err := p.Tree()
	return policyContent{o, o.Hash, t}, err
}

var errSaveInProgress = errors.New("a duty before is still writing")

// save has the next process begin with it, unless another of this name has kept a newer one. It costs what changed, in the mean.
func (k *policyStore) save(c policyContent) error {
	if !k.mu.TryLock() {
		return errSaveInProgress
	}
	defer k.mu.Unlock()
	if k.offer == c.offer && k.tree != nil {
		return nil
	}
	mark, err := json.Marshal(offerRecord{c.offer, c.tree.Root().String()})
	if err != nil {
		return err
	}
	mark = append([]byte{recordOffer}, mark...)
	record := func(piece []byte) []byte { return append([]byte{recordChunk}, piece...) }
	if k.tree != nil && k.journal.Size() < int64(2*c.tree.Size()+journalSlack) {
		var records [][]byte
		for _, piece := range c.tree.Lacks(k.tree) {
			records = append(records, record(piece))
		}
		err := k.journal.Append(append(records, mark)...)
		if err == nil {
			k.offer, k.tree = c.offer, c.tree
			return nil
		}
		if !errors.Is(err, durable.ErrOther) {
			return err
		}
	}
	if !k.journal.Same() { // it may be another's
		if had, _, _ := k.read(); had.tree != nil && !c.offer.NewerThan(had.offer) {
			k.offer, k.tree = had.offer, had.tree
			return nil
		}
	}
	var all iter.Seq[[]byte] = func(yield func([]byte) bool) {
		for _, piece := range c.tree.Pieces() {
			if !yield(record(piece)) {
				return
			}
		}
		yield(mark)
	}
	k.tree = nil
	if err := k.journal.Rewrite(all); err != nil {
		return err
	}
	k.offer, k.tree = c.offer, c.tree
	return nil
}
