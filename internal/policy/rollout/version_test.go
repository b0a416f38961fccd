package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"lapisspread/internal/operatorerror"
)

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// playCurrentVersion offers versions late, repeated, in any order, damaged, and from servers that number apart. It
// returns what is wrong.
func playCurrentVersion(rng interface{ IntN(int) int }, mutations mutation) string {
	h := &CurrentVersion{mutations: mutations}
	contents := map[[2]uint64]string{}
	for range 60 {
		before := h.Version()
		text := fmt.Sprint("policy ", rng.IntN(2))
		o := Version{uint64(rng.IntN(3)), uint64(1 + rng.IntN(6)), hashOf(text)}
		sent := text
		if rng.IntN(4) == 0 {
			sent = text[:rng.IntN(len(text))]
		}
		err := h.AdoptText(o, []byte(sent))
		has := h.Version()
		at := [2]uint64{has.Generation, has.Epoch}
		switch {
		case has.Generation < before.Generation || has.Generation == before.Generation && has.Epoch < before.Epoch:
			return fmt.Sprintf("from %+v back to %+v", before, has)
		case contents[at] != "" && contents[at] != has.Hash:
			return fmt.Sprintf("epoch %d changed its content", has.Epoch)
		case err == nil && o != before && hashOf(sent) != o.Hash:
			return "a damaged policy was adopted"
		case err != nil && has != before:
			return "a rejected version changed something"
		case err != nil && operatorerror.AdviceOf(err) == "":
			return "an error without advice"
		case at == [2]uint64{o.Generation, o.Epoch} && o.Hash != has.Hash && !errors.As(err, new(EpochConflictError)):
			return "one epoch, two contents, and no error"
		case err != nil && o.NewerThan(before) && sent == text:
			return "a newer version was rejected"
		}
		contents[at] = has.Hash
	}
	return ""
}

func TestProxyNeverGoesBack(t *testing.T) {
	for i := range uint64(300) {
		if wrong := playCurrentVersion(rand.New(rand.NewPCG(i, 3)), 0); wrong != "" {
			t.Fatalf("seed %d: %s", i, wrong)
		}
	}
}
