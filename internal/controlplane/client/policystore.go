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

// policyContent is the complete content of an offered version.
type policyContent struct {
	offer rollout.Version
	// hash is that of the content: the root of its tree, or the SHA-256 of its text if the policy was offered as text.
	hash string
	tree *merkle.Tree
}

// contentFromText decodes the content of a version from its text. Errors are rollout.HashMismatchError and those of
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

// policyStore stores the policy for the next process with the same proxy name, as a journal of chunks. A save appends
// the chunks that the journal lacks; when the journal gets too long, it is rewritten with the current policy only.
type policyStore struct {
	mu       sync.Mutex // held during I/O, so save does not wait for it
	journal  durable.Journal
	textFile durable.File    // where earlier releases stored the policy as text
	offer    rollout.Version // of tree
	tree     *merkle.Tree    // the latest tree in the journal; nil if unknown
}

// The kinds of the journal's records, by their first byte.
const (
	recordChunk = 'p'
	recordOffer = 'o' // an offerRecord in JSON, after the chunks that it needs
)

// offerRecord identifies the version whose chunks were written before it.
type offerRecord struct {
	Offer rollout.Version `json:"Offer"`
	// Root is the root of the tree. It equals the offer's hash unless the policy was received as text.
	Root string `json:"Root"`
}

// textRecord is the content of the text file of earlier releases.
type textRecord struct {
	Offer rollout.Version `json:"Offer"`
	Text  []byte          `json:"Text"`
}

const (
	// The journal is rewritten when it reaches journalFactor times the size of the policy plus journalSlackBytes.
	journalFactor     = 2
	journalSlackBytes = 64 << 10
)

// errSaveInProgress is returned by policyStore.save while another save or load runs, for example of a replaced worker.
// The text is shown in the admin protocol and stays as it is; its "duty" is that worker.
var errSaveInProgress = errors.New("a duty before is still writing")

// newPolicyStore returns a store for the proxy of a name in the state directory. It reads and writes nothing yet.
func newPolicyStore(dir, name string) *policyStore {
	return &policyStore{
		journal:  durable.Journal{Path: filepath.Join(dir, "pieces-"+name), Kind: "lapisspread-pieces", Version: 1},
		textFile: durable.File{Path: filepath.Join(dir, "policy-"+name), Kind: "lapisspread-policy", Version: 1},
	}
}

// load returns the newest complete policy that a previous process stored. It also returns the readable chunks if there
// is no complete policy or part of the journal is unreadable. The error wraps fs.ErrNotExist if nothing was stored.
// Content or chunks may be returned together with an error.
func (s *policyStore) load() (content policyContent, chunks [][]byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content, chunks, err = s.readJournal()
	if content.tree != nil {
		s.offer = content.offer
		s.tree = content.tree
	}
	// The text is newer if an earlier release ran here after the journal was written, or if there is no journal.
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

// readJournal returns the newest complete policy of the journal. If there is none or part of the journal is unreadable,
// it also returns all readable chunks, and an error.
func (s *policyStore) readJournal() (content policyContent, readable [][]byte, err error) {
	records, lostBytes, err := s.journal.Load()
	if err != nil {
		return policyContent{}, nil, err
	}
	chunks, offers := decodeRecords(records)
	for i := len(offers) - 1; i >= 0 && content.tree == nil; i-- {
		if tree := assemble(offers[i].Root, chunks); tree != nil {
			// For a policy received as text, the text's hash was checked before the policy was stored.
			content = policyContent{offers[i].Offer, offers[i].Offer.Hash, tree}
		}
	}
	if lostBytes == 0 && content.tree != nil {
		return content, nil, nil
	}
	for _, chunk := range chunks {
		readable = append(readable, chunk)
	}
	err = fmt.Errorf("%s: %d bytes of it can't be read: %w", s.journal.Path, lostBytes, durable.ErrDamaged)
	return content, readable, err
}

// decodeRecords returns the journal's chunks by hash, and its offers in the order in which they were written. It skips
// unknown and undecodable records.
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

// assemble builds the tree with a root from chunks. It returns nil if chunks are missing or the root is invalid.
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

// save stores a policy, unless another process with the same proxy name has stored a newer one. On average it writes
// about as many bytes as changed. It does not wait for another save or load: it returns errSaveInProgress instead.
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
	if s.loadNewer(content.offer) {
		return nil
	}
	return s.rewrite(content, record)
}

// encodeOffer returns the journal record of a version.
func encodeOffer(content policyContent) ([]byte, error) {
	data, err := json.Marshal(offerRecord{content.offer, content.tree.Root().String()})
	return append([]byte{recordOffer}, data...), err
}

// encodeChunk returns the journal record of a chunk.
func encodeChunk(chunk []byte) []byte { return append([]byte{recordChunk}, chunk...) }

// appendChange appends the chunks that the journal lacks, and the offer's record. It returns durable.ErrModified if
// another process has written the journal since it was last read or written here.
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

// loadNewer reports whether another process has stored a version that the offer does not supersede. It then makes that
// version the store's current one.
func (s *policyStore) loadNewer(offer rollout.Version) bool {
	if s.journal.Unmodified() {
		return false
	}
	stored, _, _ := s.readJournal() // an unreadable journal is rewritten
	if stored.tree == nil || offer.NewerThan(stored.offer) {
		return false
	}
	s.offer = stored.offer
	s.tree = stored.tree
	return true
}

// rewrite replaces the journal by one that contains only the given policy.
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
