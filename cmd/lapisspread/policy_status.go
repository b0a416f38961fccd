package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/store"
)

// maxShownChanges bounds the changes of a rollout that are shown one by one.
const maxShownChanges = 20

// showPolicy prints the policy's status.
func showPolicy(cmd *cobra.Command, fleet *api.Config, client *http.Client) error {
	status, err := fleet.PolicyStatus(cmd.Context(), client)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	printVersions(out, &status)
	if status.IsLeader {
		printRollout(out, &status)
	}
	printFindings(out, &status)
	return nil
}

// printVersions prints the policy in force, the policy being rolled out, and the queued changes.
func printVersions(out io.Writer, status *api.PolicyStatus) {
	policy := &status.Policy
	if !status.IsLeader {
		printf(out, "no steward leads: this is what one that follows knows\n")
	}
	printf(out, "in force: epoch %d, root %.12s; kept: %v\n",
		policy.Active.Epoch, policy.Active.Hash, policy.RetainedEpochs)
	if policy.Candidate.Epoch > 0 {
		printf(out, "train: epoch %d, root %.12s, with %s\n",
			policy.Candidate.Epoch, policy.Candidate.Hash, describeChanges(policy.Batch))
	}
	if len(policy.Queued) > 0 {
		printf(out, "wait for the next train: %s\n", describeChanges(policy.Queued))
	}
}

// printRollout prints the state of the rollout, which only the leader has.
func printRollout(out io.Writer, status *api.PolicyStatus) {
	printf(out, "roll-out: %s, %d of %d proxies have the newest\n",
		status.RolloutState, status.Updated, status.ProxyCount)
	if status.Rejected > 0 {
		printf(out, "%d proxies can't take it up: see FLEET on their consoles; their figures don't count\n",
			status.Rejected)
	}
	if status.BehindCount > 0 {
		others := ""
		if status.BehindCount > len(status.Behind) {
			others = fmt.Sprintf(" and %d others", status.BehindCount-len(status.Behind))
		}
		printf(out, "behind, with an older policy than what is in force: %s%s\n",
			strings.Join(status.Behind, ", "), others)
	}
	if status.LegacyCount > 0 {
		printf(out, "%d proxies are of an older release and take whole texts alone, up to %d bytes\n",
			status.LegacyCount, store.MaxUnchunkedBytes)
	}
}

// printFindings prints findings that an operator or a team must act on: stopped rollouts, failed changes, regressions,
// withheld files and conflicts.
func printFindings(out io.Writer, status *api.PolicyStatus) {
	policy := &status.Policy
	if policy.Stopped != nil {
		printf(out, "stopped: %s\n  %s\n", policy.Stopped.Reason, policy.Stopped.Advice)
	}
	for _, fault := range policy.FailedChanges {
		change := describeChanges([]store.Change{fault.Change})
		printf(out, "at fault, and taken out: %s\n  %s\n  %s\n", change, fault.Reason, fault.Advice)
	}
	if status.Regression != "" {
		printf(out, "worse: %s\n  %s\n", status.Regression, status.RegressionAdvice)
	}
	for _, held := range policy.WithheldFiles {
		printf(out, "held: %s, file %d by %q; file %d goes on\n  %s\n  %s\n",
			held.Namespace, held.Submitted, held.Author, held.Active, held.Reason, held.Advice)
	}
	for _, conflict := range policy.Conflicts {
		printf(out, "conflict: %s\n", conflict)
	}
}

// describeChanges lists at most maxShownChanges changes, and the number of the others.
func describeChanges(changes []store.Change) string {
	var texts []string
	for _, change := range changes[:min(maxShownChanges, len(changes))] {
		text := fmt.Sprintf("%s/%d", change.Namespace, change.Number)
		if change.Number == 0 {
			text = "the charter"
		}
		if change.Author != "" {
			text += fmt.Sprintf(" by %q", change.Author)
		}
		texts = append(texts, text)
	}
	if more := len(changes) - maxShownChanges; more > 0 {
		texts = append(texts, fmt.Sprintf("%d others", more))
	}
	return cmp.Or(strings.Join(texts, ", "), "nothing that differs")
}
