package store

import (
	"fmt"
	"strings"
	"testing"
)

// largeDeclaration is a charter of teams, and the file of one with so many routes and tenants of each.
func largeDeclaration(teams int) string {
	var c strings.Builder
	c.WriteString("version = 1\n")
	for i := range teams {
		fmt.Fprintf(&c, "[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"t%d.org\"]\nsettings = [\"route\", \"service\"]\n", i, i)
	}
	return c.String()
}

func largeFile(team, number, routes, tenants int) string {
	var t strings.Builder
	fmt.Fprintf(&t, "version = 1\nnamespace = \"t%d\"\nnumber = %d\n[[service]]\nname = \"s%d\"\n", team, number, team)
	for r := range routes {
		fmt.Fprintf(&t, "[[route]]\nname = \"r%d\"\nhost = \"t%d.org\"\npath_prefix = \"/p%d\"\nto = [{ service = \"s%d\" }]\n", r, team, r, team)
		if r == 0 {
			fmt.Fprintf(&t, "sticky = %q\n", []string{"key", "tenant"}[number%2]) // what is new in the file
		}
		if tenants > 0 {
			t.WriteString("tenants = [")
			for i := range tenants {
				fmt.Fprintf(&t, "\"tenant-%d-%d-%d\", ", team, r, i)
			}
			t.WriteString("]\n")
		}
	}
	return t.String()
}

// BenchmarkApply is one offer, with its train coming through: for so long the log's goroutine does nothing else. Fifty teams with twenty
// routes each, and the target: 13,000 routes with 150,000 tenants.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ teams, routes, tenants int }{{50, 20, 0}, {200, 20, 0}, {160, 20, 12}, {320, 20, 12}, {650, 20, 12}} {
		b.Run(fmt.Sprintf("routes=%d/tenants=%d", size.teams*size.routes, size.teams*size.routes*size.tenants), func(b *testing.B) {
			book := New(0)
			do := func(c Command) {
				if err := book.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
			done := func() {
				if s := book.Status(); s.Candidate.Epoch != 0 {
					do(Command{RolloutResult: &RolloutResult{Generation: s.Candidate.Generation, Epoch: s.Candidate.Epoch, Completed: true}})
				}
			}
			do(Command{SetDeclaration: &SetDeclaration{Text: largeDeclaration(size.teams)}})
			done()
			// Files of a snapshot come at once: each by itself would merge all for each.
			s := book.cloneState()
			for i := range size.teams {
				s.pending[fmt.Sprint("t", i)] = submittedFile{text: largeFile(i, 1, size.routes, size.tenants), number: 1}
			}
			if err := book.mergeAndCommit(s); err != nil {
				b.Fatal(err)
			}
			done()
			n := 1
			for b.Loop() {
				n++
				do(Command{SubmitFile: &SubmitFile{Text: largeFile(7, n, size.routes, size.tenants)}})
				done()
			}
			text, err := book.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(text)), "snapshot-bytes")
			b.ReportMetric(float64(book.state.head.tree.Size()), "policy-bytes")
		})
	}
}

// BenchmarkSnapshot writes and reads the state of the target, with sixteen policies kept.
func BenchmarkSnapshot(b *testing.B) {
	book := New(0)
	if err := book.Apply(Command{SetDeclaration: &SetDeclaration{Text: largeDeclaration(650)}}); err != nil {
		b.Fatal(err)
	}
	s := book.cloneState()
	for i := range 650 {
		s.pending[fmt.Sprint("t", i)] = submittedFile{text: largeFile(i, 1, 20, 12), number: 1}
	}
	if err := book.mergeAndCommit(s); err != nil {
		b.Fatal(err)
	}
	for n := range 20 {
		st := book.Status()
		for _, c := range []Command{{RolloutResult: &RolloutResult{Generation: st.Candidate.Generation, Epoch: st.Candidate.Epoch, Completed: true}}, {SubmitFile: &SubmitFile{Text: largeFile(7, n+2, 20, 12)}}} {
			if err := book.Apply(c); err != nil {
				b.Fatal(err)
			}
		}
	}
	text, err := book.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			if _, err := book.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(text)), "snapshot-bytes")
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if err := New(0).Restore(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}
