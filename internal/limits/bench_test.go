package limits_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/limits"
	"github.com/borageflow/borageflow/internal/policybench/loadmodel"
)

// Measures Admit and Done at an entry that received reports from 369 other entries.
func BenchmarkAdmit(b *testing.B) {
	now := time.Unix(1000, 0)
	c := limits.NewCustomerLimiter("self")
	c.SetEntryCount(370)
	c.ApplySnapshot(loadmodel.SingleCustomerSnapshot(api.Customer{Name: "x", RequestsPerSecond: 1e6, Concurrency: 1e6}))
	for i := range 369 {
		c.MergeDemands(now, []api.Demand{{Customer: "x", Origin: fmt.Sprint(i), Rate: 1, Sequence: 1}})
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		if c.Admit(now, "x") == nil {
			c.Done(now, "x")
		}
	}
}

// Measures Push, Pop, Started and Finished with 256 waiting items of 10 customers.
func BenchmarkFairQueue(b *testing.B) {
	now := time.Unix(1000, 0)
	q := limits.NewFairQueue(limits.FairQueueOptions{Bound: 300, Rate: 1e6})
	push := func(i int) {
		_ = q.Push(now, limits.Item{ID: fmt.Sprint(i), Customer: fmt.Sprint(i % 10), Short: i%5 > 0, Cost: 100, Deadline: now.Add(time.Hour)})
	}
	for i := range 256 {
		push(i)
	}
	b.ReportAllocs()
	for i := 256; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		push(i)
		item, _, _ := q.Pop(now)
		q.Started(now, item)
		q.Finished(now, item.ID, 100)
	}
}
