package store

import (
	"encoding/json"
	"maps"

	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// legacyFormat is the format of snapshots of releases without batches and chunks: JSON with unchunked policies.
const legacyFormat = 1

// legacySnapshot is a state as snapshots of format 1 encode it. Its fields have the meaning of those of snapshot.
type legacySnapshot struct {
	Format         int                   `json:"form"`
	Declaration    string                `json:"charter"`
	Accepted       map[string]legacyFile `json:"good"`
	Pending        map[string]legacyFile `json:"waiting"`
	HighestNumbers map[string]uint64     `json:"seen"`
	WithheldFiles  []WithheldFile        `json:"held"`
	Conflicts      []string              `json:"conflicts"`
	Generation     uint64                `json:"order"`
	LastEpoch      uint64                `json:"epoch"`
	Retained       []legacyPolicy        `json:"kept"`
	ActiveIndex    int                   `json:"base"`
	CandidateIndex int                   `json:"next"`
	Stopped        *RolloutResult        `json:"stopped"`
}

// legacyFile is a file as snapshots of format 1 encode it.
type legacyFile struct {
	Text   string `json:"text"`
	Author string `json:"by"`
}

// legacyPolicy is a retained policy as snapshots of format 1 encode it: the texts of its files by namespace, and the
// unchunked encoding of the policy.
type legacyPolicy struct {
	Version rollout.Version   `json:"offer"`
	Files   map[string]string `json:"files"`
	Encoded string            `json:"text"`
}

// decodeLegacySnapshot decodes a snapshot of format 1. Its policies are chunked and keep their epochs, a rollout that
// was under way continues, and no changes are queued. It returns an InvalidCommandError for a malformed snapshot.
func decodeLegacySnapshot(data []byte) (state, error) {
	var in legacySnapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return state{}, invalidSnapshot("that can't be read: %v", err)
	}
	if in.Format != legacyFormat || !validIndices(len(in.Retained), in.ActiveIndex, in.CandidateIndex) {
		return state{}, invalidSnapshot("of another form")
	}
	s := New(in.Generation).state
	s.declaration = submittedFile{text: in.Declaration}
	s.withheldFiles = in.WithheldFiles
	s.conflicts = in.Conflicts
	s.lastEpoch = in.LastEpoch
	s.activeIndex = in.ActiveIndex
	s.candidateIndex = in.CandidateIndex
	s.stopped = in.Stopped
	maps.Copy(s.highestNumbers, in.HighestNumbers)
	if err := decodeLegacyFiles(s.accepted, in.Accepted); err != nil {
		return state{}, err
	}
	if err := decodeLegacyFiles(s.pending, in.Pending); err != nil {
		return state{}, err
	}
	for _, p := range in.Retained {
		policy, err := s.decodeLegacyPolicy(p)
		if err != nil {
			return state{}, err
		}
		s.retained = append(s.retained, policy)
	}
	if candidate := s.candidate(); candidate != nil {
		s.head = *candidate
	} else {
		s.head = *s.active()
	}
	return s, nil
}

// decodeLegacyFiles parses files to get their numbers, and adds them to a map by namespace.
func decodeLegacyFiles(to map[string]submittedFile, files map[string]legacyFile) error {
	for name, f := range files {
		if err := addLegacyFile(to, name, f.Text, f.Author); err != nil {
			return err
		}
	}
	return nil
}

// addLegacyFile parses a file to get its number, and adds it to a map by namespace.
func addLegacyFile(to map[string]submittedFile, name, text, author string) error {
	parsed, err := namespace.Parse(name, []byte(text))
	if err != nil {
		return invalidSnapshot("with a file that can't be read: %v", err)
	}
	to[name] = submittedFile{text: text, author: author, number: parsed.Number}
	return nil
}

// decodeLegacyPolicy checks the hash of a policy and chunks it. The hash of its version becomes that of the tree's
// root.
func (s *state) decodeLegacyPolicy(in legacyPolicy) (retainedPolicy, error) {
	epoch := in.Version.Epoch
	decoded, err := namespace.Decode([]byte(in.Encoded))
	if err == nil && decoded.Hash() != in.Version.Hash {
		err = rollout.HashMismatchError{Expected: in.Version.Hash, Actual: decoded.Hash()}
	}
	if err != nil {
		return retainedPolicy{}, invalidSnapshot("whose policy of epoch %d is damaged: %v", epoch, err)
	}
	tree, err := decoded.Tree()
	if err != nil {
		return retainedPolicy{}, invalidSnapshot("whose policy of epoch %d can't be put in pieces: %v", epoch, err)
	}
	version := in.Version
	version.Hash = tree.Root().String()
	policy := retainedPolicy{
		version: version, declaration: s.declaration, files: map[string]submittedFile{}, tree: tree,
	}
	for name, text := range in.Files {
		if err := addLegacyFile(policy.files, name, text, s.accepted[name].author); err != nil {
			return retainedPolicy{}, err
		}
	}
	return policy, nil
}
