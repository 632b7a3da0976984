package entry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/usage"
)

// Guards against 370 entries that each write a usage batch every second, which
// is more than the store accepts. The target for all entries together is 20
// batches/s.
func TestUsageFlushIntervalGrowsWithEntries(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCore(Config{Self: api.Member{Instance: "e0", Incarnation: 1}}, rand.New(rand.NewPCG(1, 1)))
	var members []api.Member
	for i := range 370 {
		members = append(members, api.Member{Instance: fmt.Sprintf("e%d", i), Role: "entry", State: api.MemberStateReady, Address: "x"})
	}
	c.Handle(now, MembersChanged{Members: members})
	written := func(at time.Duration) bool {
		for _, effect := range c.Handle(now.Add(at), Tick{}) {
			if w, ok := effect.(WriteObject); ok && strings.HasPrefix(w.Key, usage.KeyPrefix) {
				return true
			}
		}
		return false
	}
	assert.Assert(t, c.usage.Reserve() == nil)
	assert.Assert(t, c.usage.Add(now, api.UsageRecord{Request: "r", Customer: "c", RunState: api.RunStateRan}) == nil)
	assert.Assert(t, !written(18*time.Second))
	assert.Assert(t, written(19*time.Second))
}
