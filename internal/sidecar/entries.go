package sidecar

import (
	"time"

	"github.com/borageflow/borageflow/internal/usage"
)

// defaultUsageConfirmTimeout applies with up to 66 entries. More entries flush less often,
// and usage.ScaleIntervals raises the timeout to three of their flush intervals.
const defaultUsageConfirmTimeout = 10 * time.Second

// EntriesChanged carries the number of entries in state ready.
type EntriesChanged struct{ ReadyEntries int }

func (EntriesChanged) event() {}

// entriesChanged adjusts the confirmation timeout of usage records: the more entries
// there are, the less often each of them flushes.
func (c *Core) entriesChanged(entries int) {
	_, confirm := usage.ScaleIntervals(entries, 0, c.cfg.UsageConfirmTimeout)
	c.unconfirmedUsage.SetConfirmTimeout(confirm)
}
