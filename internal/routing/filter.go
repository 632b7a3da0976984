// Package routing determines the versions that may serve a request and chooses a
// backend server for it. It does no I/O: the current time, the random source and
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

// AutoModel is the model name with which a request leaves the choice of the model
// to its class.
const AutoModel = "auto"

// Candidates are the versions that may serve one request, in manifest order.
type Candidates struct {
	// Versions is not empty in a result of Filter without an error.
	Versions []*manifest.Version
	// Pinned is set when the caller's session fixes the version.
	Pinned bool
}

// Filter returns the versions that may serve a request. model is the name of a
// model or a version, or AutoModel. class may be nil. pin is the version of the
// caller's session; empty means no session. available reports whether a backend
// server accepts requests for a version.
//
// When no version is left, the kind of the error names the filter that removed
// the last one: unknown_model, forbidden_version, version_withdrawn,
// no_candidate, or session_invalid for a session whose version does not exist or
// does not match model.
func Filter(snapshot *manifest.Snapshot, customer, model string, class *api.Class, pin string, available func(version string) bool) (Candidates, *errkind.Error) {
	if pin != "" {
		return filterPinned(snapshot, customer, model, pin, available)
	}
	named, refusal := namedVersions(snapshot, model, class)
	if refusal != nil {
		return Candidates{}, refusal
	}
	allowed := filterVersions(named, func(v *manifest.Version) bool { return snapshot.AllowsVersion(customer, v.Name) })
	if len(allowed) == 0 {
		return Candidates{}, errkind.New(errkind.ForbiddenVersion, fmt.Sprintf("customer %q is not allowed to use any version of %q", customer, model))
	}
	open := filterVersions(allowed, acceptsNewWork)
	if len(open) == 0 {
		return Candidates{}, errkind.New(errkind.VersionWithdrawn, fmt.Sprintf("every version of %q that the customer may use is closing or withdrawn", model))
	}
	return onlyAvailable(open, model, false, available)
}

func filterPinned(snapshot *manifest.Snapshot, customer, model, pin string, available func(version string) bool) (Candidates, *errkind.Error) {
	v, ok := snapshot.Version(pin)
	if !ok {
		return Candidates{}, errkind.New(errkind.SessionInvalid, fmt.Sprintf("version %q, to which the session is pinned, does not exist", pin))
	}
	if model != "" && model != AutoModel && model != v.Name && model != v.Model {
		return Candidates{}, errkind.New(errkind.SessionInvalid, fmt.Sprintf("the session is pinned to version %q and cannot use %q", pin, model))
	}
	if !snapshot.AllowsVersion(customer, pin) {
		return Candidates{}, errkind.New(errkind.ForbiddenVersion, fmt.Sprintf("customer %q is not allowed to use version %q", customer, pin))
	}
	if !acceptsPinnedSession(v) {
		return Candidates{}, errkind.New(errkind.VersionWithdrawn, fmt.Sprintf("version %q, to which the session is pinned, is withdrawn", pin))
	}
	return onlyAvailable([]*manifest.Version{v}, pin, true, available)
}

func onlyAvailable(versions []*manifest.Version, model string, pinned bool, available func(version string) bool) (Candidates, *errkind.Error) {
	ready := filterVersions(versions, func(v *manifest.Version) bool { return available(v.Name) })
	if len(ready) == 0 {
		return Candidates{}, errkind.New(errkind.NoCandidate, fmt.Sprintf("no backend server accepts requests for %q", model))
	}
	return Candidates{Versions: ready, Pinned: pinned}, nil
}

// namedVersions returns the versions of a model, of a class for AutoModel, or the
// single version with that name.
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

func acceptsPinnedSession(v *manifest.Version) bool {
	return acceptsNewWork(v) || v.Phase == api.PhaseClosing
}

func filterVersions(versions []*manifest.Version, accept func(*manifest.Version) bool) []*manifest.Version {
	out := make([]*manifest.Version, 0, len(versions))
	for _, v := range versions {
		if accept(v) {
			out = append(out, v)
		}
	}
	return out
}

// WithinContext returns the candidates without the versions whose context is smaller than
// tokens, the sum of prompt and answer. The result may be empty.
func (c Candidates) WithinContext(tokens int) Candidates {
	fitsContext := func(v *manifest.Version) bool { return v.ContextTokens == 0 || tokens <= v.ContextTokens }
	return Candidates{Versions: filterVersions(c.Versions, fitsContext), Pinned: c.Pinned}
}

// Plannable returns the versions that a cascade plan may use. A rolling version
// is left out when the version that it replaces is also a candidate, because it gets
// a share of the requests planned for that version.
func (c Candidates) Plannable() []*manifest.Version {
	return filterVersions(c.Versions, func(v *manifest.Version) bool { return c.predecessor(v) == nil })
}

// ResolveRollout returns the version that serves a request planned for a version: the
// rolling version that replaces it for a share of the keys, else the planned
// version. share returns the current traffic share of a rolling version, from 0
// to 1. A key that is assigned to a rolling version stays there while the share
// rises.
func (c Candidates) ResolveRollout(planned, key string, share func(version string) float64) string {
	if c.Pinned {
		return planned
	}
	for _, v := range c.Versions {
		predecessor := c.predecessor(v)
		if predecessor != nil && predecessor.Name == planned && unitHash(v.Name, key) < share(v.Name) {
			return v.Name
		}
	}
	return planned
}

// predecessor returns the serving candidate that a rolling version replaces, or
// nil.
func (c Candidates) predecessor(v *manifest.Version) *manifest.Version {
	if v.Phase != api.PhaseRolling || v.Previous == "" || v.Previous == v.Name {
		return nil
	}
	for _, candidate := range c.Versions {
		if candidate.Name == v.Previous && candidate.Phase == api.PhaseServing {
			return candidate
		}
	}
	return nil
}

// unitHash maps a pair of strings to a uniformly distributed value in [0, 1).
func unitHash(a, b string) float64 {
	return float64(pairHash(a, b)>>11) / (1 << 53)
}

// pairHash hashes a pair of strings without allocating.
func pairHash(a, b string) uint64 {
	return splitMix64(xxhash.Sum64String(a) ^ splitMix64(xxhash.Sum64String(b)))
}

// splitMix64 is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
