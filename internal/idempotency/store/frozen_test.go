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
// The next process reads what one of an older version has written down, and goes on from there.
func TestFrozenLedger(t *testing.T) {
	const kept = "testdata/ledger"
	began := time.Unix(1_735_689_600, 0)
	ended := idempotency.Record{Key: idempotency.Key{Origin: "a.example", ID: 7}, Completed: true, Answer: []byte("paid")}
	lost := idempotency.Record{Key: idempotency.Key{Origin: "b.example", ID: 1 << 31}, Uncertain: true, Answer: []byte{}}
	intent := idempotency.Record{Key: idempotency.Key{Origin: "c.example", ID: 9}}
	if *writeFrozen {
		s, _, err := Open(kept, Options{Window: window, UncertainWindow: uncertain, Now: func() time.Time { return began }})
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
	// An intent of a process that has ended may have run.
	unfinished := idempotency.Record{Key: intent.Key, Uncertain: true, Answer: []byte{}}
	if want := []idempotency.Record{unfinished, ended, lost}; !reflect.DeepEqual(records, want) {
		t.Errorf("got %+v\nwant %+v", records, want)
	}
	if !s.LostAt().Equal(began) {
		t.Errorf("it lacked something at %v, want %v", s.LostAt(), began)
	}
	if s.seq != 5 {
		t.Errorf("transaction %d, want 5", s.seq)
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
	defer s.Close()
	if want := []idempotency.Record{ended, next, lost}; !reflect.DeepEqual(records, want) {
		t.Errorf("after a write: %+v\nwant %+v", records, want)
	}
}
