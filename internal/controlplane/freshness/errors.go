package freshness

import "fmt"

// WorkerDiedError is that the goroutine that weighs the view has died; it is begun anew on what was heard.
type WorkerDiedError struct{ Reason string }

func (e WorkerDiedError) Error() string { return "the duty of the view died: " + e.Reason }

// Advice is what an operator can do.
func (WorkerDiedError) Advice() string {
	return "It was begun anew on the list as last heard; file the log line with its cause. If it goes on, take the table view out of the fleet's file until it is mended."
}

// WorkerStuckError is that it has not moved for long; another was begun.
type WorkerStuckError struct{ For fmt.Stringer }

func (e WorkerStuckError) Error() string {
	return fmt.Sprintf("the duty of the view has not moved for %v", e.For)
}

// Advice is what an operator can do.
func (WorkerStuckError) Advice() string {
	return "Look at the machine's load; another duty was begun in its place."
}

// TooManyListsError is a register that is followed without a view.
type TooManyListsError struct {
	Name string
	Max  int
}

func (e TooManyListsError) Error() string {
	return fmt.Sprintf("register %q is not weighed: %d are the most", e.Name, e.Max)
}

// Advice is what an operator can do.
func (TooManyListsError) Advice() string {
	return "Have services share registers, or start the process anew: it keeps the views of all that it ever followed."
}
