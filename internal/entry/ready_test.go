package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards against a restarted entry that takes requests before it knows a backend
// server for them, and against one that waits for ever for a version that none
// serves.
func TestStartingEntryIsReadyWhenServersAreFound(t *testing.T) {
	now := time.Unix(1000, 0)
	c, members := readyCore(t, now)
	ok, _ := c.Ready()
	assert.Assert(t, ok)

	c, _ = readyCore(t, now)
	c.settled, c.settleBy = false, time.Time{}
	for i := range members {
		members[i].Versions = []string{"another-1"}
	}
	c.Handle(now, MembersChanged{Members: members})
	ok, reason := c.Ready()
	assert.Assert(t, !ok, "ready without a backend server for "+testVersion)
	assert.Equal(t, reason, "backend servers are being found")
	now = now.Add(settleLimit)
	c.Handle(now, Tick{})
	ok, _ = c.Ready()
	assert.Assert(t, ok)

	members[0].Versions = []string{testVersion}
	members[0].State = api.MemberStateReady
	c, _ = readyCore(t, now)
	c.settled, c.settleBy = false, time.Time{}
	c.Handle(now, MembersChanged{Members: members})
	ok, _ = c.Ready()
	assert.Assert(t, ok)
}
