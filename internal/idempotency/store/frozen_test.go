package store

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"lapisspread/internal/idempotency"
)

var writeFrozen = flag.Bool("write-frozen", false, "write the files under testdata instead of reading them")

// The files under testdata were written by the program of c8fad44 with
// go test ./internal/effects/store -run TestFrozenLedger -write-frozen
// A file of an older version is read, and further writes continue it.
func TestFrozenLedger(t *testing.T) {
	const kept = "testdata/ledger"
	began := time.Unix(1_735_689_600, 0)
	endedKey := idempotency.Key{Origin: "a.example", ID: 7}
	ended := idempotency.Record{Key: endedKey, Completed: true, Answer: []byte("paid")}
	lostKey := idempotency.Key{Origin: "b.example", ID: 1 << 31}
	lost := idempotency.Record{Key: lostKey, Uncertain: true, Answer: []byte{}}
	intent := idempotency.Record{Key: idempotency.Key{Origin: "c.example", ID: 9}}
	if *writeFrozen {
		now := func() time.Time { return began }
		s, _, err := Open(kept, Options{Window: window, UncertainWindow: uncertain, Now: now})
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range []idempotency.Record{ended, lost, intent} {
			if err := s.Write(t.Context(), r); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "ledger")
	for _, suffix := range []string{"", ".seq"} {
		text, err := os.ReadFile(kept + suffix)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path+suffix, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	later := func() time.Time { return began.Add(time.Minute) }
	s, records, err := Open(path, Options{Window: window, UncertainWindow: uncertain, Now: later})
	if err != nil {
		t.Fatal(err)
	}
	// A request whose process died with the intent on disk may have run.
	unfinished := idempotency.Record{Key: intent.Key, Uncertain: true, Answer: []byte{}}
	if want := []idempotency.Record{unfinished, ended, lost}; !reflect.DeepEqual(records, want) {
		t.Errorf("got %+v\nwant %+v", records, want)
	}
	if !s.LostAt().Equal(began) {
		t.Errorf("entries were lost at %v, want %v", s.LostAt(), began)
	}
	if s.sequence != 5 {
		t.Errorf("transaction %d, want 5", s.sequence)
	}
	next := idempotency.Record{Key: intent.Key, Completed: true, Answer: []byte("late")}
	if err := s.Write(t.Context(), next); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, records, err = Open(path, Options{Window: window, UncertainWindow: uncertain, Now: later})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	if want := []idempotency.Record{ended, next, lost}; !reflect.DeepEqual(records, want) {
		t.Errorf("after a write: %+v\nwant %+v", records, want)
	}
}
