// Simadapter runs instances of the decision module in the simulator: it reads batches of events on standard input and
// writes one reply with the instances' actions to each on standard output, until the input ends. It exits with 1 and a
// line on standard error if a batch cannot be read or handled. Package wire describes the protocol.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
