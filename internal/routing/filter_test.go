package routing_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/routing"
)

const filterManifest = `{
  "schemaVersion": 1,
  "operators": [{"name": "op", "keyHash": "0000000000000000000000000000000000000000000000000000000000000000"}],
  "customers": [
    {"name": "all", "keyHashes": ["1111111111111111111111111111111111111111111111111111111111111111"], "models": ["small", "large"]},
    {"name": "one", "keyHashes": ["2222222222222222222222222222222222222222222222222222222222222222"], "versions": ["small-1"]}
  ],
  "models": [
    {"name": "small", "versions": [
      {"name": "small-1", "phase": "serving", "costPerKiloToken": 1, "contextTokens": 1000},
      {"name": "small-2", "phase": "rolling", "previous": "small-1", "costPerKiloToken": 1},
      {"name": "small-0", "phase": "withdrawn", "costPerKiloToken": 1}]},
    {"name": "large", "versions": [
      {"name": "large-1", "phase": "serving", "costPerKiloToken": 9},
      {"name": "large-0", "phase": "closing", "costPerKiloToken": 9}]},
    {"name": "gone", "versions": [{"name": "gone-1", "phase": "withdrawn", "costPerKiloToken": 1}]}
  ],
  "classes": [
    {"name": "any", "qualityTarget": 0.9, "deadlineMs": 1000, "weighting": "latency"},
    {"name": "small-only", "qualityTarget": 0.9, "deadlineMs": 1000, "weighting": "latency", "models": ["small"]}
  ],
  "rollouts": [{"version": "small-2", "steps": [0.5, 1]}]
}`

func filterSnapshot(t *testing.T) *manifest.Snapshot {
	t.Helper()
	s, err := manifest.Compile([]byte(filterManifest), api.Revision{Generation: 1, Version: 1})
	assert.NilError(t, err)
	return s
}

func alwaysAvailable(string) bool { return true }

func names(c routing.Candidates) []string {
	var out []string
	for _, v := range c.Versions {
		out = append(out, v.Name)
	}
	return out
}

// Guards against a candidate that the customer, the class, the session or the
// phase of the version does not allow, and against an error of the wrong kind.
func TestFilter(t *testing.T) {
	s := filterSnapshot(t)
	for _, c := range []struct {
		customer, model, class, pin string
		want                        []string
		refusal                     errkind.Kind
	}{
		{customer: "all", model: "auto", class: "any", want: []string{"small-1", "small-2", "large-1"}},
		{customer: "all", model: "auto", class: "small-only", want: []string{"small-1", "small-2"}},
		{customer: "all", model: "large", class: "small-only", want: []string{"large-1"}},
		{customer: "all", model: "small-2", want: []string{"small-2"}},
		{customer: "one", model: "auto", want: []string{"small-1"}},
		{customer: "one", model: "small", want: []string{"small-1"}},
		{customer: "one", model: "large", refusal: errkind.ForbiddenVersion},
		{customer: "one", model: "small-2", refusal: errkind.ForbiddenVersion},
		{customer: "nobody", model: "auto", refusal: errkind.ForbiddenVersion},
		{customer: "all", model: "huge", refusal: errkind.UnknownModel},
		{customer: "all", model: "large-0", refusal: errkind.VersionWithdrawn},
		{customer: "all", model: "small-0", refusal: errkind.VersionWithdrawn},
		{customer: "all", model: "auto", pin: "large-0", want: []string{"large-0"}},
		{customer: "all", model: "large", pin: "large-0", want: []string{"large-0"}},
		{customer: "all", model: "small", pin: "large-0", refusal: errkind.SessionInvalid},
		{customer: "all", model: "auto", pin: "small-0", refusal: errkind.VersionWithdrawn},
		{customer: "all", model: "auto", pin: "never", refusal: errkind.SessionInvalid},
		{customer: "one", model: "auto", pin: "large-0", refusal: errkind.ForbiddenVersion},
	} {
		t.Run(fmt.Sprint(c.customer, " ", c.model, " ", c.class, " ", c.pin), func(t *testing.T) {
			class, _ := s.Class(c.class)
			got, refusal := routing.Filter(s, c.customer, c.model, class, c.pin, alwaysAvailable)
			if c.refusal != "" {
				assert.Assert(t, refusal != nil)
				assert.Equal(t, refusal.Kind, c.refusal)
				assert.Equal(t, refusal.RunState, api.RunStateNotRun)
				return
			}
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.DeepEqual(t, names(got), c.want)
			assert.Equal(t, got.Pinned, c.pin != "")
		})
	}
}

// Guards against an error that names the customer's rights as the cause when no
// backend server is available.
func TestFilterWithoutServers(t *testing.T) {
	_, refusal := routing.Filter(filterSnapshot(t), "all", "auto", nil, "", func(string) bool { return false })
	assert.Equal(t, refusal.Kind, errkind.NoCandidate)
	got, refusal := routing.Filter(filterSnapshot(t), "all", "auto", nil, "", func(v string) bool { return v == "large-1" })
	assert.Assert(t, refusal == nil)
	assert.DeepEqual(t, names(got), []string{"large-1"})
}

// Guards against a request that is sent to a version whose context is too small.
func TestWithinContext(t *testing.T) {
	got, refusal := routing.Filter(filterSnapshot(t), "all", "small", nil, "", alwaysAvailable)
	assert.Assert(t, refusal == nil)
	assert.DeepEqual(t, names(got.WithinContext(1000)), []string{"small-1", "small-2"})
	assert.DeepEqual(t, names(got.WithinContext(1001)), []string{"small-2"})
}

// Guards against a rolling version that gets more or less than its traffic share,
// that gets requests of pinned sessions, or that loses keys while its share rises.
func TestResolveTrafficShare(t *testing.T) {
	got, refusal := routing.Filter(filterSnapshot(t), "all", "auto", nil, "", alwaysAvailable)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, len(got.Plannable()), 2)
	const keys = 20_000
	onSuccessor := map[string]bool{}
	for _, share := range []float64{0, 0.05, 0.3, 1} {
		moved := 0
		for k := range keys {
			key := fmt.Sprint("session-", k)
			v := got.ResolveRollout("small-1", key, func(string) float64 { return share })
			assert.Assert(t, v == "small-2" || !onSuccessor[key], "key %s left the rolling version at a higher share", key)
			if v == "small-2" {
				onSuccessor[key] = true
				moved++
			}
		}
		assert.Assert(t, float64(moved) >= (share-0.01)*keys && float64(moved) <= (share+0.01)*keys, "share %v moved %d", share, moved)
	}
	assert.Equal(t, got.ResolveRollout("large-1", "k", func(string) float64 { return 1 }), "large-1")
	pinned, _ := routing.Filter(filterSnapshot(t), "all", "auto", nil, "small-1", alwaysAvailable)
	assert.Equal(t, pinned.ResolveRollout("small-1", "k", func(string) float64 { return 1 }), "small-1")
}
