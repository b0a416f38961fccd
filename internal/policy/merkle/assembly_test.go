package merkle

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Sizes and limits of the tests with random content.
const (
	randomAssemblies    = 300
	maxAssemblySteps    = 100_000 // attempts to add a chunk in one assembly
	randomChunks        = 30_000
	distortionSeeds     = 60
	firstDistortSeed    = 1000
	maxValueChangeBytes = 4 * MaxChunkBytes // limit on the new chunks that a short insertion in a long value makes
)

// assemblyRun assembles a tree from chunks, some of which are damaged, truncated, malformed or from another tree.
type assemblyRun struct {
	t          *testing.T
	random     randomContent
	seed       uint64
	content    map[string][]byte
	tree       *Tree    // the tree to assemble
	distortion string   // how the tree is malformed; empty if it is well-formed
	foreign    [][]byte // chunks of a tree with other content
	chunks     map[Hash][]byte
	assembly   *Assembly

	violations []string
	rejected   int  // number of chunks that were rejected
	completed  bool // a tree was returned
}

// newAssemblyRun starts the assembly of a random tree, which is malformed for some seeds. The assembly starts from no
// tree, an earlier version, or a tree with other content.
func newAssemblyRun(t *testing.T, seed uint64, mutations mutation) *assemblyRun {
	t.Helper()
	d := newRandomContent(seed)
	content := d.content(40 + d.IntN(80))
	r := &assemblyRun{t: t, random: d, seed: seed, content: content}
	previous := mustBuild(t, d.items(content))
	foreignContent := maps.Clone(content)
	for range 1 + d.IntN(3) {
		d.change(content)
		d.change(foreignContent)
	}
	r.tree = mustBuild(t, d.items(content))
	foreign := mustBuild(t, d.items(foreignContent))
	if names := slices.Sorted(maps.Keys(distortions)); d.IntN(2) == 0 {
		name := names[d.IntN(len(names))]
		top := d.distort(r.tree.top, 0, distortions[name].distort)
		if top != nil && top.hash != r.tree.top.hash {
			r.distortion = name
			r.tree = &Tree{top: top}
		}
	}
	existing := []*Tree{nil, previous, foreign}[d.IntN(3)]
	r.assembly = NewAssembly(r.tree.Root(), existing)
	r.assembly.mutations = mutations
	r.chunks = maps.Collect(r.tree.Chunks())
	r.foreign = slices.SortedFunc(maps.Values(maps.Collect(foreign.Chunks())), bytes.Compare)
	return r
}

// recordViolationIf adds a description to the violations if violated is true.
func (r *assemblyRun) recordViolationIf(violated bool, format string, args ...any) {
	if violated {
		r.violations = append(r.violations, fmt.Sprintf("seed %d: ", r.seed)+fmt.Sprintf(format, args...))
	}
}

// run adds chunks until a tree is returned, malformed content is rejected, or an invariant is violated.
func (r *assemblyRun) run() {
	for range maxAssemblySteps {
		missing := r.assembly.Missing(1 + r.random.IntN(8))
		if r.checkTree(missing) || len(r.violations) > 0 {
			return
		}
		chunk := r.drawChunk(r.chunks[missing[r.random.IntN(len(missing))]])
		if r.add(chunk) || len(r.violations) > 0 {
			return
		}
	}
	r.recordViolationIf(true, "the assembly neither returned a tree nor rejected its content in %d steps",
		maxAssemblySteps)
}

