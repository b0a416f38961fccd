package store

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/rollout"
)

// snapshotFormat is the format of the snapshots that are written. legacy.go reads format 1.
const snapshotFormat = 2

// Limits for decoding the CBOR of a snapshot.
const (
	maxSnapshotArray = 1 << 24 // elements of an array
	maxSnapshotMap   = 1 << 20 // pairs of a map
)

// snapshot is the state as it is stored, in the deterministic encoding of CBOR (RFC 8949, section 4.2). It contains
// each text and each chunk once and refers to them by their hashes, so that damage is detected.
type snapshot struct {
	Format         int               `json:"Form"`
	Texts          [][]byte          `json:"Texts"`   // texts of all declarations and files
	Chunks         [][]byte          `json:"Pieces"`  // chunks of all policies
	Files          []snapshotFile    `json:"Files"`   // declarations and files, each once
	Declaration    int               `json:"Charter"` // index in Files
	Accepted       []int             `json:"Good"`    // indices in Files
	Pending        []int             `json:"Waiting"` // indices in Files
	HighestNumbers map[string]uint64 `json:"Seen"`
	WithheldFiles  []WithheldFile    `json:"Held"`
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

// snapshotFile is a declaration or a file. It refers to its text by the hash.
type snapshotFile struct {
	Namespace   string      `json:"Namespace"` // empty for a declaration
	Text        merkle.Hash `json:"Text"`
	Author      string      `json:"By"`
	Number      uint64      `json:"Number"`
	MergeNumber uint64      `json:"At"`
}

// compare orders files by all their fields, so that different files never compare equal.
func (f snapshotFile) compare(other snapshotFile) int {
	return cmp.Or(
		strings.Compare(f.Namespace, other.Namespace),
		cmp.Compare(f.Number, other.Number),
		cmp.Compare(f.MergeNumber, other.MergeNumber),
		strings.Compare(f.Author, other.Author),
		slices.Compare(f.Text[:], other.Text[:]),
	)
}

// snapshotPolicy is a retained policy or the head. The hash of its version is empty if there is no policy.
type snapshotPolicy struct {
	Version     rollout.Version `json:"Offer"`
	Declaration int             `json:"Charter"` // index of snapshot.Files
	Files       []int           `json:"Files"`   // indices of snapshot.Files
}

var (
	encMode = func() cbor.EncMode {
		mode, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err) // cannot happen: the options are the library's defaults
		}
		return mode
	}()
	decMode = func() cbor.DecMode {
		mode, err := cbor.DecOptions{MaxArrayElements: maxSnapshotArray, MaxMapPairs: maxSnapshotMap}.DecMode()
		if err != nil {
			panic(err) // cannot happen: both options are within the library's limits
		}
		return mode
	}()
)

// Snapshot returns the encoding of the state, which Restore reads. Equal states have equal encodings.
func (m *StateMachine) Snapshot() ([]byte, error) {
	s := &m.state
	files := newFileTable(s)
	out := snapshot{
		Format:         snapshotFormat,
		Texts:          files.texts,
		Files:          files.list,
		Declaration:    files.declarationIndex(s.declaration),
		Accepted:       files.indices(s.accepted),
		Pending:        files.indices(s.pending),
		HighestNumbers: s.highestNumbers,
		WithheldFiles:  nilIfEmpty(s.withheldFiles),
		Conflicts:      nilIfEmpty(s.conflicts),
		Generation:     s.generation,
		LastEpoch:      s.lastEpoch,
		MergeCount:     s.mergeCount,
		ActiveIndex:    s.activeIndex,
		CandidateIndex: s.candidateIndex,
		Bisection:      nilIfEmpty(s.bisection),
		Stopped:        s.stopped,
		FailedChanges:  nilIfEmpty(s.failedChanges),
		ProxyCount:     s.proxyCount,
	}
	var chunks chunkTable
	for i := range s.retained {
		chunks.add(s.retained[i].tree)
		out.Retained = append(out.Retained, files.policy(&s.retained[i]))
	}
	chunks.add(s.head.tree)
	out.Head = files.policy(&s.head)
	out.Chunks = chunks.list
	return encMode.Marshal(&out)
}

// nilIfEmpty returns nil for an empty list, so that empty and nil lists have the same encoding.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// fileTable collects all declarations and files of a state, each once, in the order of snapshotFile.compare.
type fileTable struct {
	hashes  map[string]merkle.Hash // hash of each text
	list    []snapshotFile
	indexOf map[snapshotFile]int // index in list
	texts   [][]byte             // each distinct text once, in the order in which the files of list first use it
}

// newFileTable returns the table of all declarations and files of a state, including those of retained policies.
func newFileTable(s *state) *fileTable {
	t := &fileTable{hashes: map[string]merkle.Hash{}, indexOf: map[snapshotFile]int{}}
	texts := map[snapshotFile]string{}
	add := func(namespace string, f submittedFile) { texts[t.file(namespace, f)] = f.text }
	addAll := func(files map[string]submittedFile) {
		for name, f := range files {
			add(name, f)
		}
	}
	add("", s.declaration)
	addAll(s.accepted)
	addAll(s.pending)
	for p := range s.newestFirst() {
		add("", p.declaration)
		addAll(p.files)
	}
	t.list = slices.SortedFunc(maps.Keys(texts), snapshotFile.compare)
	written := map[merkle.Hash]bool{}
	for i, f := range t.list {
		t.indexOf[f] = i
		if !written[f.Text] {
			written[f.Text] = true
			t.texts = append(t.texts, []byte(texts[f]))
		}
	}
	return t
}

// file returns a file as the snapshot has it. The namespace of a declaration is empty.
func (t *fileTable) file(namespace string, f submittedFile) snapshotFile {
	hash, ok := t.hashes[f.text]
	if !ok {
		hash = merkle.HashOf([]byte(f.text))
		t.hashes[f.text] = hash
	}
	return snapshotFile{namespace, hash, f.author, f.number, f.mergeNumber}
}

// declarationIndex returns the index of a declaration in list.
func (t *fileTable) declarationIndex(declaration submittedFile) int {
	return t.indexOf[t.file("", declaration)]
}

// indices returns the sorted indices in list of files, which are keyed by namespace.
func (t *fileTable) indices(files map[string]submittedFile) []int {
	var all []int
	for name, f := range files {
		all = append(all, t.indexOf[t.file(name, f)])
	}
	slices.Sort(all)
	return all
}

// policy returns a policy as the snapshot has it. It returns the zero value for a policy without a tree.
func (t *fileTable) policy(p *retainedPolicy) snapshotPolicy {
	if p.tree == nil {
		return snapshotPolicy{}
	}
	return snapshotPolicy{p.version, t.declarationIndex(p.declaration), t.indices(p.files)}
}

// chunkTable collects the chunks of trees, each once. Of each tree it visits only the parts that differ from the tree
// that was added before.
type chunkTable struct {
	previous *merkle.Tree
	written  map[merkle.Hash]bool
	list     [][]byte
}

// add adds the chunks of a tree that are not in the list yet. A nil tree has none.
func (t *chunkTable) add(tree *merkle.Tree) {
	if tree == nil {
		return
	}
	if t.written == nil {
		t.written = map[merkle.Hash]bool{}
	}
	for hash, chunk := range tree.ChunksNotIn(t.previous) {
		if !t.written[hash] {
			t.written[hash] = true
			t.list = append(t.list, chunk)
		}
	}
	t.previous = tree
}
