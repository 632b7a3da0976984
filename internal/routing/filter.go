// Package routing narrows the versions that may serve a request and chooses a
// backend server for it. It is pure: the current time, the random source and
// every event are arguments.
package routing

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
)

// AutoModel as the model of a request lets the class decide.
const AutoModel = "auto"

// Candidates are the versions that may serve one request, in manifest order.
type Candidates struct {
	// Versions is never empty in a successful result of Filter.
	Versions []*manifest.Version
	// Pinned states that a session fixes the version.
	Pinned bool
}

// Filter returns the versions that may serve a request. model names a model, a
// version or AutoModel. pin is the version of the caller's session; empty means
// no session. available reports whether a backend server can take the version.
// class may be nil. An empty result is refused with the filter that emptied it.
func Filter(snapshot *manifest.Snapshot, customer, model string, class *api.Class, pin string, available func(version string) bool) (Candidates, *errkind.Error) {
	if pin != "" {
		return filterPinned(snapshot, customer, model, pin, available)
	}
	named, refusal := namedVersions(snapshot, model, class)
	if refusal != nil {
		return Candidates{}, refusal
	}
	allowed := keep(named, func(v *manifest.Version) bool { return snapshot.AllowsVersion(customer, v.Name) })
	if len(allowed) == 0 {
		return Candidates{}, errkind.New(errkind.ForbiddenVersion, fmt.Sprintf("customer %q may use no version of %q", customer, model))
	}
	open := keep(allowed, acceptsNewWork)
	if len(open) == 0 {
		return Candidates{}, errkind.New(errkind.VersionWithdrawn, fmt.Sprintf("every allowed version of %q is closing or withdrawn", model))
	}
	return onlyAvailable(open, model, false, available)
}

func filterPinned(snapshot *manifest.Snapshot, customer, model, pin string, available func(version string) bool) (Candidates, *errkind.Error) {
	v, ok := snapshot.Version(pin)
	if !ok {
		return Candidates{}, errkind.New(errkind.SessionInvalid, fmt.Sprintf("the session's version %q does not exist", pin))
	}
	if model != "" && model != AutoModel && model != v.Name && model != v.Model {
		return Candidates{}, errkind.New(errkind.SessionInvalid, fmt.Sprintf("the session is pinned to version %q, not to %q", pin, model))
	}
	if !snapshot.AllowsVersion(customer, pin) {
		return Candidates{}, errkind.New(errkind.ForbiddenVersion, fmt.Sprintf("customer %q may not use version %q", customer, pin))
	}
	if !acceptsSession(v) {
		return Candidates{}, errkind.New(errkind.VersionWithdrawn, fmt.Sprintf("the session's version %q is withdrawn", pin))
	}
	return onlyAvailable([]*manifest.Version{v}, pin, true, available)
}

func onlyAvailable(versions []*manifest.Version, model string, pinned bool, available func(version string) bool) (Candidates, *errkind.Error) {
	ready := keep(versions, func(v *manifest.Version) bool { return available(v.Name) })
	if len(ready) == 0 {
		return Candidates{}, errkind.New(errkind.NoCandidate, fmt.Sprintf("no backend server is available for %q", model))
	}
	return Candidates{Versions: ready, Pinned: pinned}, nil
}

// namedVersions returns the versions that model stands for.
func namedVersions(snapshot *manifest.Snapshot, model string, class *api.Class) ([]*manifest.Version, *errkind.Error) {
	if model == "" || model == AutoModel {
		return classVersions(snapshot, class), nil
	}
	if m, ok := snapshot.Model(model); ok {
		return modelVersions(snapshot, m), nil
	}
	if v, ok := snapshot.Version(model); ok {
		return []*manifest.Version{v}, nil
	}
	return nil, errkind.New(errkind.UnknownModel, fmt.Sprintf("model %q does not exist", model))
}

func classVersions(snapshot *manifest.Snapshot, class *api.Class) []*manifest.Version {
	var out []*manifest.Version
	for i := range snapshot.Manifest.Models {
		m := &snapshot.Manifest.Models[i]
		if class == nil || len(class.Models) == 0 || slices.Contains(class.Models, m.Name) {
			out = append(out, modelVersions(snapshot, m)...)
		}
	}
	return out
}

func modelVersions(snapshot *manifest.Snapshot, m *api.Model) []*manifest.Version {
	out := make([]*manifest.Version, 0, len(m.Versions))
	for i := range m.Versions {
		if v, ok := snapshot.Version(m.Versions[i].Name); ok {
			out = append(out, v)
		}
	}
	return out
}

func acceptsNewWork(v *manifest.Version) bool {
	return v.Phase == api.PhaseRolling || v.Phase == api.PhaseServing
}

func acceptsSession(v *manifest.Version) bool {
	return acceptsNewWork(v) || v.Phase == api.PhaseClosing
}

func keep(versions []*manifest.Version, pass func(*manifest.Version) bool) []*manifest.Version {
	out := make([]*manifest.Version, 0, len(versions))
	for _, v := range versions {
		if pass(v) {
			out = append(out, v)
		}
	}
	return out
}

// Fit removes the versions whose context is too small for a prompt and answer
// of the given total tokens. The result may be empty.
func (c Candidates) Fit(tokens int) Candidates {
	fits := func(v *manifest.Version) bool { return v.ContextTokens == 0 || tokens <= v.ContextTokens }
	return Candidates{Versions: keep(c.Versions, fits), Pinned: c.Pinned}
}

// Plannable returns the versions that a plan is made of. A rolling version is
// left out when the version that it replaces is a candidate, because Resolve
// gives it that version's requests by traffic share.
func (c Candidates) Plannable() []*manifest.Version {
	return keep(c.Versions, func(v *manifest.Version) bool { return c.replaced(v) == nil })
}

// Resolve returns the version that serves a planned version: a rolling
// successor for its traffic share of keys, else the planned version. share is
// the present traffic share, from 0 to 1, of a rolling version. The same key
// stays with a successor while its share rises.
func (c Candidates) Resolve(planned, key string, share func(version string) float64) string {
	if c.Pinned {
		return planned
	}
	for _, v := range c.Versions {
		old := c.replaced(v)
		if old != nil && old.Name == planned && unitHash(v.Name, key) < share(v.Name) {
			return v.Name
		}
	}
	return planned
}

// replaced returns the candidate that a rolling version replaces, or nil.
func (c Candidates) replaced(v *manifest.Version) *manifest.Version {
	if v.Phase != api.PhaseRolling || v.Previous == "" || v.Previous == v.Name {
		return nil
	}
	for _, old := range c.Versions {
		if old.Name == v.Previous && old.Phase == api.PhaseServing {
			return old
		}
	}
	return nil
}

// unitHash maps a pair of strings evenly to [0, 1).
func unitHash(a, b string) float64 {
	return float64(pairHash(a, b)>>11) / (1 << 53)
}

// pairHash hashes a pair of strings without allocating.
func pairHash(a, b string) uint64 {
	return mix(xxhash.Sum64String(a) ^ mix(xxhash.Sum64String(b)))
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