// checkTree checks what Assembly.Tree returns. It reports whether the run has ended: a tree was returned, or the
// content was rejected.
func (r *assemblyRun) checkTree(missing []Hash) bool {
	tree, err := r.assembly.Tree()
	var incomplete IncompleteError
	switch {
	case errors.As(err, &incomplete):
		r.recordViolationIf(len(missing) == 0 || incomplete.Missing < len(missing),
			"Tree() returned %v, but Missing returned %d hashes", err, len(missing))
		return false
	case err != nil:
		r.recordViolationIf(r.distortion == "", "Tree() rejected well-formed content: %v", err)
		return true
	}
	r.completed = true
	built, err := Build(slices.Collect(tree.Items()))
	r.recordViolationIf(len(missing) > 0, "Tree() returned a tree while %d chunks were missing", len(missing))
	r.recordViolationIf(r.distortion != "", "Tree() accepted malformed content: %s", r.distortion)
	r.recordViolationIf(tree.Root() != r.tree.Root(),
		"the assembled tree has root %v, want %v", tree.Root(), r.tree.Root())
	r.recordViolationIf(err != nil || built.Root() != r.tree.Root(),
		"building the assembled items again gave another root than %v, or the error %v", r.tree.Root(), err)
	if r.distortion == "" {
		fault := contentFault(tree, r.content)
		r.recordViolationIf(fault != "", "assembled tree: %s", fault)
	}
	return true
}

// drawChunk returns the expected chunk, or instead of it a damaged, truncated or extended copy, a chunk of another
// tree, or zeros.
func (r *assemblyRun) drawChunk(expected []byte) []byte {
	d := r.random
	switch d.IntN(8) {
	case 0:
		damaged := bytes.Clone(expected)
		damaged[d.IntN(len(damaged))] ^= 1 << d.IntN(8)
		return damaged
	case 1:
		return expected[:d.IntN(len(expected))]
	case 2:
		return r.foreign[d.IntN(len(r.foreign))]
	case 3:
		return append(bytes.Clone(expected), 0)
	case 4:
		return make([]byte, d.IntN(2*MaxChunkBytes))
	}
	return expected
}

// add adds a chunk and checks whether the assembly accepts it correctly. It reports whether the run has ended because
// malformed content was rejected.
func (r *assemblyRun) add(chunk []byte) bool {
	before := r.assembly.Missing(math.MaxInt)
	isMissing := slices.Contains(before, HashOf(chunk))
	err := r.assembly.Add(bytes.Clone(chunk))
	after := r.assembly.Missing(math.MaxInt)
	r.recordViolationIf(err == nil && !isMissing, "Add accepted chunk %v, which was not missing", HashOf(chunk))
	r.recordViolationIf(errors.As(err, new(UnexpectedChunkError)) && isMissing, "Add rejected a missing chunk: %v", err)
	r.recordViolationIf(err != nil && len(after) != len(before),
		"a chunk that Add rejected changed the number of missing hashes from %d to %d", len(before), len(after))
	if errors.As(err, new(MalformedChunkError)) {
		r.recordViolationIf(r.distortion == "", "Add rejected a chunk of well-formed content: %v", err)
		return true
	}
	if err != nil {
		r.rejected++
	}
	return false
}

func TestRandomAssemblies(t *testing.T) {
	rejected := 0
	completed := 0
	for seed := range uint64(randomAssemblies) {
		r := newAssemblyRun(t, seed, 0)
		r.run()
		rejected += r.rejected
		if r.completed {
			completed++
		}
		for _, violation := range r.violations {
			t.Errorf("random assembly violates an invariant: %s", violation)
		}
	}
	t.Logf("%d assemblies, %d completed, %d chunks rejected", randomAssemblies, completed, rejected)
	incomplete := randomAssemblies - completed
	if completed < randomAssemblies/3 || incomplete < randomAssemblies/5 || rejected < randomAssemblies {
		t.Errorf("%d assemblies were completed, %d ended without a tree and %d chunks were rejected, "+
			"want at least %d, %d and %d, so that all cases occur",
			completed, incomplete, rejected, randomAssemblies/3, randomAssemblies/5, randomAssemblies)
	}
}

