package rollout

import (
	"encoding/hex"
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Versions are stored and sent as the program of c8fad44 wrote them.
func TestFrozenVersionKeepsItsBytes(t *testing.T) {
	const inJSON, inCBOR = `{"Order":1,"Epoch":2,"Hash":"ab"}`, "a3654f72646572016545706f6368026448617368626162"
	want := Version{Generation: 1, Epoch: 2, Hash: "ab"}
	if text, err := json.Marshal(want); err != nil || string(text) != inJSON {
		t.Errorf("JSON: %s, %v", text, err)
	}
	if text, err := cbor.Marshal(want); err != nil || hex.EncodeToString(text) != inCBOR {
		t.Errorf("CBOR: %x, %v", text, err)
	}
	var got Version
	if err := json.Unmarshal([]byte(inJSON), &got); err != nil || got != want {
		t.Errorf("JSON: read %+v, %v", got, err)
	}
	text, err := hex.DecodeString(inCBOR)
	if err != nil {
		t.Fatal(err)
	}
	got = Version{}
	if err := cbor.Unmarshal(text, &got); err != nil || got != want {
		t.Errorf("CBOR: read %+v, %v", got, err)
	}
}
