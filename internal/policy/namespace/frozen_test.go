package namespace

import (
	"bytes"
	"os"
	"testing"
)

// frozenPolicy was written by the program of c8fad44: UPDATE_FROZEN=1 go test ./internal/namespace -run Frozen
const frozenPolicy = "testdata/example.json"

// The policy of the example has the encoding, the hash and the tree of pieces that the program of c8fad44 gives it: what is stored and
// sent goes by them.
func TestFrozenPolicyKeepsItsBytes(t *testing.T) {
	charter, texts := shipped(t)
	var all []*File
	for _, name := range []string{"dispatch", "settlement", "booking-desks"} {
		all = append(all, parse(t, texts[name]))
	}
	out := Merge(charter, nil, all)
	text := out.Policy.Encode()
	if os.Getenv("UPDATE_FROZEN") != "" {
		if err := os.WriteFile(frozenPolicy, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	kept, err := os.ReadFile(frozenPolicy)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, kept) {
		t.Errorf("it is written\n%s, was\n%s", text, kept)
	}
	read, err := Decode(kept)
	if err != nil {
		t.Fatal(err)
	}
	if got := read.Hash(); got != "cc86c7aed4099201fea23407db5a523bef087968c85a4f1e2fd0258bebad110d" || out.Hash != got {
		t.Errorf("hash %s, %s", got, out.Hash)
	}
	tree, err := read.Tree()
	if err != nil {
		t.Fatal(err)
	}
	if got := tree.Root().String(); got != "bd98ea1026e3e53f4c01649528b894b01abb0745c71b2c65dc61978f3406d895" {
		t.Errorf("root %s", got)
	}
	again, err := FromTree(tree)
	if err != nil || !bytes.Equal(again.Encode(), kept) {
		t.Errorf("from its pieces: %v, %s", err, again.Encode())
	}
}
