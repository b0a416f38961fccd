package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"sync"

	"lapisspread/internal/durable"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// policyContent is the content of a version, complete.
type policyContent struct {
	offer rollout.Version
	// hash is what the content has: the root of its tree, or the SHA-256 of its text where that is what the offer
	// names.
	hash string
	tree *merkle.Tree
}

// contentFromText makes the content of a version from its text. Errors are rollout.HashMismatchError and those of
// package namespace.
func contentFromText(offer rollout.Version, text []byte) (policyContent, error) {
	if err := rollout.NewCurrentVersion(rollout.Version{}).AdoptText(offer, text); err != nil {
		return policyContent{}, err
	}
	policy, err := namespace.Decode(text)
	if err != nil {
		return policyContent{}, err
	}
	tree, err := policy.Tree()
	return policyContent{offer, offer.Hash, tree}, err
}

// policyStore keeps a policy for the next process of this name, in chunks: a change appends those that it brought,
// and at times all is written anew.
type policyStore struct {
	mu       sync.Mutex // held over I/O: save does not wait for it
	journal  durable.Journal
	textFile durable.File // in which earlier releases kept a text
	offer    rollout.Version
	tree     *merkle.Tree // that the journal has; nil is not known
}

// The kinds of the journal's records, by their first byte.
const (
	recordChunk = 'p'
	recordOffer = 'o' // an offerRecord in JSON, after the chunks that it needs
)

// offerRecord tells what the chunks before it make up.
type offerRecord struct {
	Offer rollout.Version `json:"Offer"`
	// Root is the offer's hash, unless the policy came as a text.
	Root string `json:"Root"`
}

// textRecord is what earlier releases kept.
type textRecord struct {
	Offer rollout.Version `json:"Offer"`
	Text  []byte          `json:"Text"`
}

const (
	// journalFactor and journalSlackBytes bound the journal: it is written anew at so many times the size of the
	// policy, and so many bytes more.
	journalFactor     = 2
	journalSlackBytes = 64 << 10
)

var errSaveInProgress = errors.New("a duty before is still writing")

func newPolicyStore(dir, name string) *policyStore {
	return &policyStore{
		journal:  durable.Journal{Path: filepath.Join(dir, "pieces-"+name), Kind: "lapisspread-pieces", Version: 1},
		textFile: durable.File{Path: filepath.Join(dir, "policy-"+name), Kind: "lapisspread-policy", Version: 1},
	}
}

// load returns the newest policy that the process before has kept and that is complete. Without one it returns the
// chunks that can be read. The error is fs.ErrNotExist if nothing was kept; an error may come with what could be
// read.
func (s *policyStore) load() (content policyContent, chunks [][]byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content, chunks, err = s.readJournal()
	if content.tree != nil {
		s.offer = content.offer
		s.tree = content.tree
	}
	// The text is newer if an earlier release has run here since, or never had a journal.
	var record textRecord
	if s.textFile.Load(&record) != nil || !record.Offer.NewerThan(content.offer) {
		return content, chunks, err
	}
	textContent, textErr := contentFromText(record.Offer, record.Text)
	if textErr == nil {
		return textContent, chunks, nil
	}
	if errors.Is(err, fs.ErrNotExist) {
		err = textErr
	}
	return content, chunks, err
}

// readJournal returns the newest complete policy of the journal; if there is none, or something can't be read, all
// chunks too.
func (s *policyStore) readJournal() (content policyContent, loose [][]byte, err error) {
	records, lostBytes, err := s.journal.Load()
	if err != nil {
		return policyContent{}, nil, err
	}
	chunks, offers := decodeRecords(records)
	for i := len(offers) - 1; i >= 0 && content.tree == nil; i-- {
		if tree := assemble(offers[i].Root, chunks); tree != nil {
			// That a text has the offer's hash was checked before it was kept.
			content = policyContent{offers[i].Offer, offers[i].Offer.Hash, tree}
		}
	}
	if lostBytes == 0 && content.tree != nil {
		return content, nil, nil
	}
	for _, chunk := range chunks {
		loose = append(loose, chunk)
	}
	err = fmt.Errorf("%s: %d bytes of it can't be read: %w", s.journal.Path, lostBytes, durable.ErrDamaged)
	return content, loose, err
}

