package freshness

import "fmt"

// DutyDied is that the goroutine that weighs the view has died; it is begun anew on what was heard.
type DutyDied struct{ Why string }

func (e DutyDied) Error() string { return "the duty of the view died: " + e.Why }

// Advice is what an operator can do.
func (DutyDied) Advice() string {
	return "It was begun anew on the list as last heard; file the log line with its cause. If it goes on, take the table view out of the fleet's file until it is mended."
}

// DutyStuck is that it has not moved for long; another was begun.
type DutyStuck struct{ For fmt.Stringer }

func (e DutyStuck) Error() string {
	return fmt.Sprintf("the duty of the view has not moved for %v", e.For)
}

// Advice is what an operator can do.
func (DutyStuck) Advice() string {
	return "Look at the machine's load; another duty was begun in its place."
}

// TooManyRegisters is a register that is followed without a view.
type TooManyRegisters struct {
	Name string
	Most int
}

func (e TooManyRegisters) Error() string {
	return fmt.Sprintf("register %q is not weighed: %d are the most", e.Name, e.Most)
}

// Advice is what an operator can do.
func (TooManyRegisters) Advice() string {
	return "Have services share registers, or start the process anew: it keeps the views of all that it ever followed."
}
