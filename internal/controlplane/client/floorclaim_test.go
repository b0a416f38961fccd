package client

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"lapisspread/internal/quotalease"
)

func TestFloorClaimIsExclusive(t *testing.T) {
	path := filepath.Join(t.TempDir(), "floors-p1")
	first, second := newFloorClaim(path, "p1"), newFloorClaim(path, "p1")
	if ok, err := first.tryLock(); !ok || err != nil {
		t.Fatalf("a free lock was not taken: %v, %v", ok, err)
	}
	var claimed quotalease.FloorClaimedError
	if ok, err := second.tryLock(); ok || !errors.As(err, &claimed) {
		t.Fatalf("a held lock was taken or gives another error: %v, %v", ok, err)
	}
	floor := quotalease.Floor{Kind: quotalease.Rate, Amount: quotalease.Unit, Burst: quotalease.Unit}
	floors := map[string]quotalease.Floor{"all": floor}
	if err := errors.Join(first.save(2, floors, always), first.save(1, nil, always)); err != nil {
		t.Fatal(err)
	}
	first.release()
	if ok, err := second.tryLock(); !ok || err != nil {
		t.Fatalf("a released lock was not taken: %v, %v", ok, err)
	}
	defer second.release()
	if version, loaded, err := second.load(); version != 2 || loaded["all"] != floor || err != nil {
		t.Errorf("an older save went over a newer: %d, %v, %v", version, loaded, err)
	}
	err := second.save(3, nil, func() bool { return false })
	if !errors.As(err, &FloorsNotPersistedError{}) {
		t.Errorf("a worker that was given up saves: %v", err)
	}
	if err := os.WriteFile(path, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, loaded, err := second.load(); len(loaded) > 0 || !errors.As(err, &FloorsNotPersistedError{}) {
		t.Errorf("damaged: %v, %v", loaded, err)
	}
}
