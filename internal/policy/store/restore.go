package store

import (
	"errors"
	"fmt"

	"lapisspread/internal/policy/merkle"
)

// errChunkMissing is returned for a snapshot that lacks a chunk of a policy.
var errChunkMissing = errors.New("a piece is missing")

// chunksPerStep is the maximum number of missing chunks that assembleTree requests from an assembly and adds at a time.
const chunksPerStep = 1 << 10

// Restore replaces the state by that of a snapshot, of the current or the legacy format. It returns an
// InvalidCommandError for a damaged snapshot; the state is then unchanged.
func (m *StateMachine) Restore(data []byte) error {
	decode := decodeSnapshot
	if len(data) > 0 && data[0] == '{' {
		decode = decodeLegacySnapshot
	}
	next, err := decode(data)
	if err != nil {
		return err
	}
	*m = StateMachine{state: next, mutations: m.mutations}
	return nil
}

// invalidSnapshot returns an InvalidCommandError about a snapshot.
func invalidSnapshot(format string, args ...any) error {
	return InvalidCommandError{"a snapshot " + fmt.Sprintf(format, args...)}
}

// validIndices reports whether the number of retained policies is within its limit, and the indices of the active
// policy and of the candidate each refer to a retained policy or are noPolicy.
func validIndices(retained, active, candidate int) bool {
	inRange := func(index int) bool { return index >= noPolicy && index < retained }
	return retained <= MaxRetainedPolicies && inRange(active) && inRange(candidate)
}

// decodeSnapshot decodes a snapshot of the current format. It returns an InvalidCommandError for a damaged one.
func decodeSnapshot(data []byte) (state, error) {
	var in snapshot
	if err := decMode.Unmarshal(data, &in); err != nil {
		return state{}, invalidSnapshot("that can't be read: %v", err)
	}
	if in.Format != snapshotFormat || !validIndices(len(in.Retained), in.ActiveIndex, in.CandidateIndex) {
		return state{}, invalidSnapshot("of another form")
	}
	files, err := newFileDecoder(&in)
	if err != nil {
		return state{}, err
	}
	s := state{
		declaration:    files.declaration(in.Declaration),
		accepted:       files.byNamespace(in.Accepted),
		pending:        files.byNamespace(in.Pending),
		highestNumbers: in.HighestNumbers,
		withheldFiles:  in.WithheldFiles,
		conflicts:      in.Conflicts,
		generation:     in.Generation,
		lastEpoch:      in.LastEpoch,
		mergeCount:     in.MergeCount,
		activeIndex:    in.ActiveIndex,
		candidateIndex: in.CandidateIndex,
		bisection:      in.Bisection,
		stopped:        in.Stopped,
		failedChanges:  in.FailedChanges,
		proxyCount:     in.ProxyCount,
	}
	if s.highestNumbers == nil {
		s.highestNumbers = map[string]uint64{}
	}
	if err := s.decodePolicies(&in, files); err != nil {
		return state{}, err
	}
	if files.outOfRange {
		return state{}, invalidSnapshot("that speaks of files that it does not have")
	}
	return s, nil
}

// decodePolicies assembles the retained policies and the head. Each tree shares unchanged parts with the one before.
func (s *state) decodePolicies(in *snapshot, files *fileDecoder) error {
	chunks := map[merkle.Hash][]byte{}
	for _, chunk := range in.Chunks {
		chunks[merkle.HashOf(chunk)] = chunk
	}
	var previous *merkle.Tree
	decode := func(p snapshotPolicy) (retainedPolicy, error) {
		if p.Version.Hash == "" {
			return retainedPolicy{}, nil
		}
		tree, err := assembleTree(p.Version.Hash, chunks, previous)
		if err != nil {
			return retainedPolicy{}, invalidSnapshot("whose policy of epoch %d is damaged: %v", p.Version.Epoch, err)
		}
		previous = tree
		return retainedPolicy{p.Version, files.declaration(p.Declaration), files.byNamespace(p.Files), tree}, nil
	}
	for _, p := range in.Retained {
		policy, err := decode(p)
		if err != nil {
			return err
		}
		if policy.tree == nil {
			files.outOfRange = true
		}
		s.retained = append(s.retained, policy)
	}
	var err error
	s.head, err = decode(in.Head)
	return err
}

// assembleTree assembles the tree with a root, given in hexadecimal, from chunks and from the parts that it has in
// common with a previous tree, which may be nil.
func assembleTree(root string, chunks map[merkle.Hash][]byte, previous *merkle.Tree) (*merkle.Tree, error) {
	rootHash, err := merkle.ParseHash(root)
	if err != nil {
		return nil, err
	}
	assembly := merkle.NewAssembly(rootHash, previous)
	for {
		missing := assembly.Missing(chunksPerStep)
		if len(missing) == 0 {
			return assembly.Tree()
		}
		for _, hash := range missing {
			chunk, ok := chunks[hash]
			if !ok {
				return nil, errChunkMissing
			}
			if err := assembly.Add(chunk); err != nil {
				return nil, err
			}
		}
	}
}

// fileDecoder looks up files by their indices in a snapshot.
type fileDecoder struct {
	namespaces []string        // namespaces of the files, by index in snapshot.Files; empty for a declaration
	files      []submittedFile // the files with their texts, by index in snapshot.Files
	outOfRange bool            // an index is out of range or a retained policy is empty: the snapshot is damaged
}

// newFileDecoder joins the files of a snapshot with their texts. It returns an InvalidCommandError if a text is missing
// or does not have its hash.
func newFileDecoder(in *snapshot) (*fileDecoder, error) {
	texts := map[merkle.Hash]string{}
	for _, text := range in.Texts {
		texts[merkle.HashOf(text)] = string(text)
	}
	d := &fileDecoder{files: make([]submittedFile, 0, len(in.Files))}
	for _, f := range in.Files {
		text, ok := texts[f.Text]
		if !ok {
			return nil, invalidSnapshot("in which file %d of %s is damaged", f.Number, f.Namespace)
		}
		d.namespaces = append(d.namespaces, f.Namespace)
		d.files = append(d.files, submittedFile{text, f.Author, f.Number, f.MergeNumber})
	}
	return d, nil
}

// valid reports whether an index is in range. It sets outOfRange for an index that is not.
func (d *fileDecoder) valid(index int) bool {
	if index < 0 || index >= len(d.files) {
		d.outOfRange = true
		return false
	}
	return true
}

// declaration returns the declaration with an index. It returns an empty one and sets outOfRange if the index is
// invalid.
func (d *fileDecoder) declaration(index int) submittedFile {
	if !d.valid(index) {
		return submittedFile{}
	}
	return d.files[index]
}

// byNamespace returns the files with the given indices, keyed by namespace. It skips invalid indices and sets
// outOfRange for them.
func (d *fileDecoder) byNamespace(indices []int) map[string]submittedFile {
	files := make(map[string]submittedFile, len(indices))
	for _, index := range indices {
		if d.valid(index) {
			files[d.namespaces[index]] = d.files[index]
		}
	}
	return files
}
