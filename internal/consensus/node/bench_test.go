package node_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"

	"lapisspread/internal/consensus"
)

// BenchmarkCommits is of three servers on loopback with their stores on the machine's disk.
func BenchmarkCommits(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(callers, "-callers"), func(b *testing.B) { benchmarkCommits(b, callers) })
	}
}

func benchmarkCommits(b *testing.B, callers int) {
	c := newCluster(b, consensus.Config{})
	c.propose(nil, "a")
	leader := c.leader(nil)
	command := bytes.Repeat([]byte("x"), 200)
	sentBefore, writesBefore := c.traffic()
	b.ResetTimer()
	work := make(chan int)
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for range work {
				if _, err := leader.Propose(context.Background(), command); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for i := range b.N {
		work <- i
	}
	close(work)
	workers.Wait()
	b.StopTimer()
	sent, writes := c.traffic()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(sent-sentBefore)/float64(b.N), "wire-B/commit")
	b.ReportMetric(float64(writes-writesBefore)/float64(b.N), "writes/commit")
}

// traffic sums what all members have sent, in bytes, and their flushed writes.
func (c *cluster) traffic() (sentBytes, writes uint64) {
	for _, m := range c.members {
		metrics := m.Metrics()
		sentBytes += metrics.SentBytes
		writes += metrics.SyncedWrites
	}
	return sentBytes, writes
}
