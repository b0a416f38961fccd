package store

import (
	"fmt"
	"strings"
	"testing"
)

// routesPerTeam is the number of routes in each file of a benchmark.
const routesPerTeam = 20

// largeDeclaration returns the command that declares namespaces t0, t1, ..., each with its own host.
func largeDeclaration(teams int) Command {
	var text strings.Builder
	text.WriteString("version = 1\n")
	for i := range teams {
		fmt.Fprintf(&text, "[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"t%d.org\"]\n"+
			"settings = [\"route\", \"service\"]\n", i, i)
	}
	return declareCommand(text.String())
}

// largeFile returns the text of a team's file, with a number of tenants in each route. Files of a team whose numbers
// differ by 1 differ only in the number and the first route.
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

// mustApply applies a command that must succeed.
func mustApply(b *testing.B, m *StateMachine, c Command) {
	b.Helper()
	if err := m.Apply(c); err != nil {
		b.Fatalf("Apply(%s) = %v, want no error", commandText(c), err)
	}
}

// completeCandidate reports the candidate's rollout as completed, if there is a candidate.
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

// addLargeFiles adds the files of all teams with a single merge. Submitted one by one, each file would cause a merge of
// all files.
func addLargeFiles(b *testing.B, m *StateMachine, teams, tenants int) {
	b.Helper()
	s := m.cloneState()
	for i := range teams {
		s.pending[fmt.Sprint("t", i)] = submittedFile{text: largeFile(i, 1, tenants), number: 1}
	}
	if err := m.mergeAndCommit(s); err != nil {
		b.Fatalf("merging the files of %d teams: %v", teams, err)
	}
}

// BenchmarkApply measures the time to apply a submission and the completion of its rollout. The goroutine that applies
// the log can apply nothing else during this time.
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
				b.Fatalf("Snapshot() failed after the submissions: %v", err)
			}
			b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
			b.ReportMetric(float64(m.state.head.tree.Size()), "policy-bytes")
		})
	}
}

// BenchmarkSnapshot measures Snapshot and Restore for a large fleet that has MaxRetainedPolicies retained policies.
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
		b.Fatalf("Snapshot() failed after the submissions: %v", err)
	}
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			if _, err := m.Snapshot(); err != nil {
				b.Fatalf("Snapshot() failed: %v", err)
			}
		}
		b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if err := New(0).Restore(snapshot); err != nil {
				b.Fatalf("Restore of a snapshot of %d bytes failed: %v", len(snapshot), err)
			}
		}
	})
}