// decodeRecords returns the chunks by name, and the offers in the order in which they were kept. It leaves out what
// it does not know.
func decodeRecords(records [][]byte) (chunks map[merkle.Hash][]byte, offers []offerRecord) {
	chunks = map[merkle.Hash][]byte{}
	for _, record := range records {
		if len(record) < 2 {
			continue
		}
		data := record[1:]
		switch record[0] {
		case recordChunk:
			chunks[merkle.HashOf(data)] = data
		case recordOffer:
			var offer offerRecord
			if json.Unmarshal(data, &offer) == nil {
				offers = append(offers, offer)
			}
		}
	}
	return chunks, offers
}

// assemble puts a tree together; nil if chunks are missing.
func assemble(rootName string, chunks map[merkle.Hash][]byte) *merkle.Tree {
	root, err := merkle.ParseHash(rootName)
	if err != nil {
		return nil
	}
	assembly := merkle.NewAssembly(root, nil)
	for {
		added := false
		for _, name := range assembly.Missing(len(chunks)) {
			if chunk, ok := chunks[name]; ok && assembly.Add(chunk) == nil {
				added = true
			}
		}
		if !added {
			break
		}
	}
	tree, err := assembly.Tree()
	if err != nil {
		return nil
	}
	return tree
}

// save keeps a policy, unless another process of this name has kept a newer one. In the mean it writes as much as
// changed. It does not wait: errSaveInProgress reports that another save is under way.
func (s *policyStore) save(content policyContent) error {
	if !s.mu.TryLock() {
		return errSaveInProgress
	}
	defer s.mu.Unlock()
	if s.offer == content.offer && s.tree != nil {
		return nil
	}
	record, err := encodeOffer(content)
	if err != nil {
		return err
	}
	if s.tree != nil && s.journal.Size() < int64(journalFactor*content.tree.Size()+journalSlackBytes) {
		err := s.appendChange(content, record)
		if !errors.Is(err, durable.ErrModified) {
			return err
		}
	}
	if s.keepsNewer(content.offer) {
		return nil
	}
	return s.rewrite(content, record)
}

func encodeOffer(content policyContent) ([]byte, error) {
	data, err := json.Marshal(offerRecord{content.offer, content.tree.Root().String()})
	return append([]byte{recordOffer}, data...), err
}

func encodeChunk(chunk []byte) []byte { return append([]byte{recordChunk}, chunk...) }

// appendChange appends the chunks that the journal lacks. It fails with durable.ErrOther if another process has
// written it.
func (s *policyStore) appendChange(content policyContent, offer []byte) error {
	var records [][]byte
	for _, chunk := range content.tree.ChunksNotIn(s.tree) {
		records = append(records, encodeChunk(chunk))
	}
	if err := s.journal.Append(append(records, offer)...); err != nil {
		return err
	}
	s.offer = content.offer
	s.tree = content.tree
	return nil
}

// keepsNewer reports whether another process has kept a version that the offer does not go before.
func (s *policyStore) keepsNewer(offer rollout.Version) bool {
	if s.journal.Unmodified() {
		return false
	}
	kept, _, _ := s.readJournal() // what can't be read is written anew
	if kept.tree == nil || offer.NewerThan(kept.offer) {
		return false
	}
	s.offer = kept.offer
	s.tree = kept.tree
	return true
}

// rewrite writes the journal anew.
func (s *policyStore) rewrite(content policyContent, offer []byte) error {
	records := func(yield func([]byte) bool) {
		for _, chunk := range content.tree.Chunks() {
			if !yield(encodeChunk(chunk)) {
				return
			}
		}
		yield(offer)
	}
	s.tree = nil
	if err := s.journal.Rewrite(records); err != nil {
		return err
	}
	s.offer = content.offer
	s.tree = content.tree
	return nil
}
