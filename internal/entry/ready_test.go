package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards against a restarted entry that accepts requests before it knows a
// backend server for them, and against one that waits forever for a version
// that no backend server serves.
func TestStartingEntryIsReadyWhenServersAreFound(t *testing.T) {
	now := time.Unix(1000, 0)
	c, members := newReadyCore(t, now)
	ok, _ := c.Ready()
	assert.Assert(t, ok)

	c, _ = newReadyCore(t, now)
	c.startupDone, c.startupDeadline = false, time.Time{}
	for i := range members {
		members[i].Versions = []string{"another-1"}
	}
	c.Handle(now, MembersChanged{Members: members})
	ok, reason := c.Ready()
	assert.Assert(t, !ok, "ready without a backend server for "+testVersion)
	assert.Equal(t, reason, "waiting for a backend server for every version and service")
	now = now.Add(startupTimeout)
	c.Handle(now, Tick{})
	ok, _ = c.Ready()
	assert.Assert(t, ok)

	members[0].Versions = []string{testVersion}
	members[0].State = api.MemberStateReady
	c, _ = newReadyCore(t, now)
	c.startupDone, c.startupDeadline = false, time.Time{}
	c.Handle(now, MembersChanged{Members: members})
	ok, _ = c.Ready()
	assert.Assert(t, ok)
}
