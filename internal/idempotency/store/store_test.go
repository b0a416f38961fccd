package store

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lapisspread/internal/idempotency"
)

const (
	window          = idempotency.MinWindow
	uncertainWindow = time.Hour
)

// open opens a store that is closed when the test ends, and returns its records by key.
func open(t testing.TB, path string, now func() time.Time) (*Store, map[idempotency.Key]idempotency.Record) {
	t.Helper()
	s, records, err := Open(path, Options{Window: window, UncertainWindow: uncertainWindow, Now: now})
	if err != nil {
		t.Fatalf("Open(%s): %v", path, err)
	}
	t.Cleanup(func() { mustClose(t, s) })
	byKey := map[idempotency.Key]idempotency.Record{}
	for _, r := range records {
		byKey[r.Key] = r
	}
	return s, byKey
}

func mustClose(t testing.TB, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Errorf("Close: %v", err)
	}
}

func TestRecordsSurviveReopening(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects")
	ctx := t.Context()
	clock := time.Unix(1_800_000_000, 0)
	now := func() time.Time { return clock }
	s, _ := open(t, path, now)
	completedKey := idempotency.Key{Origin: "a", ID: 1}
	intentKey := idempotency.Key{Origin: "a", ID: 2}
	deletedKey := idempotency.Key{Origin: "b\x00c", ID: 1}
	uncertainKey := idempotency.Key{Origin: "y", ID: 9}
	for _, r := range []idempotency.Record{
		{Key: completedKey},
		{Key: intentKey},
		{Key: completedKey, Completed: true, Answer: []byte("paid")},
		{Key: deletedKey},
	} {
		if err := s.Write(ctx, r); err != nil {
			t.Fatalf("Write(%+v): %v", r, err)
		}
	}
	if err := s.Delete(ctx, deletedKey); err != nil {
		t.Fatalf("Delete(%v): %v", deletedKey, err)
	}
	if _, _, err := Open(path, Options{Window: window}); err == nil {
		t.Error("Open of a file that another store has open: error nil, want an error")
	}
	if err := s.Close(); err != nil {
		t.Fatalf("Close: %v", err)
	}
	if err := s.Write(ctx, idempotency.Record{Key: completedKey}); !errors.Is(err, ErrClosed) {
		t.Errorf("Write after Close = %v, want %v", err, ErrClosed)
	}
	s, byKey := open(t, path, now)
	completed := byKey[completedKey]
	if len(byKey) != 2 || !completed.Completed || string(completed.Answer) != "paid" || byKey[intentKey].Completed {
		t.Errorf("records after reopening: %+v, want %v completed with \"paid\", and %v not completed",
			byKey, completedKey, intentKey)
	}
	// The window of completedKey has passed. The uncertain window of intentKey started when Open found its intent.
	clock = clock.Add(window + time.Second)
	if err := s.Write(ctx, idempotency.Record{Key: idempotency.Key{Origin: "z", ID: 9}}); err != nil {
		t.Fatalf("Write one window later: %v", err)
	}
	mustClose(t, s)
	s, byKey = open(t, path, now)
	if len(byKey) != 2 || byKey[completedKey].Completed || !byKey[intentKey].Uncertain {
		t.Errorf("records one window later: %+v, want %v uncertain, the intent z, and not %v",
			byKey, intentKey, completedKey)
	}
	clock = clock.Add(uncertainWindow + time.Second)
	if err := s.Write(ctx, idempotency.Record{Key: uncertainKey, Uncertain: true}); err != nil {
		t.Fatalf("Write after the uncertain window: %v", err)
	}
	mustClose(t, s)
	if _, byKey = open(t, path, now); len(byKey) != 1 || !byKey[uncertainKey].Uncertain {
		t.Errorf("records after the uncertain window: %+v, want only %v uncertain", byKey, uncertainKey)
	}
}

func TestOpenRejectsOtherFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects")
	if err := os.WriteFile(path, []byte(strings.Repeat("no database ", 2000)), 0o600); err != nil {
		t.Fatalf("writing a file that is not a database: %v", err)
	}
	if _, _, err := Open(path, Options{Window: window}); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("Open of a file that is not a database: error %v, want one that contains the path %s", err, path)
	}
}