// If one check of an Assembly is switched off, the random assemblies find a violation.
func TestRandomAssembliesDetectMutations(t *testing.T) {
	for name, mutations := range map[string]mutation{
		"no hash check":     skipHashCheck,
		"no place check":    skipPlaceCheck,
		"no shape check":    skipShapeCheck,
		"no complete check": skipCompleteCheck,
	} {
		var violations []string
		seed := uint64(0)
		for ; len(violations) == 0 && seed < randomAssemblies; seed++ {
			r := newAssemblyRun(t, seed, mutations)
			r.run()
			violations = r.violations
		}
		if len(violations) == 0 {
			t.Errorf("mutation %q: %d random assemblies found no violation, want at least one", name, randomAssemblies)
			continue
		}
		t.Logf("mutation %q: detected after %d random assemblies: %s", name, seed, violations[0])
	}
}

// Content with any of the distortions is rejected. If a single check covers a distortion, the content is accepted once
// that check is switched off.
func TestDistortedContentIsRejected(t *testing.T) {
	for name, distorted := range distortions {
		occurred := 0
		accepted := 0
		for seed := range uint64(distortionSeeds) {
			d := newRandomContent(seed + firstDistortSeed)
			good := mustBuild(t, d.items(d.content(60)))
			top := d.distort(good.top, 0, distorted.distort)
			if top == nil || top.hash == good.top.hash {
				continue
			}
			occurred++
			if assembleAll(top, 0) == nil {
				t.Errorf("seed %d: assembling content with the distortion %q returned no error, want one", seed, name)
			}
			if assembleAll(top, distorted.skippedCheck) == nil {
				accepted++
			}
		}
		t.Logf("distortion %q: occurred %d times, accepted without its check %d times", name, occurred, accepted)
		if occurred < 5 {
			t.Errorf("distortion %q could be made in %d of %d random contents, want at least 5",
				name, occurred, distortionSeeds)
		}
		if distorted.skippedCheck != 0 && accepted == 0 {
			t.Errorf("distortion %q: assembling always failed with the responsible check switched off, "+
				"want at least one success", name)
		}
	}
}

// assembleAll adds all chunks of a subtree in order and returns the first error.
func assembleAll(top *node, mutations mutation) error {
	a := NewAssembly(top.hash, nil)
	a.mutations = mutations
	var first error
	for _, chunk := range (&Tree{top: top}).Chunks() {
		if err := a.Add(chunk); err != nil && first == nil {
			first = err
		}
	}
	if _, err := a.Tree(); first == nil {
		first = err
	}
	return first
}

// No chunk is longer than MaxChunkBytes, whatever bytes the keys and values have, and the content can be reassembled.
func TestChunksAreBounded(t *testing.T) {
	d := newRandomContent(7)
	random := make([]byte, 3<<20)
	for i := range random {
		random[i] = byte(d.Uint32())
	}
	zeros := make([]byte, MaxValueBytes) // each segment but the last has the maximum length
	if n := segmentEnd(zeros); n != maxSegmentBytes {
		t.Fatalf("segmentEnd of zeros = %d, want the maximum %d", n, maxSegmentBytes)
	}
	content := map[string][]byte{"random": random, "zeros": zeros, "short": shortSegments(d), "none": nil}
	for i := range 20 {
		key := make([]byte, MaxKeyBytes-i)
		for k := range key {
			key[k] = byte(d.Uint32())
		}
		content[string(key)] = random[:maxInlineBytes-i%2]
		content[fmt.Sprint("inline ", i)] = random[:maxInlineBytes-10+i]
	}
	tree := mustBuild(t, d.items(content))
	if fault := contentFault(tree, content); fault != "" {
		t.Fatalf("tree with random keys and long values: %s", fault)
	}
	if fault := reassemblyFault(nil, tree, content); fault != "" {
		t.Fatalf("reassembling the tree with random keys and long values: %s", fault)
	}
	longest := 0
	for _, chunk := range tree.Chunks() {
		longest = max(longest, len(chunk))
	}
	t.Logf("the longest chunk has %d bytes", longest)
}

