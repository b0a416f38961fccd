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
	window    = idempotency.MinWindow
	uncertain = time.Hour
)

// open opens a store and returns its records by key.
func open(t testing.TB, path string, now func() time.Time) (*Store, map[idempotency.Key]idempotency.Record) {
	t.Helper()
	s, records, err := Open(path, Options{Window: window, UncertainWindow: uncertain, Now: now})
	if err != nil {
		t.Fatal(err)
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
		t.Error(err)
	}
}

func TestRecordsSurviveReopening(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects")
	ctx := t.Context()
	clock := time.Unix(1_800_000_000, 0)
	now := func() time.Time { return clock }
	s, _ := open(t, path, now)
	a := idempotency.Key{Origin: "a", ID: 1}
	b := idempotency.Key{Origin: "a", ID: 2}
	c := idempotency.Key{Origin: "b\x00c", ID: 1}
	y := idempotency.Key{Origin: "y", ID: 9}
	for _, r := range []idempotency.Record{
		{Key: a},
		{Key: b},
		{Key: a, Completed: true, Answer: []byte("paid")},
		{Key: c},
	} {
		if err := s.Write(ctx, r); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Delete(ctx, c); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, Options{Window: window}); err == nil {
		t.Error("a file that is in use was opened")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := s.Write(ctx, idempotency.Record{Key: a}); !errors.Is(err, ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
	s, byKey := open(t, path, now)
	if len(byKey) != 2 || !byKey[a].Completed || string(byKey[a].Answer) != "paid" || byKey[b].Completed {
		t.Errorf("%+v", byKey)
	}
	// The window of a is over; that of b began when its intent was found.
	clock = clock.Add(window + time.Second)
	if err := s.Write(ctx, idempotency.Record{Key: idempotency.Key{Origin: "z", ID: 9}}); err != nil {
		t.Fatal(err)
	}
	mustClose(t, s)
	s, byKey = open(t, path, now)
	if len(byKey) != 2 || byKey[a].Completed || !byKey[b].Uncertain {
		t.Errorf("one window later: %+v", byKey)
	}
	clock = clock.Add(uncertain + time.Second)
	if err := s.Write(ctx, idempotency.Record{Key: y, Uncertain: true}); err != nil {
		t.Fatal(err)
	}
	mustClose(t, s)
	if _, byKey = open(t, path, now); len(byKey) != 1 || !byKey[y].Uncertain {
		t.Errorf("after the uncertain window: %+v", byKey)
	}
}

func TestOpenRejectsOtherFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects")
	if err := os.WriteFile(path, []byte(strings.Repeat("no database ", 2000)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, Options{Window: window}); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("%v", err)
	}
}

// A full disk is reported to all callers that wait, and earlier records stay.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects")
	s, _ := open(t, path, nil)
	k := idempotency.Key{Origin: "a", ID: 1}
	if err := s.Write(t.Context(), idempotency.Record{Key: k}); err != nil {
		t.Fatal(err)
	}
	if size, err := s.Size(); err != nil || size == 0 {
		t.Errorf("%d bytes, %v", size, err)
	}
	s.db.MaxSize = 64 << 10 // stands in for a full disk
	var failed error
	for i := uint32(2); i < 2000 && failed == nil; i++ {
		failed = s.Write(t.Context(), idempotency.Record{
			Key:       idempotency.Key{Origin: "a", ID: i},
			Completed: true,
			Answer:    make([]byte, 4000),
		})
	}
	if failed == nil {
		t.Fatal("a full disk is not reported")
	}
	mustClose(t, s)
	if _, byKey := open(t, path, nil); byKey[k].Key != k {
		t.Error("an earlier record is missing")
	}
}

