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

var writeFrozen = flag.Bool("write-frozen", false, "write the files under testdata before reading them")

// A file of an older version must be readable, and further writes must be added to it. The files under testdata were
// written by commit c8fad44, in which this package was internal/effects/store, with
// go test ./internal/effects/store -run TestFrozenLedger -write-frozen
func TestFrozenLedger(t *testing.T) {
	const frozenPath = "testdata/ledger"
	writtenAt := time.Unix(1_735_689_600, 0)
	completedKey := idempotency.Key{Origin: "a.example", ID: 7}
	completed := idempotency.Record{Key: completedKey, Completed: true, Answer: []byte("paid")}
	uncertainKey := idempotency.Key{Origin: "b.example", ID: 1 << 31}
	uncertainRecord := idempotency.Record{Key: uncertainKey, Uncertain: true, Answer: []byte{}}
	intent := idempotency.Record{Key: idempotency.Key{Origin: "c.example", ID: 9}}
	if *writeFrozen {
		now := func() time.Time { return writtenAt }
		s, _, err := Open(frozenPath, Options{Window: window, UncertainWindow: uncertainWindow, Now: now})
		if err != nil {
			t.Fatalf("Open(%s) to write it: %v", frozenPath, err)
		}
		for _, r := range []idempotency.Record{completed, uncertainRecord, intent} {
			if err := s.Write(t.Context(), r); err != nil {
				t.Fatalf("Write(%+v): %v", r, err)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatalf("Close after writing %s: %v", frozenPath, err)
		}
	}
	path := filepath.Join(t.TempDir(), "ledger")
	for _, suffix := range []string{"", ".seq"} {
		content, err := os.ReadFile(frozenPath + suffix)
		if err != nil {
			t.Fatalf("reading the stored ledger: %v", err)
		}
		if err := os.WriteFile(path+suffix, content, 0o600); err != nil {
			t.Fatalf("copying the stored ledger: %v", err)
		}
	}
	later := func() time.Time { return writtenAt.Add(time.Minute) }
	s, records, err := Open(path, Options{Window: window, UncertainWindow: uncertainWindow, Now: later})
	if err != nil {
		t.Fatalf("Open of a copy of %s: %v", frozenPath, err)
	}
	// A request of which only the intent is on disk may have run.
	unfinished := idempotency.Record{Key: intent.Key, Uncertain: true, Answer: []byte{}}
	if want := []idempotency.Record{unfinished, completed, uncertainRecord}; !reflect.DeepEqual(records, want) {
		t.Errorf("Open of a copy of %s returned the records\n%+v, want\n%+v", frozenPath, records, want)
	}
	if !s.LostAt().Equal(writtenAt) {
		t.Errorf("LostAt = %v, want %v, when the file was created", s.LostAt(), writtenAt)
	}
	if s.sequence != 5 { // one transaction for each of the two calls of Open and the three of Write
		t.Errorf("number of the last transaction after Open = %d, want 5", s.sequence)
	}
	next := idempotency.Record{Key: intent.Key, Completed: true, Answer: []byte("late")}
	if err := s.Write(t.Context(), next); err != nil {
		t.Fatalf("Write(%+v): %v", next, err)
	}
	if err := s.Close(); err != nil {
		t.Fatalf("Close: %v", err)
	}
	s, records, err = Open(path, Options{Window: window, UncertainWindow: uncertainWindow, Now: later})
	if err != nil {
		t.Fatalf("Open after Write and Close: %v", err)
	}
	defer func() { _ = s.Close() }()
	if want := []idempotency.Record{completed, next, uncertainRecord}; !reflect.DeepEqual(records, want) {
		t.Errorf("Open after Write and Close returned the records\n%+v, want\n%+v", records, want)
	}
}
