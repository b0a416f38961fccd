package client

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"lapisspread/internal/durable"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/quotalease"
)

// frozenDir holds the state files of proxy p1 as the code of commit c8fad44 wrote them, with
//
//	FREEZE_KEPT=1 go test ./internal/controlplane/client -run TestFrozenFilesAreWrittenTheSame
//
// They must never be rewritten: running proxies have files of this format.
const frozenDir = "testdata/c8fad44"

// frozenFloors returns the floors in the frozen floors file, by quota name.
func frozenFloors() map[string]quotalease.Floor {
	return map[string]quotalease.Floor{
		"all":  {Kind: quotalease.Rate, Amount: quotalease.FromUnits(200), Burst: quotalease.FromUnits(20)},
		"held": {Kind: quotalease.InFlight, Amount: quotalease.FromUnits(3), MaxHoldTime: 1500 * time.Millisecond},
	}
}

// frozenContents returns the two policies in the frozen journal, in the order in which they were saved.
func frozenContents(t *testing.T) (first, second policyContent) {
	t.Helper()
	for i, c := range []*policyContent{&first, &second} {
		text := policyText([]string{"one", "two"}[i])
		var err error
		if *c, err = contentFromText(textVersion(1, uint64(5+i), text), text); err != nil {
			t.Fatalf("contentFromText(policy %d of 2) = error %v, want nil", i+1, err)
		}
	}
	return first, second
}

// writeFrozenFiles writes the files of frozenDir to a directory with the current code.
func writeFrozenFiles(t *testing.T, dir string) {
	t.Helper()
	first, second := frozenContents(t)
	store := newPolicyStore(dir, "p1")
	older := textRecord{Offer: textVersion(1, 4, policyText("older")), Text: policyText("older")}
	claim := newFloorClaim(filepath.Join(dir, "floors-p1"), "p1")
	err := errors.Join(
		store.textFile.Save(older), store.save(first), store.save(second), claim.save(9, frozenFloors(), always))
	if err != nil {
		t.Fatalf("saving the policies and floors of the frozen files: %v", err)
	}
}

// copyFrozenFiles copies the frozen files to a temporary directory and returns its path.
func copyFrozenFiles(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(frozenDir)); err != nil {
		t.Fatalf("copying the frozen files: %v", err)
	}
	return dir
}

// The current code must write the same bytes as the release that wrote the frozen files.
func TestFrozenFilesAreWrittenTheSame(t *testing.T) {
	if os.Getenv("FREEZE_KEPT") != "" {
		if err := os.MkdirAll(frozenDir, 0o700); err != nil {
			t.Fatalf("creating the directory of the frozen files: %v", err)
		}
		writeFrozenFiles(t, frozenDir)
	}
	dir := t.TempDir()
	writeFrozenFiles(t, dir)
	for _, name := range []string{"floors-p1", "pieces-p1", "policy-p1"} {
		want, err := os.ReadFile(filepath.Join(frozenDir, name))
		if err != nil {
			t.Fatalf("reading a frozen file: %v", err)
		}
		got, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("file %s as written by the current code: %q, read error %v; want the frozen content %q",
				name, got, err, want)
		}
	}
}

// The floors stored by an earlier release must be loaded, and can then be replaced by a higher version.
func TestGoOnFromFrozenFloors(t *testing.T) {
	c := newFloorClaim(filepath.Join(copyFrozenFiles(t), "floors-p1"), "p1")
	version, floors, err := c.load()
	if err != nil || version != 9 || !reflect.DeepEqual(floors, frozenFloors()) {
		t.Fatalf("load() of the frozen floors = version %d, floors %+v, error %v; want version 9, floors %+v, nil",
			version, floors, err, frozenFloors())
	}
	held, err := c.tryLock()
	if err != nil || !held {
		t.Fatalf("tryLock() beside the frozen floors = %v, %v; want true, nil", held, err)
	}
	defer c.release()
	delete(floors, "held")
	for version, want := range []uint64{9, 10} { // version 9 is stored already
		if err := c.save(uint64(version)+9, floors, always); err != nil {
			t.Fatalf("save(version %d) = %v, want nil", version+9, err)
		}
		if got, _, err := c.load(); err != nil || got != want {
			t.Errorf("load() after save(version %d) = version %d, error %v; want version %d, nil",
				version+9, got, err, want)
		}
	}
	if _, got, _ := c.load(); !reflect.DeepEqual(got, floors) {
		t.Errorf("load() after save(version 10) = floors %+v, want %+v", got, floors)
	}
}

