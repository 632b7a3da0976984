package limits_test

import (
	"testing"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/limits"
	"github.com/borageflow/borageflow/internal/policybench/loadmodel"
)

// Guards against a panic of an entry that exchanged no digest for a while, because it was cut off
// or suspended: its own records must not expire.
func TestOwnRecordsDoNotExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	c := limits.NewCustomerLimiter("self")
	c.ApplySnapshot(loadmodel.SingleCustomerSnapshot(api.Customer{Name: "x", RequestsPerSecond: 100, Concurrency: 10}))
	if len(c.Demands(now)) == 0 {
		t.Fatal("the entry reported no demand")
	}
	for range 3 {
		now = now.Add(time.Minute)
		c.Demands(now)
	}
}
