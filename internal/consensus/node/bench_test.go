package node_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"

	"lapisspread/internal/consensus"
)

// BenchmarkCommits measures commits by 3 servers on loopback whose stores are on the machine's disk.
func BenchmarkCommits(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(callers, "-callers"), func(b *testing.B) { benchmarkCommits(b, callers) })
	}
}

func benchmarkCommits(b *testing.B, callers int) {
	c := newCluster(b, consensus.Config{})
	c.propose(nil, "a")
	leader := c.awaitLeader(nil)
	command := bytes.Repeat([]byte("x"), 200)
	sentBefore, writesBefore := c.traffic()
	b.ResetTimer()
	work := make(chan int)
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for range work {
				if _, err := leader.Propose(context.Background(), command); err != nil {
					b.Errorf("Propose at the leader returned %v, want no error", err)
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

// traffic returns the sums over all members of the bytes sent and of the batches flushed to disk.
func (c *cluster) traffic() (sentBytes, writes uint64) {
	for _, m := range c.members {
		metrics := m.Metrics()
		sentBytes += metrics.SentBytes
		writes += metrics.SyncedWrites
	}
	return sentBytes, writes
}