// The policy in the journal of an earlier release must be loaded, and later policies are appended to that journal.
func TestGoOnFromFrozenPolicy(t *testing.T) {
	dir := copyFrozenFiles(t)
	_, second := frozenContents(t)
	store := newPolicyStore(dir, "p1")
	got, chunks, err := store.load()
	want := rollout.Version{Generation: 1, Epoch: 6, Hash: second.hash}
	if err != nil || len(chunks) > 0 || got.offer != want || got.hash != second.hash {
		t.Fatalf("load() of the frozen policy = version %+v, content hash %s, %d chunks, error %v; "+
			"want version %+v, hash %s, no chunks, nil", got.offer, got.hash, len(chunks), err, want, second.hash)
	}
	sameItem := func(a, b merkle.Item) bool { return a.Key == b.Key && bytes.Equal(a.Value, b.Value) }
	gotItems, wantItems := slices.Collect(got.tree.Items()), slices.Collect(second.tree.Items())
	if !slices.EqualFunc(gotItems, wantItems, sameItem) {
		t.Fatalf("load() of the frozen policy: tree items %v, want %v", gotItems, wantItems)
	}
	text := policyText("three")
	third, err := contentFromText(textVersion(2, 3, text), text)
	if err != nil {
		t.Fatalf("contentFromText(third policy) = error %v, want nil", err)
	}
	before := store.journal.Size()
	if err := store.save(third); err != nil || store.journal.Size() <= before {
		t.Fatalf("save(third policy) = %v, journal of %d bytes; want nil and more than the %d bytes before",
			err, store.journal.Size(), before)
	}
	got, _, err = newPolicyStore(dir, "p1").load()
	if err != nil || got.offer != third.offer || got.tree.Root() != third.tree.Root() {
		t.Errorf("load() after save(third policy) = version %+v, error %v; want version %+v with its tree, nil",
			got.offer, err, third.offer)
	}
}

// Earlier releases stored the policy as one text file instead of a journal of chunks. If only that file exists, Restore
// must install its policy, leave the file as it is and create no journal.
func TestGoOnFromFrozenText(t *testing.T) {
	dir := copyFrozenFiles(t)
	if err := os.Remove(filepath.Join(dir, "pieces-p1")); err != nil {
		t.Fatalf("removing the journal of chunks: %v", err)
	}
	p := NewPolicyClient(testConfig(dir), acceptAll)
	p.Restore()
	want := textVersion(1, 4, policyText("older"))
	if current := p.Current(); current.Offer != want || current.Policy.Hash() != want.Hash {
		t.Errorf("Restore() from the text file of an earlier release installed version %+v, want %+v with its content",
			current.Offer, want)
	}
	older := durable.File{Path: filepath.Join(dir, "policy-p1"), Kind: "lapisspread-policy", Version: 1}
	var stored struct {
		Offer struct {
			Order, Epoch uint64
			Hash         string
		}
		Text []byte
	}
	if err := older.Load(&stored); err != nil {
		t.Fatalf("loading the text file after Restore(): %v", err)
	}
	if stored.Offer.Order != 1 || stored.Offer.Epoch != 4 || !bytes.Equal(stored.Text, policyText("older")) {
		t.Errorf("text file after Restore(): order %d, epoch %d, text %q; want order 1, epoch 4, text %q",
			stored.Offer.Order, stored.Offer.Epoch, stored.Text, policyText("older"))
	}
	if _, err := os.Stat(filepath.Join(dir, "pieces-p1")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Stat of the journal of chunks after Restore() = error %v, want %v: Restore writes no journal",
			err, fs.ErrNotExist)
	}
}
