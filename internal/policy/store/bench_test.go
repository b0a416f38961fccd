package store

import (
	"fmt"
	"strings"
	"testing"
)

// routesPerTeam is how many routes each file of a benchmark has.
const routesPerTeam = 20

// largeDeclaration declares namespaces t0, t1, ..., each with a host of its own.
func largeDeclaration(teams int) Command {
	var text strings.Builder
	text.WriteString("version = 1\n")
	for i := range teams {
		fmt.Fprintf(&text, "[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"t%d.org\"]\n"+
			"settings = [\"route\", \"service\"]\n", i, i)
	}
	return declareCommand(text.String())
}

// largeFile is the file of a team with so many tenants in each route. Its number changes only the first route.
func largeFile(team, number, tenants int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "version = 1\nnamespace = \"t%d\"\nnumber = %d\n[[service]]\nname = \"s%d\"\n",
		team, number, team)
	for r := range routesPerTeam {
		fmt.Fprintf(&text, "[[route]]\nname = \"r%d\"\nhost = \"t%d.org\"\npath_prefix = \"/p%d\"\n"+
			"to = [{ service = \"s%d\" }]\n", r, team, r, team)
		if r == 0 {
			fmt.Fprintf(&text, "sticky = %q\n", []string{"key", "tenant"}[number%2])
		}
		if tenants > 0 {
			text.WriteString("tenants = [")
			for i := range tenants {
				fmt.Fprintf(&text, "\"tenant-%d-%d-%d\", ", team, r, i)
			}
			text.WriteString("]\n")
		}
	}
	return text.String()
}

func mustApply(b *testing.B, m *StateMachine, c Command) {
	b.Helper()
	if err := m.Apply(c); err != nil {
		b.Fatal(err)
	}
}

func completeCandidate(b *testing.B, m *StateMachine) {
	b.Helper()
	candidate := m.Status().Candidate
	if candidate.Epoch == 0 {
		return
	}
	mustApply(b, m, resultCommand(RolloutResult{
		Generation: candidate.Generation, Epoch: candidate.Epoch, Completed: true,
	}))
}

// addLargeFiles submits the files of all teams with one merge: submitted by themselves, each would merge all.
func addLargeFiles(b *testing.B, m *StateMachine, teams, tenants int) {
	b.Helper()
	s := m.cloneState()
	for i := range teams {
		s.pending[fmt.Sprint("t", i)] = submittedFile{text: largeFile(i, 1, tenants), number: 1}
	}
	if err := m.mergeAndCommit(s); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkApply is one submission and the completion of its rollout, for which the log's goroutine is busy.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ teams, tenants int }{{50, 0}, {200, 0}, {160, 12}, {320, 12}, {650, 12}} {
		routes := size.teams * routesPerTeam
		b.Run(fmt.Sprintf("routes=%d/tenants=%d", routes, routes*size.tenants), func(b *testing.B) {
			m := New(0)
			mustApply(b, m, largeDeclaration(size.teams))
			completeCandidate(b, m)
			addLargeFiles(b, m, size.teams, size.tenants)
			completeCandidate(b, m)
			number := 1
			for b.Loop() {
				number++
				mustApply(b, m, submitCommand(largeFile(7, number, size.tenants)))
				completeCandidate(b, m)
			}
			snapshot, err := m.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
			b.ReportMetric(float64(m.state.head.tree.Size()), "policy-bytes")
		})
	}
}

// BenchmarkSnapshot writes and reads the state of a large fleet with all policies retained that can be.
func BenchmarkSnapshot(b *testing.B) {
	const (
		teams   = 650
		tenants = 12
	)
	m := New(0)
	mustApply(b, m, largeDeclaration(teams))
	addLargeFiles(b, m, teams, tenants)
	for i := range 20 {
		completeCandidate(b, m)
		mustApply(b, m, submitCommand(largeFile(7, i+2, tenants)))
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			if _, err := m.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if err := New(0).Restore(snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
}
