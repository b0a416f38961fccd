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

func open(t testing.TB, path string, now func() time.Time) (*Store, map[idempotency.Key]idempotency.Record) {
	t.Helper()
	s, records, err := Open(path, Options{Window: window, UncertainWindow: uncertain, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	by := map[idempotency.Key]idempotency.Record{}
	for _, r := range records {
		by[r.Key] = r
	}
	return s, by
}

func TestWhatIsWrittenIsThere(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects")
	ctx := t.Context()
	clock := time.Unix(1_800_000_000, 0)
	now := func() time.Time { return clock }
	s, _ := open(t, path, now)
	a, b, c := idempotency.Key{Origin: "a", ID: 1}, idempotency.Key{Origin: "a", ID: 2}, idempotency.Key{Origin: "b\x00c", ID: 1}
	for _, r := range []idempotency.Record{{Key: a}, {Key: b}, {Key: a, Completed: true, Answer: []byte("paid")}, {Key: c}} {
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
		t.Errorf("after its end: %v", err)
	}
	s, by := open(t, path, now)
	if len(by) != 2 || !by[a].Completed || string(by[a].Answer) != "paid" || by[b].Completed {
		t.Errorf("%+v", by)
	}
	clock = clock.Add(window + time.Second) // what has ended grows old; of an intent without an end the time begins when it is found
	if err := s.Write(ctx, idempotency.Record{Key: idempotency.Key{Origin: "z", ID: 9}}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s, by = open(t, path, now)
	if len(by) != 2 || by[a].Completed || !by[b].Uncertain {
		t.Errorf("a window later: %+v", by)
	}
	clock = clock.Add(uncertain + time.Second)
	if err := s.Write(ctx, idempotency.Record{Key: idempotency.Key{Origin: "y", ID: 9}, Uncertain: true}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if _, by = open(t, path, now); len(by) != 1 || !by[idempotency.Key{Origin: "y", ID: 9}].Uncertain {
		t.Errorf("long after: %+v", by)
	}
}

func TestAFileThatIsNone(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects")
	if err := os.WriteFile(path, []byte(strings.Repeat("no database ", 2000)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, Options{Window: window}); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("%v", err)
	}
}

// A disk that takes no more is told to all who wait, and what was there stays.
func TestADiskThatIsFull(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects")
	s, _ := open(t, path, nil)
	k := idempotency.Key{Origin: "a", ID: 1}
	if err := s.Write(t.Context(), idempotency.Record{Key: k}); err != nil {
		t.Fatal(err)
	}
	if size, err := s.Size(); err != nil || size == 0 {
		t.Errorf("%d bytes, %v", size, err)
	}
	s.db.MaxSize = 64 << 10 // as if the disk ended there
	var failed error
	for i := uint32(2); i < 2000 && failed == nil; i++ {
		failed = s.Write(t.Context(), idempotency.Record{Key: idempotency.Key{Origin: "a", ID: i}, Completed: true, Answer: make([]byte, 4000)})
	}
	if failed == nil {
		t.Fatal("a full disk is not told")
	}
	s.Close()
	if _, by := open(t, path, nil); by[k].Key != k {
		t.Error("what was there is gone")
	}
}

// Records that wait together share a flush: many at once take far less than one after the other.
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
	if err := s.Write(ctx, idempotency.Record{Key: idempotency.Key{Origin: "a", ID: 1}}); !errors.Is(err, context.Canceled) && err != nil {
		t.Errorf("given up: %v", err)
	}
}

// crashes is how many kills TestKills makes; a longer trial: EFFECTS_KILLS=200 go test ./internal/effects/store -run Kills
func crashes() int {
	if n, err := strconv.Atoi(os.Getenv("EFFECTS_KILLS")); err == nil {
		return n
	}
	return 12
}

// A process that is killed at any moment has on disk all that it was told is there, and after it no claim can begin a
// second time.
func TestKills(t *testing.T) {
	if path := os.Getenv("EFFECTS_CHILD"); path != "" {
		claims(path)
		return
	}
	rng := rand.New(rand.NewPCG(11, 12))
	path := filepath.Join(t.TempDir(), "effects")
	told := map[idempotency.Key]string{} // "intent", or the answer
	for round := range crashes() {
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
				c.Process.Kill()
			}
			var id uint32
			var what string
			if _, err := fmt.Sscanf(lines.Text(), "told %d %s", &id, &what); err == nil {
				told[idempotency.Key{Origin: "a", ID: id}] = what
			}
		}
		c.Wait()
		s, records, err := Open(path, Options{Window: window})
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		l, err := idempotency.New(idempotency.Settings{Window: window, UncertainWindow: window, MaxEntries: 1 << 20, MaxBytes: 1 << 24, LostAt: -1})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Restore(0, records); err != nil {
			t.Fatal(err)
		}
		for k, what := range told {
			v, answer := l.Admit(time.Second, k, false)
			switch {
			case v == idempotency.Begin:
				t.Fatalf("round %d: %v was told to be %s, and would begin again", round, k, what)
			case what != "intent" && (v != idempotency.Answered || string(answer) != what):
				t.Fatalf("round %d: %v has the answer %s: %v %q", round, k, what, v, answer)
			}
		}
		s.Close()
	}
	if len(told) < 20*crashes() {
		t.Errorf("%d claims in %d rounds: there was nothing to kill", len(told), crashes())
	}
}

// claims is the child's part: claims in hand of many goroutines, each told only once it is on disk.
func claims(path string) {
	s, _, err := Open(path, Options{Window: window})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	round, _ := strconv.Atoi(os.Getenv("EFFECTS_ROUND"))
	var mu sync.Mutex
	say := func(id uint32, what string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf("told %d %s\n", id, what)
	}
	for g := range uint32(16) {
		go func() {
			for i := uint32(0); ; i++ {
				id := uint32(round)<<20 | g<<14 | i
				k := idempotency.Key{Origin: "a", ID: id}
				if s.Write(context.Background(), idempotency.Record{Key: k}) != nil {
					return
				}
				say(id, "intent")
				answer := fmt.Sprint("paid-", id)
				if s.Write(context.Background(), idempotency.Record{Key: k, Completed: true, Answer: []byte(answer)}) != nil {
					return
				}
				say(id, answer)
			}
		}()
	}
	time.Sleep(20 * time.Second) // its end, should nobody kill it
}

func BenchmarkClaim(b *testing.B) {
	for _, at := range []int{1, 64} {
		b.Run(fmt.Sprint(at, " at once"), func(b *testing.B) {
			s, _ := open(b, filepath.Join(b.TempDir(), "effects"), nil)
			var all sync.WaitGroup
			for g := range at {
				all.Go(func() {
					for i := range b.N/at + 1 {
						k := idempotency.Key{Origin: "a", ID: uint32(g)<<24 | uint32(i)}
						if err := s.Write(context.Background(), idempotency.Record{Key: k}); err != nil {
							b.Error(err)
						}
						if err := s.Write(context.Background(), idempotency.Record{Key: k, Completed: true, Answer: make([]byte, 180)}); err != nil {
							b.Error(err)
						}
					}
				})
			}
			all.Wait()
		})
	}
}

// BenchmarkRecovery opens a file of many claims that have ended, as a process does that starts: EFFECTS_ENTRIES=1000000 go test
// -run - -bench Recovery -benchtime 3x ./internal/effects/store.
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
	answer := make([]byte, 280) // about that of a claim
	began := time.Now()
	var all sync.WaitGroup
	const writers = 512
	for w := range writers {
		all.Go(func() {
			for i := w; i < entries; i += writers {
				if err := s.Write(b.Context(), idempotency.Record{Key: idempotency.Key{Origin: "claims.partner.example", ID: uint32(i)}, Completed: true, Answer: answer}); err != nil {
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
		s.Close()
	}
	b.ReportMetric(float64(size)/float64(entries), "disk-B/entry")
	b.ReportMetric(float64(entries)/wrote.Seconds(), "writes/s")
	b.ReportMetric(float64(entries), "entries")
}
