package client

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"lapisspread/internal/quotalease"
)

// Only one claim at a time holds the lock of a proxy name. An older version of the floors does not replace a newer one,
// a replaced worker cannot write them, and a corrupt file is reported.
func TestFloorClaimIsExclusive(t *testing.T) {
	path := filepath.Join(t.TempDir(), "floors-p1")
	first, second := newFloorClaim(path, "p1"), newFloorClaim(path, "p1")
	if ok, err := first.tryLock(); !ok || err != nil {
		t.Fatalf("tryLock() of a free lock = %v, %v; want true, nil", ok, err)
	}
	var claimed quotalease.FloorClaimedError
	if ok, err := second.tryLock(); ok || !errors.As(err, &claimed) {
		t.Fatalf("tryLock() of a lock held by another claim = %v, %v; want false, FloorClaimedError", ok, err)
	}
	floor := quotalease.Floor{Kind: quotalease.Rate, Amount: quotalease.Unit, Burst: quotalease.Unit}
	floors := map[string]quotalease.Floor{"all": floor}
	if err := errors.Join(first.save(2, floors, always), first.save(1, nil, always)); err != nil {
		t.Fatalf("save(version 2), then save(version 1) = %v, want nil", err)
	}
	first.release()
	if ok, err := second.tryLock(); !ok || err != nil {
		t.Fatalf("tryLock() of a released lock = %v, %v; want true, nil", ok, err)
	}
	defer second.release()
	if version, loaded, err := second.load(); version != 2 || loaded["all"] != floor || err != nil {
		t.Errorf("load() after saving version 2, then 1 = version %d, floors %v, error %v; "+
			"want version 2, floors %v, nil", version, loaded, err, floors)
	}
	err := second.save(3, nil, func() bool { return false })
	if !errors.As(err, &FloorsNotPersistedError{}) {
		t.Errorf("save() by a replaced worker = %v, want FloorsNotPersistedError", err)
	}
	if err := os.WriteFile(path, []byte("damaged"), 0o600); err != nil {
		t.Fatalf("writing a corrupt floors file: %v", err)
	}
	if _, loaded, err := second.load(); len(loaded) > 0 || !errors.As(err, &FloorsNotPersistedError{}) {
		t.Errorf("load() of a corrupt file = floors %v, error %v; want no floors, FloorsNotPersistedError", loaded, err)
	}
}
