package sidecar

import (
	"time"

	"github.com/borageflow/borageflow/internal/usage"
)

// defaultUsageConfirm is the wait while few entries flush every second.
const defaultUsageConfirm = 10 * time.Second

// EntriesChanged states the number of entries that this process knows.
type EntriesChanged struct{ Entries int }

func (EntriesChanged) event() {}

// entriesChanged waits longer for confirmations when the entries flush less often.
func (c *Core) entriesChanged(entries int) {
	_, confirm := usage.Intervals(entries, 0, c.cfg.UsageConfirm)
	c.usage.SetConfirmAfter(confirm)
}