// Write returns an error when the disk is full, and earlier records stay readable.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects")
	s, _ := open(t, path, nil)
	k := idempotency.Key{Origin: "a", ID: 1}
	if err := s.Write(t.Context(), idempotency.Record{Key: k}); err != nil {
		t.Fatalf("Write(%v) before the disk is full: %v", k, err)
	}
	if size, err := s.Size(); err != nil || size == 0 {
		t.Errorf("Size = %d, %v, want more than 0 and no error", size, err)
	}
	s.db.MaxSize = 64 << 10 // simulates a full disk
	var writeErr error
	for i := uint32(2); i < 2000 && writeErr == nil; i++ {
		writeErr = s.Write(t.Context(), idempotency.Record{
			Key:       idempotency.Key{Origin: "a", ID: i},
			Completed: true,
			Answer:    make([]byte, 4000),
		})
	}
	if writeErr == nil {
		t.Fatal("Write to a full disk = nil, want an error")
	}
	mustClose(t, s)
	if _, byKey := open(t, path, nil); byKey[k].Key != k {
		t.Errorf("the record of %v, written before the disk was full, is missing after reopening", k)
	}
}

// Concurrent calls of Write share transactions.
func TestGroupCommit(t *testing.T) {
	s, _ := open(t, filepath.Join(t.TempDir(), "effects"), nil)
	var wg sync.WaitGroup
	for i := range uint32(400) {
		wg.Go(func() {
			if err := s.Write(t.Context(), idempotency.Record{Key: idempotency.Key{Origin: "a", ID: i}}); err != nil {
				t.Errorf("Write of record %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	if n := s.Commits(); n > 200 {
		t.Errorf("Commits = %d transactions after 400 concurrent calls of Write, want at most 200", n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := s.Write(ctx, idempotency.Record{Key: idempotency.Key{Origin: "a", ID: 1}})
	if err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("Write with a canceled context = %v, want nil or %v", err, context.Canceled)
	}
}

// killRounds returns how many times TestKills kills its child process. A run with more kills:
// EFFECTS_KILLS=200 go test ./internal/idempotency/store -run Kills
func killRounds() int {
	if n, err := strconv.Atoi(os.Getenv("EFFECTS_KILLS")); err == nil {
		return n
	}
	return 12
}

// If a process is killed at any time, all records that Write confirmed are on disk, and Admit does not begin their
// requests again. The test kills a child process, which runs writeRecords, at random times.
func TestKills(t *testing.T) {
	if path := os.Getenv("EFFECTS_CHILD"); path != "" {
		writeRecords(path)
		return
	}
	rng := rand.New(rand.NewPCG(11, 12))
	path := filepath.Join(t.TempDir(), "effects")
	confirmed := map[idempotency.Key]string{} // "intent" or the answer, by request
	for round := range killRounds() {
		child := exec.Command(os.Args[0], "-test.run=^TestKills$")
		child.Env = append(os.Environ(), "EFFECTS_CHILD="+path, "EFFECTS_ROUND="+strconv.Itoa(round))
		stdout, err := child.StdoutPipe()
		if err != nil {
			t.Fatalf("round %d: pipe for the child's output: %v", round, err)
		}
		if err := child.Start(); err != nil {
			t.Fatalf("round %d: starting the child process: %v", round, err)
		}
		lines := bufio.NewScanner(stdout)
		killAfter := 1 + rng.IntN(300) // lines of output
		for n := 0; lines.Scan(); n++ {
			if n == killAfter {
				if err := child.Process.Kill(); err != nil {
					t.Errorf("round %d: killing the child process: %v", round, err)
				}
			}
			var id uint32
			var intentOrAnswer string
			if _, err := fmt.Sscanf(lines.Text(), "confirmed %d %s", &id, &intentOrAnswer); err == nil {
				confirmed[idempotency.Key{Origin: "a", ID: id}] = intentOrAnswer
			}
		}
		_ = child.Wait() // returns an error, because the child was killed
		s, records, err := Open(path, Options{Window: window})
		if err != nil {
			t.Fatalf("round %d: Open after the kill: %v", round, err)
		}
		l, err := idempotency.New(idempotency.Settings{
			Window:          window,
			UncertainWindow: window,
			MaxEntries:      1 << 20,
			MaxBytes:        1 << 24,
			LostAt:          -1,
		})
		if err != nil {
			t.Fatalf("round %d: idempotency.New: %v", round, err)
		}
		if err := l.Restore(0, records); err != nil {
			t.Fatalf("round %d: Restore of %d records: %v", round, len(records), err)
		}
		for k, intentOrAnswer := range confirmed {
			v, answer := l.Admit(time.Second, k, false)
			switch {
			case v == idempotency.Begin:
				t.Fatalf("round %d: Admit(%v) = begin, but %q of this request was confirmed", round, k, intentOrAnswer)
			case intentOrAnswer != "intent" && (v != idempotency.Answered || string(answer) != intentOrAnswer):
				t.Fatalf("round %d: Admit(%v) = %v with answer %q, want answered with %q",
					round, k, v, answer, intentOrAnswer)
			}
		}
		mustClose(t, s)
	}
	if len(confirmed) < 20*killRounds() {
		t.Errorf("%d requests were confirmed in %d rounds, want at least 20 a round: the child was killed too early",
			len(confirmed), killRounds())
	}
}

// writeRecords runs in the child process of TestKills. Its goroutines write the intents and answers of requests, and
// print each record once Write has confirmed it.
func writeRecords(path string) {
	s, _, err := Open(path, Options{Window: window})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	round, _ := strconv.Atoi(os.Getenv("EFFECTS_ROUND"))
	var mu sync.Mutex
	printConfirmed := func(id uint32, intentOrAnswer string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf("confirmed %d %s\n", id, intentOrAnswer)
	}
	for g := range uint32(16) {
		go func() {
			for i := uint32(0); ; i++ {
				id := uint32(round)<<20 | g<<14 | i
				k := idempotency.Key{Origin: "a", ID: id}
				if s.Write(context.Background(), idempotency.Record{Key: k}) != nil {
					return
				}
				printConfirmed(id, "intent")
				answer := fmt.Sprint("paid-", id)
				r := idempotency.Record{Key: k, Completed: true, Answer: []byte(answer)}
				if s.Write(context.Background(), r) != nil {
					return
				}
				printConfirmed(id, answer)
			}
		}()
	}
	time.Sleep(20 * time.Second) // the child exits after this time if it is not killed
}

// BenchmarkClaim measures the writes for one request: its intent, and then its answer.
func BenchmarkClaim(b *testing.B) {
	for _, writers := range []int{1, 64} {
		b.Run(fmt.Sprint(writers, " concurrent writers"), func(b *testing.B) {
			s, _ := open(b, filepath.Join(b.TempDir(), "effects"), nil)
			var wg sync.WaitGroup
			for g := range writers {
				wg.Go(func() {
					for i := range b.N/writers + 1 {
						k := idempotency.Key{Origin: "a", ID: uint32(g)<<24 | uint32(i)}
						if err := s.Write(context.Background(), idempotency.Record{Key: k}); err != nil {
							b.Errorf("Write of the intent of %v: %v", k, err)
						}
						completed := idempotency.Record{Key: k, Completed: true, Answer: make([]byte, 180)}
						if err := s.Write(context.Background(), completed); err != nil {
							b.Errorf("Write of the answer of %v: %v", k, err)
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// BenchmarkRecovery measures Open of a file with many completed requests, as when a process starts:
// EFFECTS_ENTRIES=1000000 go test -run - -bench Recovery -benchtime 3x ./internal/idempotency/store
func BenchmarkRecovery(b *testing.B) {
	entries := 20_000
	if n, err := strconv.Atoi(os.Getenv("EFFECTS_ENTRIES")); err == nil {
		entries = n
	}
	path := filepath.Join(b.TempDir(), "effects")
	s, _, err := Open(path, Options{Window: time.Hour})
	if err != nil {
		b.Fatalf("Open of a new file: %v", err)
	}
	answer := make([]byte, 280) // about the length of the answer to a payout claim
	startedAt := time.Now()
	var wg sync.WaitGroup
	const writers = 512
	for w := range writers {
		wg.Go(func() {
			for i := w; i < entries; i += writers {
				key := idempotency.Key{Origin: "claims.partner.example", ID: uint32(i)}
				err := s.Write(b.Context(), idempotency.Record{Key: key, Completed: true, Answer: answer})
				if err != nil {
					b.Errorf("Write of record %d: %v", i, err)
					return
				}
			}
		})
	}
	wg.Wait()
	writeTime := time.Since(startedAt)
	size, err := s.Size()
	if err != nil {
		b.Fatalf("Size: %v", err)
	}
	if err := s.Close(); err != nil {
		b.Fatalf("Close: %v", err)
	}
	for b.Loop() {
		s, records, err := Open(path, Options{Window: time.Hour})
		if err != nil || len(records) != entries {
			b.Fatalf("Open = %d records, error %v, want %d records", len(records), err, entries)
		}
		mustClose(b, s)
	}
	b.ReportMetric(float64(size)/float64(entries), "disk-B/entry")
	b.ReportMetric(float64(entries)/writeTime.Seconds(), "writes/s")
	b.ReportMetric(float64(entries), "entries")
}
