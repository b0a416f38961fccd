package rollout

import (
	"encoding/hex"
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// The encodings of a Version in stored data and messages are those of the program at commit c8fad44.
func TestFrozenVersionKeepsItsBytes(t *testing.T) {
	const storedJSON, storedCBOR = `{"Order":1,"Epoch":2,"Hash":"ab"}`, "a3654f72646572016545706f6368026448617368626162"
	want := Version{Generation: 1, Epoch: 2, Hash: "ab"}
	if text, err := json.Marshal(want); err != nil || string(text) != storedJSON {
		t.Errorf("json.Marshal(%+v) = %s, %v; want %s", want, text, err, storedJSON)
	}
	if text, err := cbor.Marshal(want); err != nil || hex.EncodeToString(text) != storedCBOR {
		t.Errorf("cbor.Marshal(%+v) = %x, %v; want %s", want, text, err, storedCBOR)
	}
	var got Version
	if err := json.Unmarshal([]byte(storedJSON), &got); err != nil || got != want {
		t.Errorf("json.Unmarshal(%s) = %+v, %v; want %+v", storedJSON, got, err, want)
	}
	text, err := hex.DecodeString(storedCBOR)
	if err != nil {
		t.Fatalf("hex.DecodeString(%s) failed: %v", storedCBOR, err)
	}
	got = Version{}
	if err := cbor.Unmarshal(text, &got); err != nil || got != want {
		t.Errorf("cbor.Unmarshal(%s) = %+v, %v; want %+v", storedCBOR, got, err, want)
	}
}
