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

// Bounds of the random assemblies.
const (
	randomAssemblies = 300
	maxAssemblySteps = 100_000
	randomChunks     = 30_000
	distortionSeeds  = 60
	firstDistortSeed = 1000
	maxChangeWithin  = 4 * MaxChunkBytes // bytes that a change within a long value may cost
)

// assemblyRun assembles a tree out of chunks of which some are damaged, cut off, foreign or malformed.
type assemblyRun struct {
	t          *testing.T
	random     randomContent
	seed       uint64
	content    map[string][]byte
	tree       *Tree
	distortion string // how the tree is malformed; empty if it is not
	foreign    [][]byte
	chunks     map[Hash][]byte
	assembly   *Assembly

	violations []string
	rejected   int  // chunks that were rejected
	completed  bool // a tree was returned
}

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

func (r *assemblyRun) violated(violation bool, format string, args ...any) {
	if violation {
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
	r.violated(true, "it never ends")
}

// checkTree reports whether the run is over: a tree was returned or its content rejected.
func (r *assemblyRun) checkTree(missing []Hash) bool {
	tree, err := r.assembly.Tree()
	var incomplete IncompleteError
	switch {
	case errors.As(err, &incomplete):
		r.violated(len(missing) == 0 || incomplete.Missing < len(missing), "%v, and %d are missing", err, len(missing))
		return false
	case err != nil:
		r.violated(r.distortion == "", "well-formed content is rejected: %v", err)
		return true
	}
	r.completed = true
	built, err := Build(slices.Collect(tree.Items()))
	r.violated(len(missing) > 0, "a tree while %d chunks are missing", len(missing))
	r.violated(r.distortion != "", "accepted: %s", r.distortion)
	r.violated(tree.Root() != r.tree.Root(), "a tree of another root")
	r.violated(err != nil || built.Root() != r.tree.Root(), "content of another root")
	if r.distortion == "" {
		fault := contentFault(tree, r.content)
		r.violated(fault != "", "%s", fault)
	}
	return true
}

// drawChunk returns the right chunk, or one that is damaged, cut off, foreign, too long or random.
func (r *assemblyRun) drawChunk(right []byte) []byte {
	d := r.random
	switch d.IntN(8) {
	case 0:
		damaged := bytes.Clone(right)
		damaged[d.IntN(len(damaged))] ^= 1 << d.IntN(8)
		return damaged
	case 1:
		return right[:d.IntN(len(right))]
	case 2:
		return r.foreign[d.IntN(len(r.foreign))]
	case 3:
		return append(bytes.Clone(right), 0)
	case 4:
		return make([]byte, d.IntN(2*MaxChunkBytes))
	}
	return right
}

// add adds a chunk. It reports whether the run is over because malformed content was rejected.
func (r *assemblyRun) add(chunk []byte) bool {
	before := r.assembly.Missing(math.MaxInt)
	isMissing := slices.Contains(before, HashOf(chunk))
	err := r.assembly.Add(bytes.Clone(chunk))
	after := r.assembly.Missing(math.MaxInt)
	r.violated(err == nil && !isMissing, "a chunk was accepted that was not missing")
	r.violated(errors.As(err, new(UnexpectedChunkError)) && isMissing, "a missing chunk was rejected: %v", err)
	r.violated(err != nil && len(after) != len(before), "a rejected chunk changed what is missing")
	if errors.As(err, new(MalformedChunkError)) {
		r.violated(r.distortion == "", "well-formed content is rejected: %v", err)
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
			t.Error(violation)
		}
	}
	t.Logf("%d assemblies, %d completed, %d chunks rejected", randomAssemblies, completed, rejected)
	incomplete := randomAssemblies - completed
	if completed < randomAssemblies/3 || incomplete < randomAssemblies/5 || rejected < randomAssemblies {
		t.Error("the random assemblies are too tame")
	}
}

// The random assemblies detect each check that is switched off.
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
			t.Errorf("%s: not detected", name)
			continue
		}
		t.Logf("%s: detected by assembly %d: %s", name, seed, violations[0])
	}
}

