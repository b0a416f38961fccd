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

// hashOf returns the SHA-256 of a text in hexadecimal.
func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// checkCurrentVersion offers versions to a proxy that are late, repeated, out of order, damaged, or from servers that
// number policies independently. It returns a description of the first violated rule, or "" if there is none.
func checkCurrentVersion(rng interface{ IntN(int) int }, mutations mutation) string {
	current := &CurrentVersion{mutations: mutations}
	hashes := map[[2]uint64]string{} // of adopted versions, by generation and epoch
	for range 60 {
		before := current.Version()
		text := fmt.Sprint("policy ", rng.IntN(2))
		offered := Version{uint64(rng.IntN(3)), uint64(1 + rng.IntN(6)), hashOf(text)}
		sent := text
		if rng.IntN(4) == 0 {
			sent = text[:rng.IntN(len(text))]
		}
		err := current.AdoptText(offered, []byte(sent))
		after := current.Version()
		key := [2]uint64{after.Generation, after.Epoch}
		switch {
		case after.Generation < before.Generation,
			after.Generation == before.Generation && after.Epoch < before.Epoch:
			return fmt.Sprintf("AdoptText(%+v) changed the version from %+v back to %+v", offered, before, after)
		case hashes[key] != "" && hashes[key] != after.Hash:
			return fmt.Sprintf("AdoptText(%+v) changed the hash of epoch %d from %s", offered, after.Epoch, hashes[key])
		case err == nil && offered != before && hashOf(sent) != offered.Hash:
			return fmt.Sprintf("AdoptText(%+v, %q) adopted a damaged policy", offered, sent)
		case err != nil && after != before:
			return fmt.Sprintf("AdoptText(%+v) failed with %v but changed the version to %+v", offered, err, after)
		case err != nil && operatorerror.AdviceOf(err) == "":
			return fmt.Sprintf("AdoptText(%+v) returned error %v without advice", offered, err)
		case key == [2]uint64{offered.Generation, offered.Epoch} && offered.Hash != after.Hash &&
			!errors.As(err, new(EpochConflictError)):
			return fmt.Sprintf("AdoptText(%+v) with another hash than current %+v returned %v, want EpochConflictError",
				offered, after, err)
		case err != nil && offered.NewerThan(before) && sent == text:
			return fmt.Sprintf("AdoptText(%+v) rejected a version newer than %+v: %v", offered, before, err)
		}
		hashes[key] = after.Hash
	}
	return ""
}

// A proxy never returns to an older version, whatever versions it is offered, unless the generation rises.
func TestProxyNeverGoesBack(t *testing.T) {
	for seed := range uint64(300) {
		if violation := checkCurrentVersion(rand.New(rand.NewPCG(seed, 3)), 0); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}
