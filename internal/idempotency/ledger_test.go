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
		t.Fatalf("New(%+v): %v", s, err)
	}
	return l
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for wantField, s := range map[string]Settings{
		"window":    {Window: time.Minute, MaxEntries: 1, MaxBytes: 1},
		"entries":   {Window: MinWindow, UncertainWindow: MinWindow, MaxBytes: 1},
		"uncertain": {Window: MinWindow, UncertainWindow: time.Minute, MaxEntries: 1, MaxBytes: 1},
	} {
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), wantField) {
			t.Errorf("New(%+v): error %v, want one that contains the field name %q", s, err, wantField)
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
		at     time.Duration
		before func() // called before Admit
		want   Verdict
	}{
		{0, nil, Begin},
		{time.Second, nil, Join},
		{2 * time.Second, func() { l.Complete(2*time.Second, k, []byte("2001")) }, Answered},
		{MinWindow, nil, Answered},
		{MinWindow + 2*time.Second, nil, Begin}, // the window is over: the identifier belongs to a new request
		{MinWindow + 3*time.Second, func() { l.MarkUncertain(MinWindow+3*time.Second, k) }, MayHaveRun},
		{2*MinWindow + 4*time.Second, nil, MayHaveRun}, // the uncertain window is longer than that of an answer
		{3*MinWindow + 4*time.Second, nil, Begin},
		{3*MinWindow + 4*time.Second, func() { l.Cancel(k) }, Begin},
	} {
		if step.before != nil {
			step.before()
		}
		v, answer := l.Admit(step.at, k, i%2 == 1)
		if v != step.want || v == Answered && string(answer) != "2001" {
			t.Errorf("step %d: Admit at %v = %v with answer %q, want %v (with answer \"2001\" if answered)",
				i, step.at, v, answer, step.want)
		}
	}
	if v, _ := l.Admit(0, Key{strings.Repeat("x", 256), 1}, false); v != KeyTooLong {
		t.Errorf("Admit with an origin of 256 bytes = %v, want %v", v, KeyTooLong)
	}
}

// For one window after the entries of an earlier process were lost, a retransmission without an entry may have run. A
// first transmission is always new.
func TestRetransmissionAfterEntriesWereLost(t *testing.T) {
	l := newLedger(t, Settings{
		Window:          MinWindow,
		UncertainWindow: MinWindow,
		MaxEntries:      10,
		MaxBytes:        100,
		LostAt:          time.Minute,
	})
	if v, _ := l.Admit(time.Minute, Key{"a", 1}, true); v != MayHaveRun {
		t.Errorf("Admit of a retransmission at the time of the loss = %v, want %v", v, MayHaveRun)
	}
	if v, _ := l.Admit(time.Minute, Key{"a", 2}, false); v != Begin {
		t.Errorf("Admit of a first transmission at the time of the loss = %v, want %v", v, Begin)
	}
	if v, _ := l.Admit(time.Minute+MinWindow, Key{"a", 1}, true); v != Begin {
		t.Errorf("Admit of a retransmission one window after the loss = %v, want %v", v, Begin)
	}
}

// Guards against a claim being paid twice: a retransmission that the ledger does not know may have run at another
// process, however old the ledger is. What came here first is decided as ever.
func TestUnknownRetransmissionMayHaveRunElsewhere(t *testing.T) {
	l := newLedger(t, Settings{
		Window:          MinWindow,
		UncertainWindow: MinWindow,
		MaxEntries:      10,
		MaxBytes:        100,
		LostAt:          0,
		Shared:          true,
	})
	key := Key{"a", 1}
	for _, at := range []time.Duration{0, MinWindow - 1, MinWindow, 100 * MinWindow} {
		if v, _ := l.Admit(at, key, true); v != MayHaveRun {
			t.Errorf("Admit of an unknown retransmission at %v = %v, want %v", at, v, MayHaveRun)
		}
	}
	now := 100 * MinWindow
	if v, _ := l.Admit(now, key, false); v != Begin {
		t.Errorf("Admit of a first transmission = %v, want %v", v, Begin)
	}
	if v, _ := l.Admit(now, key, true); v != Join {
		t.Errorf("Admit of its retransmission = %v, want %v", v, Join)
	}
	l.Complete(now, key, []byte("2001"))
	if v, answer := l.Admit(now, key, true); v != Answered || string(answer) != "2001" {
		t.Errorf("Admit of its retransmission after the answer = %v, %q, want %v, \"2001\"", v, answer, Answered)
	}
	// The entry's window is over, and a sender that was cut off for long repeats the request.
	if v, _ := l.Admit(now+2*MinWindow, key, true); v != MayHaveRun {
		t.Errorf("Admit of a retransmission after the window = %v, want %v", v, MayHaveRun)
	}
}

// Guards against a claim being paid twice: that its first copy was rejected here shows that it had not run then. It may
// run at another process after that, so that its retransmission here is not new.
func TestRejectedFirstCopyMayRunElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		shared bool
		want   Verdict
	}{
		"senders use other processes": {true, MayHaveRun},
		"this is the only process":    {false, Begin},
	} {
		l := newLedger(t, Settings{
			Window: MinWindow, UncertainWindow: MinWindow, MaxEntries: 10, MaxBytes: 100, LostAt: 0, Shared: c.shared,
		})
		run, noted := Key{"a", 1}, Key{"a", 2}
		if v, _ := l.Admit(0, run, false); v != Begin {
			t.Fatalf("%s: Admit of a first transmission = %v, want %v", name, v, Begin)
		}
		l.Cancel(run)
		l.NoteFirstTransmission(noted)
		for _, key := range []Key{run, noted} {
			if v, _ := l.Admit(time.Second, key, true); v != c.want {
				t.Errorf("%s: Admit of the retransmission of %v, rejected before = %v, want %v", name, key, v, c.want)
			}
		}
		if v, _ := l.Admit(2*time.Second, Key{"a", 3}, false); v != Begin {
			t.Errorf("%s: Admit of another first transmission = %v, want %v", name, v, Begin)
		}
	}
}