// shortSegments returns a value of about 200 KiB whose segments all have the minimum length.
func shortSegments(d randomContent) []byte {
	var value []byte
	for len(value) < 200<<10 {
		segment := make([]byte, minSegmentBytes)
		for segmentEnd(append(slices.Clone(segment), 0)) != minSegmentBytes {
			for i := range 8 {
				segment[len(segment)-1-i] = byte(d.Uint32())
			}
		}
		value = append(value, segment...)
	}
	return value
}

// A small insertion anywhere in a long value changes only the segments around it and the lists above them.
func TestChangeWithinLongValue(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 30))
	value := make([]byte, 1<<20)
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	before := mustBuild(t, []Item{{"long", value}})
	maxNewBytes := 0
	for range 30 {
		offset := rng.IntN(len(value))
		changed := slices.Concat(value[:offset], []byte("tenant"), value[offset:])
		after, err := before.With([]Item{{"long", changed}}, nil)
		if err != nil {
			t.Fatalf("With() for 6 bytes inserted at %d of a long value failed: %v", offset, err)
		}
		newBytes := 0
		for _, chunk := range after.ChunksNotIn(before) {
			newBytes += len(chunk)
		}
		maxNewBytes = max(maxNewBytes, newBytes)
	}
	t.Logf("an insertion changed at most %d bytes of chunks of %d", maxNewBytes, before.Size())
	if maxNewBytes > maxValueChangeBytes {
		t.Errorf("inserting 6 bytes in a long value made %d bytes of new chunks of %d, want at most %d",
			maxNewBytes, before.Size(), maxValueChangeBytes)
	}
}

// Chunks of arbitrary bytes under their correct hash are rejected, or give a tree whose content, built again, has the
// requested root.
func TestArbitraryChunks(t *testing.T) {
	d := newRandomContent(9)
	tree := mustBuild(t, d.items(d.content(60)))
	all := slices.SortedFunc(maps.Values(maps.Collect(tree.Chunks())), bytes.Compare)
	accepted := 0
	for i := range randomChunks {
		chunk := d.mutateChunk(all[d.IntN(len(all))])
		root := HashOf(chunk)
		chunks := [][]byte{chunk}
		if d.IntN(3) == 0 { // a third of the chunks are placed as the segment or list of a value
			value := &segmentedValue{total: maxInlineBytes + 1 + d.IntN(5000), root: root}
			leaf := newLeaf([]item{{key: "k", segmented: value}})
			root = leaf.hash
			chunks = [][]byte{leaf.chunk, chunk}
		}
		a := NewAssembly(root, nil)
		var addErr error
		for _, c := range chunks {
			addErr = a.Add(c)
		}
		got, treeErr := a.Tree()
		if addErr != nil && treeErr == nil {
			t.Fatalf("chunk %d: Add(%x) returned %v, but Tree() returned a tree, want an error", i, chunk, addErr)
		}
		if treeErr != nil {
			continue
		}
		accepted++
		again, err := Build(slices.Collect(got.Items()))
		if err != nil || again.Root() != root {
			t.Fatalf("chunk %d: the tree of %x, built again from its items, does not have root %v (error %v)",
				i, chunk, root, err)
		}
	}
	t.Logf("%d of %d mutated chunks were accepted", accepted, randomChunks)
	if accepted < 100 {
		t.Errorf("%d of %d mutated chunks were accepted, want at least 100, so that both outcomes are tested",
			accepted, randomChunks)
	}
}

// mutateChunk returns a copy of a chunk with up to two random changes, mostly near its start: a byte is overwritten or
// inserted, or the rest is cut off.
func (d randomContent) mutateChunk(chunk []byte) []byte {
	chunk = bytes.Clone(chunk)
	for range d.IntN(3) {
		switch offset := d.IntN(max(1, min(len(chunk), 1<<d.IntN(10)))); {
		case len(chunk) == 0:
		case d.IntN(2) == 0:
			chunk[offset] = byte(d.IntN(256))
		case d.IntN(2) == 0:
			chunk = chunk[:offset]
		default:
			chunk = slices.Insert(chunk, offset, byte(d.IntN(8)))
		}
	}
	return chunk
}
