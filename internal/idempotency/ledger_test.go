package idempotency

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newLedger(t testing.TB, s Settings) *Ledger {
	t.Helper()
	l, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for want, s := range map[string]Settings{
		"window":    {Window: time.Minute, MaxEntries: 1, MaxBytes: 1},
		"entries":   {Window: MinWindow, UncertainWindow: MinWindow, MaxBytes: 1},
		"uncertain": {Window: MinWindow, UncertainWindow: time.Minute, MaxEntries: 1, MaxBytes: 1},
	} {
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func TestRetransmissionGetsTheSameAnswer(t *testing.T) {
	l := newLedger(t, Settings{
		Window:          MinWindow,
		UncertainWindow: 2 * MinWindow,
		MaxEntries:      10,
		MaxBytes:        100,
		LostAt:          -1,
	})
	k := Key{"partner.example", 7}
	for i, step := range []struct {
		at   time.Duration
		do   func()
		want Verdict
	}{
		{0, nil, Begin},
		{time.Second, nil, Join},
		{2 * time.Second, func() { l.Complete(2*time.Second, k, []byte("2001")) }, Answered},
		{MinWindow, nil, Answered},
		{MinWindow + 2*time.Second, nil, Begin}, // by now the identifier is another request's
		{MinWindow + 3*time.Second, func() { l.MarkUncertain(MinWindow+3*time.Second, k) }, MayHaveRun},
		{2*MinWindow + 4*time.Second, nil, MayHaveRun}, // remembered for longer than an answer
		{3*MinWindow + 4*time.Second, nil, Begin},
		{3*MinWindow + 4*time.Second, func() { l.Cancel(k) }, Begin},
	} {
		if step.do != nil {
			step.do()
		}
		v, answer := l.Admit(step.at, k, i%2 == 1)
		if v != step.want || v == Answered && string(answer) != "2001" {
			t.Errorf("step %d: %v %q, want %v", i, v, answer, step.want)
		}
	}
	if v, _ := l.Admit(0, Key{strings.Repeat("x", 256), 1}, false); v != KeyTooLong {
		t.Errorf("an origin of 256 bytes: %v", v)
	}
}

// For one window after the entries of an earlier process were lost, an unknown retransmission may have run, and a
// first transmission is new.
func TestRetransmissionAfterEntriesWereLost(t *testing.T) {
	l := newLedger(t, Settings{
		Window:          MinWindow,
		UncertainWindow: MinWindow,
		MaxEntries:      10,
		MaxBytes:        100,
		LostAt:          time.Minute,
	})
	if v, _ := l.Admit(time.Minute, Key{"a", 1}, true); v != MayHaveRun {
		t.Errorf("a retransmission: %v", v)
	}
	if v, _ := l.Admit(time.Minute, Key{"a", 2}, false); v != Begin {
		t.Errorf("a first transmission: %v", v)
	}
	if v, _ := l.Admit(time.Minute+MinWindow, Key{"a", 1}, true); v != Begin {
		t.Errorf("a retransmission one window later: %v", v)
	}
}

func TestRestore(t *testing.T) {
	l := newLedger(t, Settings{Window: MinWindow, UncertainWindow: MinWindow, MaxEntries: 3, MaxBytes: 8, LostAt: -1})
	err := l.Restore(0, []Record{
		{Key: Key{"a", 1}},
		{Key: Key{"a", 2}},
		{Key: Key{"a", 1}, Completed: true, Answer: []byte("paid")},
		{Key: Key{"a", 3}, Completed: true, Answer: []byte("too long to keep")},
	})
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range map[uint32]Verdict{1: Answered, 2: MayHaveRun, 3: MayHaveRun, 4: Full} {
		if v, _ := l.Admit(time.Second, Key{"a", id}, false); v != want {
			t.Errorf("%d: %v, want %v", id, v, want)
		}
	}
	err = l.Restore(0, []Record{{Key: Key{"b", 1}}})
	if !errors.Is(err, RestoreLimitError{Records: 1, MaxEntries: 3}) || !strings.Contains(err.Error(), "room for 3") {
		t.Errorf("more records than fit: %v", err)
	}
}

// Any order of events keeps the invariants of the package: the ledger is compared with a model that forgets nothing.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			Window:          MinWindow,
			UncertainWindow: MinWindow * time.Duration(rapid.IntRange(1, 3).Draw(t, "uncertain")),
			MaxEntries:      rapid.IntRange(1, 8).Draw(t, "entries"),
			MaxBytes:        rapid.IntRange(1, 60).Draw(t, "bytes"),
			LostAt:          -1,
		}
		l, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		type modelEntry struct {
			inFlight bool
			ended    time.Duration
			answer   string // "lost" if its outcome is unknown
		}
		model := map[Key]*modelEntry{}
		now := time.Duration(0)
		for n := range rapid.IntRange(1, 150).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
			k := Key{"o", uint32(rapid.IntRange(0, 9).Draw(t, "id"))}
			m := model[k]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				v, answer := l.Admit(now, k, rapid.Bool().Draw(t, "T"))
				fresh := m == nil || !m.inFlight && now >= m.ended+s.Window
				if m != nil && m.answer == "lost" {
					fresh = now >= m.ended+s.UncertainWindow
				}
				// An answer that is too long to be kept counts as lost.
				remembered := m != nil && (m.inFlight || now < m.ended+s.UncertainWindow)
				switch {
				case v == Begin && !fresh:
					t.Fatalf("%v begins again at %v: %+v", k, now, m)
				case v == Join && (m == nil || !m.inFlight):
					t.Fatalf("%v joins nothing", k)
				case v == Answered && (m == nil || m.inFlight || m.answer != string(answer)):
					t.Fatalf("%v has the answer %q: %+v", k, answer, m)
				case v == MayHaveRun && !remembered, v == Full && !fresh:
					t.Fatalf("%v: %v: %+v", k, v, m)
				case v == Begin:
					model[k] = &modelEntry{inFlight: true}
				}
			case 3:
				if m != nil && m.inFlight {
					answer := fmt.Sprint("answer ", n)
					l.Complete(now, k, []byte(answer))
					*m = modelEntry{ended: now, answer: answer}
				}
			case 4:
				if m != nil && m.inFlight {
					l.MarkUncertain(now, k)
					*m = modelEntry{ended: now, answer: "lost"}
				}
			default:
				if m != nil && m.inFlight {
					l.Cancel(k)
					delete(model, k)
				}
			}
			entries, bytes := l.Len()
			if entries > s.MaxEntries || bytes > s.MaxBytes {
				t.Fatalf("%d entries of %d, %d bytes of %d", entries, s.MaxEntries, bytes, s.MaxBytes)
			}
		}
	})
}

func BenchmarkAdmitAndComplete(b *testing.B) {
	l := newLedger(b, Settings{
		Window:          MinWindow,
		UncertainWindow: MinWindow,
		MaxEntries:      1 << 20,
		MaxBytes:        1 << 28,
		LostAt:          -1,
	})
	answer := make([]byte, 180)
	i := uint32(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		now := time.Duration(i) * time.Millisecond
		k := Key{"partner.example", i}
		if v, _ := l.Admit(now, k, false); v != Begin {
			b.Fatal(v)
		}
		l.Complete(now, k, answer)
	}
}
