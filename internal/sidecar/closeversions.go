package sidecar

import (
	"slices"

	"github.com/borageflow/borageflow/api"
)

// CloseVersions stops new work on all versions except KeepOpen, before the engine
// unloads them.
type CloseVersions struct {
	// Fence is the fencing token of the placement order behind this event.
	Fence int
	// KeepOpen is the version that still takes new work; empty closes all versions.
	KeepOpen string
}

// ReopenVersions reverts the CloseVersions with the same fencing token, because its
// placement order was not carried out.
type ReopenVersions struct{ Fence int }

// VersionsClosed reports that no attempt runs or waits on a closed version. Fence is
// the fencing token of the CloseVersions.
type VersionsClosed struct{ Fence int }

func (CloseVersions) event()   {}
func (ReopenVersions) event()  {}
func (VersionsClosed) effect() {}

// closeOrder is the latest CloseVersions. It stays active after its placement order
// has ended, since load reports lag and may still list unloaded versions.
type closeOrder struct {
	active       bool
	fence        int
	keepOpen     string
	idleReported bool
}

// handleVersionEvent handles CloseVersions and ReopenVersions. Other events, such as
// Tick, have no handler.
func (c *Core) handleVersionEvent(e Event) []Effect {
	switch e := e.(type) {
	case CloseVersions:
		return c.closeVersions(e)
	case ReopenVersions:
		return c.reopenVersions(e)
	}
	return nil
}

func (c *Core) closeVersions(e CloseVersions) []Effect {
	c.closeOrder = closeOrder{active: true, fence: e.Fence, keepOpen: e.KeepOpen}
	return c.refreshState()
}

func (c *Core) reopenVersions(e ReopenVersions) []Effect {
	if c.closeOrder.fence != e.Fence {
		return nil
	}
	c.closeOrder = closeOrder{}
	return c.refreshState()
}

// openVersions returns the loaded versions that are not closed.
func (c *Core) openVersions() []string {
	versions := slices.Clone(c.load.Versions)
	if !c.closeOrder.active {
		return versions
	}
	return slices.DeleteFunc(versions, func(v string) bool { return v != c.closeOrder.keepOpen })
}

// checkVersionsClosed returns VersionsClosed once, when no chat attempt is left on a
// closed version.
func (c *Core) checkVersionsClosed() []Effect {
	if !c.closeOrder.active || c.closeOrder.idleReported {
		return nil
	}
	for _, a := range c.attempts {
		if a.params.Kind == api.RunKindChat && a.params.Version != c.closeOrder.keepOpen {
			return nil
		}
	}
	c.closeOrder.idleReported = true
	return []Effect{VersionsClosed{Fence: c.closeOrder.fence}}
}