// Records that wait together share a transaction.
func TestGroupCommit(t *testing.T) {
	s, _ := open(t, filepath.Join(t.TempDir(), "effects"), nil)
	var all sync.WaitGroup
	for i := range uint32(400) {
		all.Go(func() {
			if err := s.Write(t.Context(), idempotency.Record{Key: idempotency.Key{Origin: "a", ID: i}}); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	if n := s.Commits(); n > 200 {
		t.Errorf("%d transactions for 400 records that waited together", n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := s.Write(ctx, idempotency.Record{Key: idempotency.Key{Origin: "a", ID: 1}})
	if err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("with a canceled context: %v", err)
	}
}

// killRounds is how many kills TestKills makes. A longer trial:
// EFFECTS_KILLS=200 go test ./internal/idempotency/store -run Kills
func killRounds() int {
	if n, err := strconv.Atoi(os.Getenv("EFFECTS_KILLS")); err == nil {
		return n
	}
	return 12
}

// A process that is killed at any moment has on disk all that was confirmed to it, and no claim begins a second time.
func TestKills(t *testing.T) {
	if path := os.Getenv("EFFECTS_CHILD"); path != "" {
		writeClaims(path)
		return
	}
	rng := rand.New(rand.NewPCG(11, 12))
	path := filepath.Join(t.TempDir(), "effects")
	confirmed := map[idempotency.Key]string{} // "intent", or the answer
	for round := range killRounds() {
		c := exec.Command(os.Args[0], "-test.run=^TestKills$")
		c.Env = append(os.Environ(), "EFFECTS_CHILD="+path, "EFFECTS_ROUND="+strconv.Itoa(round))
		out, err := c.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		after := 1 + rng.IntN(300)
		for n := 0; lines.Scan(); n++ {
			if n == after {
				if err := c.Process.Kill(); err != nil {
					t.Error(err)
				}
			}
			var id uint32
			var what string
			if _, err := fmt.Sscanf(lines.Text(), "confirmed %d %s", &id, &what); err == nil {
				confirmed[idempotency.Key{Origin: "a", ID: id}] = what
			}
		}
		_ = c.Wait() // it was killed
		s, records, err := Open(path, Options{Window: window})
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		l, err := idempotency.New(idempotency.Settings{
			Window:          window,
			UncertainWindow: window,
			MaxEntries:      1 << 20,
			MaxBytes:        1 << 24,
			LostAt:          -1,
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Restore(0, records); err != nil {
			t.Fatal(err)
		}
		for k, what := range confirmed {
			v, answer := l.Admit(time.Second, k, false)
			switch {
			case v == idempotency.Begin:
				t.Fatalf("round %d: %v was confirmed as %s, and would begin again", round, k, what)
			case what != "intent" && (v != idempotency.Answered || string(answer) != what):
				t.Fatalf("round %d: %v has the answer %s: %v %q", round, k, what, v, answer)
			}
		}
		mustClose(t, s)
	}
	if len(confirmed) < 20*killRounds() {
		t.Errorf("%d claims in %d rounds: there was nothing to kill", len(confirmed), killRounds())
	}
}

// writeClaims is the child process: many goroutines write claims, and each prints a claim once it is confirmed.
func writeClaims(path string) {
	s, _, err := Open(path, Options{Window: window})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	round, _ := strconv.Atoi(os.Getenv("EFFECTS_ROUND"))
	var mu sync.Mutex
	report := func(id uint32, what string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf("confirmed %d %s\n", id, what)
	}
	for g := range uint32(16) {
		go func() {
			for i := uint32(0); ; i++ {
				id := uint32(round)<<20 | g<<14 | i
				k := idempotency.Key{Origin: "a", ID: id}
				if s.Write(context.Background(), idempotency.Record{Key: k}) != nil {
					return
				}
				report(id, "intent")
				answer := fmt.Sprint("paid-", id)
				r := idempotency.Record{Key: k, Completed: true, Answer: []byte(answer)}
				if s.Write(context.Background(), r) != nil {
					return
				}
				report(id, answer)
			}
		}()
	}
	time.Sleep(20 * time.Second) // it ends by itself if it is not killed
}

func BenchmarkClaim(b *testing.B) {
	for _, writers := range []int{1, 64} {
		b.Run(fmt.Sprint(writers, " at once"), func(b *testing.B) {
			s, _ := open(b, filepath.Join(b.TempDir(), "effects"), nil)
			var all sync.WaitGroup
			for g := range writers {
				all.Go(func() {
					for i := range b.N/writers + 1 {
						k := idempotency.Key{Origin: "a", ID: uint32(g)<<24 | uint32(i)}
						if err := s.Write(context.Background(), idempotency.Record{Key: k}); err != nil {
							b.Error(err)
						}
						completed := idempotency.Record{Key: k, Completed: true, Answer: make([]byte, 180)}
						if err := s.Write(context.Background(), completed); err != nil {
							b.Error(err)
						}
					}
				})
			}
			all.Wait()
		})
	}
}

// BenchmarkRecovery opens a file of many completed claims, as a process does when it starts:
// EFFECTS_ENTRIES=1000000 go test -run - -bench Recovery -benchtime 3x ./internal/idempotency/store
func BenchmarkRecovery(b *testing.B) {
	entries := 20_000
	if n, err := strconv.Atoi(os.Getenv("EFFECTS_ENTRIES")); err == nil {
		entries = n
	}
	path := filepath.Join(b.TempDir(), "effects")
	s, _, err := Open(path, Options{Window: time.Hour})
	if err != nil {
		b.Fatal(err)
	}
	answer := make([]byte, 280) // about the length of a claim's answer
	began := time.Now()
	var all sync.WaitGroup
	const writers = 512
	for w := range writers {
		all.Go(func() {
			for i := w; i < entries; i += writers {
				key := idempotency.Key{Origin: "claims.partner.example", ID: uint32(i)}
				err := s.Write(b.Context(), idempotency.Record{Key: key, Completed: true, Answer: answer})
				if err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
	wrote := time.Since(began)
	size, err := s.Size()
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		s, records, err := Open(path, Options{Window: time.Hour})
		if err != nil || len(records) != entries {
			b.Fatalf("%d records, %v", len(records), err)
		}
		mustClose(b, s)
	}
	b.ReportMetric(float64(size)/float64(entries), "disk-B/entry")
	b.ReportMetric(float64(entries)/wrote.Seconds(), "writes/s")
	b.ReportMetric(float64(entries), "entries")
}