// Each distortion occurs and is rejected, and is accepted once its only check is switched off.
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
				t.Errorf("%s, seed %d: accepted", name, seed)
			}
			if assembleAll(top, distorted.check) == nil {
				accepted++
			}
		}
		t.Logf("%s: occurred %d times, accepted without its check %d times", name, occurred, accepted)
		if occurred < 5 || distorted.check != 0 && accepted == 0 {
			t.Errorf("%s: occurred %d times, and accepted without its check %d times", name, occurred, accepted)
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

// Whatever stands in a key or a value, no chunk is over its bound, and the content is reassembled.
func TestChunksAreBounded(t *testing.T) {
	d := newRandomContent(7)
	random := make([]byte, 3<<20)
	for i := range random {
		random[i] = byte(d.Uint32())
	}
	zeros := make([]byte, MaxValueBytes) // a value in which no segment ends before its bound
	if n := segmentEnd(zeros); n != maxSegmentBytes {
		t.Fatalf("a segment of zeros ends at %d", n)
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
		t.Fatal(fault)
	}
	if fault := reassemblyFault(nil, tree, content); fault != "" {
		t.Fatal(fault)
	}
	longest := 0
	for _, chunk := range tree.Chunks() {
		longest = max(longest, len(chunk))
	}
	t.Logf("the longest of all chunks is %d bytes", longest)
}

// shortSegments is a value in which each segment ends as early as it may.
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

// A change within a long value costs the segments about it, wherever it is.
func TestChangeWithinLongValue(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 30))
	value := make([]byte, 1<<20)
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	before := mustBuild(t, []Item{{"long", value}})
	most := 0
	for range 30 {
		at := rng.IntN(len(value))
		changed := slices.Concat(value[:at], []byte("tenant"), value[at:])
		after, err := before.With([]Item{{"long", changed}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		sum := 0
		for _, chunk := range after.ChunksNotIn(before) {
			sum += len(chunk)
		}
		most = max(most, sum)
	}
	t.Logf("at most %d bytes of %d", most, before.Size())
	if most > maxChangeWithin {
		t.Errorf("a change within took %d bytes of %d", most, before.Size())
	}
}

// Arbitrary bytes under their right hash give a tree of that root, or are rejected.
func TestArbitraryChunks(t *testing.T) {
	d := newRandomContent(9)
	tree := mustBuild(t, d.items(d.content(60)))
	all := slices.SortedFunc(maps.Values(maps.Collect(tree.Chunks())), bytes.Compare)
	accepted := 0
	for i := range randomChunks {
		chunk := d.mutateChunk(all[d.IntN(len(all))])
		root := HashOf(chunk)
		chunks := [][]byte{chunk}
		if d.IntN(3) == 0 { // as a segment or a list of a value
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
			t.Fatalf("chunk %d: %x is rejected, and there is a tree: %v", i, chunk, addErr)
		}
		if treeErr != nil {
			continue
		}
		accepted++
		again, err := Build(slices.Collect(got.Items()))
		if err != nil || again.Root() != root {
			t.Fatalf("chunk %d: %x: a tree of another root: %v", i, chunk, err)
		}
	}
	t.Logf("%d accepted", accepted)
	if accepted < 100 {
		t.Error("the mutated chunks are too wild")
	}
}

// mutateChunk changes, inserts or cuts off some bytes, mostly near the beginning.
func (d randomContent) mutateChunk(chunk []byte) []byte {
	chunk = bytes.Clone(chunk)
	for range d.IntN(3) {
		switch at := d.IntN(max(1, min(len(chunk), 1<<d.IntN(10)))); {
		case len(chunk) == 0:
		case d.IntN(2) == 0:
			chunk[at] = byte(d.IntN(256))
		case d.IntN(2) == 0:
			chunk = chunk[:at]
		default:
			chunk = slices.Insert(chunk, at, byte(d.IntN(8)))
		}
	}
	return chunk
}
