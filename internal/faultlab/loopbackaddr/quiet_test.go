package loopbackaddr

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
)

// An address is free for another process at once, whatever this one starts meanwhile.
func TestAnAddressIsFreeWhileProcessesStart(t *testing.T) {
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{})
	var starts sync.WaitGroup
	for range 4 {
		starts.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
				}
				if err := exec.Command(own, "-test.run=^$").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 2000 {
		at, err := Addr()
		if err != nil {
			t.Error(err)
			break
		}
		l, err := net.Listen("tcp4", at)
		if err != nil {
			t.Errorf("taken: %v", err)
			break
		}
		l.Close()
	}
	close(over)
	starts.Wait()
}