// Guards against a claim being paid twice: a retransmission may be rejected as one that has not run only if no other
// process can have run an earlier copy, since it may come again as a new request then.
func TestMayReject(t *testing.T) {
	known, noted, unknown := Key{"a", 1}, Key{"a", 2}, Key{"a", 3}
	for name, c := range map[string]struct {
		shared                         bool
		lostAt                         time.Duration
		mayKnown, mayNoted, mayUnknown bool // reject a retransmission
	}{
		"only process, nothing lost": {false, -1, true, true, true},
		"only process, entries lost": {false, 0, true, true, false},
		"several processes":          {true, -1, false, false, false},
	} {
		l := newLedger(t, Settings{
			Window: MinWindow, UncertainWindow: MinWindow, MaxEntries: 10, MaxBytes: 100, LostAt: c.lostAt, Shared: c.shared,
		})
		l.Admit(0, known, false)
		l.NoteFirstTransmission(noted)
		for key, want := range map[Key]bool{known: c.mayKnown, noted: c.mayNoted, unknown: c.mayUnknown} {
			if got := l.MayReject(0, key, true); got != want {
				t.Errorf("%s: MayReject of the retransmission of %v = %v, want %v", name, key, got, want)
			}
			if !l.MayReject(0, key, false) {
				t.Errorf("%s: MayReject of the first transmission of %v = false, want true", name, key)
			}
		}
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
		t.Fatalf("Restore of 3 requests with MaxEntries 3: %v", err)
	}
	for id, want := range map[uint32]Verdict{1: Answered, 2: MayHaveRun, 3: MayHaveRun, 4: Full} {
		if v, _ := l.Admit(time.Second, Key{"a", id}, false); v != want {
			t.Errorf("Admit of request %d after Restore = %v, want %v", id, v, want)
		}
	}
	err = l.Restore(0, []Record{{Key: Key{"b", 1}}})
	wantErr := RestoreLimitError{Records: 1, MaxEntries: 3}
	if !errors.Is(err, wantErr) || !strings.Contains(err.Error(), "at most 3 entries") {
		t.Errorf("Restore of a fourth request with MaxEntries 3: error %v, want %v", err, wantErr)
	}
}

// A request never runs twice: Admit returns Begin at most once for a request while the ledger remembers it. Random
// sequences of calls must also keep the other invariants of the package comment. The ledger is compared with a model
// that never deletes an entry.
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
			t.Fatalf("New(%+v): %v", s, err)
		}
		type modelEntry struct {
			inFlight bool
			endedAt  time.Duration
			answer   string // "lost" if the outcome is unknown
		}
		model := map[Key]*modelEntry{}
		now := time.Duration(0)
		for n := range rapid.IntRange(1, 150).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
			k := Key{"o", uint32(rapid.IntRange(0, 9).Draw(t, "id"))}
			m := model[k]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				v, answer := l.Admit(now, k, rapid.Bool().Draw(t, "T"))
				mayBegin := m == nil || !m.inFlight && now >= m.endedAt+s.Window
				if m != nil && m.answer == "lost" {
					mayBegin = now >= m.endedAt+s.UncertainWindow
				}
				// An answer that is too long to be kept counts as lost.
				remembered := m != nil && (m.inFlight || now < m.endedAt+s.UncertainWindow)
				switch {
				case v == Begin && !mayBegin:
					t.Fatalf("Admit(%v) at %v = begin, but the model has the unexpired entry %+v", k, now, m)
				case v == Join && (m == nil || !m.inFlight):
					t.Fatalf("Admit(%v) at %v = join, but the model has no such request in flight", k, now)
				case v == Answered && (m == nil || m.inFlight || m.answer != string(answer)):
					t.Fatalf("Admit(%v) at %v = answered with %q, but the model's entry is %+v", k, now, answer, m)
				case v == MayHaveRun && !remembered, v == Full && !mayBegin:
					t.Fatalf("Admit(%v) at %v = %v, but the model's entry is %+v", k, now, v, m)
				case v == Begin:
					model[k] = &modelEntry{inFlight: true}
				}
			case 3:
				if m != nil && m.inFlight {
					answer := fmt.Sprint("answer ", n)
					l.Complete(now, k, []byte(answer))
					*m = modelEntry{endedAt: now, answer: answer}
				}
			case 4:
				if m != nil && m.inFlight {
					l.MarkUncertain(now, k)
					*m = modelEntry{endedAt: now, answer: "lost"}
				}
			default:
				if m != nil && m.inFlight {
					l.Cancel(k)
					delete(model, k)
				}
			}
			entries, bytes := l.Len()
			if entries > s.MaxEntries || bytes > s.MaxBytes {
				t.Fatalf("Len = %d entries and %d bytes, want at most %d and %d",
					entries, bytes, s.MaxEntries, s.MaxBytes)
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
			b.Fatalf("Admit(%v) = %v, want %v", k, v, Begin)
		}
		l.Complete(now, k, answer)
	}
}
