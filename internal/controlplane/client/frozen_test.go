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

// frozenDir holds the files that a proxy of name p1 keeps, as the code of commit c8fad44 writes them; made with
//
//	FREEZE_KEPT=1 go test ./internal/controlplane/client -run TestFrozenFilesAreWrittenTheSame
//
// They must never be written again: they stand for the files of running proxies.
const frozenDir = "testdata/c8fad44"

func frozenFloors() map[string]quotalease.Floor {
	return map[string]quotalease.Floor{
		"all":  {Kind: quotalease.Rate, Amount: quotalease.FromUnits(200), Burst: quotalease.FromUnits(20)},
		"held": {Kind: quotalease.InFlight, Amount: quotalease.FromUnits(3), MaxHoldTime: 1500 * time.Millisecond},
	}
}

// frozenContents are the policies that are kept one after another.
func frozenContents(t *testing.T) (one, two policyContent) {
	t.Helper()
	for i, c := range []*policyContent{&one, &two} {
		text := policyText([]string{"one", "two"}[i])
		var err error
		if *c, err = contentFromText(textVersion(1, uint64(5+i), text), text); err != nil {
			t.Fatal(err)
		}
	}
	return one, two
}

func writeFrozenFiles(t *testing.T, dir string) {
	t.Helper()
	one, two := frozenContents(t)
	k := newPolicyStore(dir, "p1")
	older := textRecord{Offer: textVersion(1, 4, policyText("older")), Text: policyText("older")}
	c := newFloorClaim(filepath.Join(dir, "floors-p1"), "p1")
	err := errors.Join(k.textFile.Save(older), k.save(one), k.save(two), c.save(9, frozenFloors(), always))
	if err != nil {
		t.Fatal(err)
	}
}

// frozenFiles gives a copy of them.
func frozenFiles(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(frozenDir)); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestFrozenFilesAreWrittenTheSame(t *testing.T) {
	if os.Getenv("FREEZE_KEPT") != "" {
		if err := os.MkdirAll(frozenDir, 0o700); err != nil {
			t.Fatal(err)
		}
		writeFrozenFiles(t, frozenDir)
	}
	dir := t.TempDir()
	writeFrozenFiles(t, dir)
	for _, name := range []string{"floors-p1", "pieces-p1", "policy-p1"} {
		want, err := os.ReadFile(filepath.Join(frozenDir, name))
		if err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s, %v: %q, want %q", name, err, got, want)
		}
	}
}

func TestGoOnFromFrozenFloors(t *testing.T) {
	c := newFloorClaim(filepath.Join(frozenFiles(t), "floors-p1"), "p1")
	version, floors, err := c.load()
	if err != nil || version != 9 || !reflect.DeepEqual(floors, frozenFloors()) {
		t.Fatalf("%d, %+v, %v", version, floors, err)
	}
	held, err := c.tryLock()
	if err != nil || !held {
		t.Fatalf("the lock beside the kept floors was not taken: %v, %v", held, err)
	}
	defer c.release()
	delete(floors, "held")
	for version, want := range []uint64{9, 10} { // 9 is kept already
		if err := c.save(uint64(version)+9, floors, always); err != nil {
			t.Fatal(err)
		}
		if got, _, err := c.load(); err != nil || got != want {
			t.Errorf("%d, %v; want %d", got, err, want)
		}
	}
	if _, got, _ := c.load(); !reflect.DeepEqual(got, floors) {
		t.Errorf("%+v", got)
	}
}

func TestGoOnFromFrozenPolicy(t *testing.T) {
	dir := frozenFiles(t)
	_, two := frozenContents(t)
	k := newPolicyStore(dir, "p1")
	got, loose, err := k.load()
	want := rollout.Version{Generation: 1, Epoch: 6, Hash: two.hash}
	if err != nil || len(loose) > 0 || got.offer != want || got.hash != two.hash {
		t.Fatalf("%+v, %d loose, %v", got, len(loose), err)
	}
	sameItem := func(a, b merkle.Item) bool { return a.Key == b.Key && bytes.Equal(a.Value, b.Value) }
	if !slices.EqualFunc(slices.Collect(got.tree.Items()), slices.Collect(two.tree.Items()), sameItem) {
		t.Fatalf("the content is %v", slices.Collect(got.tree.Items()))
	}
	text := policyText("three")
	three, err := contentFromText(textVersion(2, 3, text), text)
	if err != nil {
		t.Fatal(err)
	}
	before := k.journal.Size()
	if err := k.save(three); err != nil || k.journal.Size() <= before {
		t.Fatalf("%v: %d bytes after %d", err, k.journal.Size(), before)
	}
	got, _, err = newPolicyStore(dir, "p1").load()
	if err != nil || got.offer != three.offer || got.tree.Root() != three.tree.Root() {
		t.Errorf("%+v, %v", got, err)
	}
}

// Earlier releases kept a text.
func TestGoOnFromFrozenText(t *testing.T) {
	dir := frozenFiles(t)
	if err := os.Remove(filepath.Join(dir, "pieces-p1")); err != nil {
		t.Fatal(err)
	}
	p := NewPolicyClient(testConfig(dir), acceptAll)
	p.Restore()
	want := textVersion(1, 4, policyText("older"))
	if current := p.Current(); current.Offer != want || current.Policy.Hash() != want.Hash {
		t.Errorf("%+v, want %+v", current, want)
	}
	older := durable.File{Path: filepath.Join(dir, "policy-p1"), Kind: "lapisspread-policy", Version: 1}
	var kept struct {
		Offer struct {
			Order, Epoch uint64
			Hash         string
		}
		Text []byte
	}
	if err := older.Load(&kept); err != nil {
		t.Fatal(err)
	}
	if kept.Offer.Order != 1 || kept.Offer.Epoch != 4 || !bytes.Equal(kept.Text, policyText("older")) {
		t.Errorf("%+v", kept)
	}
	if _, err := os.Stat(filepath.Join(dir, "pieces-p1")); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
}
