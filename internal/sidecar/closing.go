package sidecar

import (
	"slices"

	"github.com/borageflow/borageflow/api"
)

// CloseVersions stops new work on every version but one, before the engine
// unloads the others. Fence is the token of the order that asks for it.
type CloseVersions struct {
	Fence int
	// Keep stays open; empty closes all.
	Keep string
}

// ReopenVersions ends a CloseVersions whose order was not carried out.
type ReopenVersions struct{ Fence int }

// VersionsClosed says that no attempt is left on the versions that were closed.
type VersionsClosed struct{ Fence int }

func (CloseVersions) event()   {}
func (ReopenVersions) event()  {}
func (VersionsClosed) effect() {}

// closing is the last CloseVersions that is in force. It stays in force after its
// order, since load reports lag.
type closing struct {
	active   bool
	fence    int
	keep     string
	reported bool
}

// closingEvent handles the events of this file; a Tick needs nothing.
func (c *Core) closingEvent(e Event) []Effect {
	switch e := e.(type) {
	case CloseVersions:
		return c.closeVersions(e)
	case ReopenVersions:
		return c.reopenVersions(e)
	}
	return nil
}

func (c *Core) closeVersions(e CloseVersions) []Effect {
	c.closing = closing{active: true, fence: e.Fence, keep: e.Keep}
	return c.refreshState()
}

func (c *Core) reopenVersions(e ReopenVersions) []Effect {
	if c.closing.fence != e.Fence {
		return nil
	}
	c.closing = closing{}
	return c.refreshState()
}

// open returns the loaded versions that take new work.
func (c *Core) open() []string {
	versions := slices.Clone(c.load.Versions)
	if !c.closing.active {
		return versions
	}
	return slices.DeleteFunc(versions, func(v string) bool { return v != c.closing.keep })
}

// checkClosed reports once that the closed versions are idle.
func (c *Core) checkClosed() []Effect {
	if !c.closing.active || c.closing.reported {
		return nil
	}
	for _, a := range c.attempts {
		if a.params.Kind == api.RunKindChat && a.params.Version != c.closing.keep {
			return nil
		}
	}
	c.closing.reported = true
	return []Effect{VersionsClosed{Fence: c.closing.fence}}
}
