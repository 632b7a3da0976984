package news

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
)

// Guards against a gateway that exchanges across failure domains although its own relay answers, that
// keeps to a relay which does not answer, and that has none to ask while all are backed off.
func TestRelayOfOwnDomainIsChosen(t *testing.T) {
	var clock manualClock
	c := NewRelayChoice("gateway", "a", []string{"1", "2", "3"}, clock.elapsed)
	domains := map[string]string{"1": "b", "2": "a", "3": "c"}
	for range 3 {
		c.SetDomain(c.Current(), domains[c.Current()])
	}
	assert.Equal(t, c.Current(), "2")
	backoff, wasUsed := c.BackOff("2", context.DeadlineExceeded)
	assert.Assert(t, wasUsed && backoff == silentBackoff)
	other := c.Current()
	assert.Assert(t, other == "1" || other == "3")
	clock.now.Add(int64(silentBackoff))
	assert.Equal(t, c.Current(), "2")

	c.BackOff("2", errors.New("refused"))
	c.BackOff("1", context.DeadlineExceeded)
	c.BackOff("3", context.DeadlineExceeded)
	assert.Equal(t, c.Current(), "")
	assert.Equal(t, c.Next(), "2")
	clock.now.Add(int64(time.Second))
	assert.Equal(t, c.Current(), "2")
}

// Guards against a packed answer that reaches a gateway which cannot read it, that says something else
// than the answer itself, or that ends its reader.
func TestPackedAnswersAreForReaders(t *testing.T) {
	var p resultPacker
	result := &api.LoadsResult{Loads: "AQE=", Gateways: 3, NextMs: 200, QuarantineVersion: 7}
	for range 20 {
		result.Evidence = append(result.Evidence, api.RolloutEvidence{Rollout: "svc/v2@1", Origin: "gateway", Workers: "", Kinds: ""})
	}
	assert.Equal(t, p.pack(result, false), result)
	packed := p.pack(result, true)
	assert.Assert(t, packed.Packed != "" && packed.Evidence == nil)
	got, err := unpack(packed)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, result)
	short := &api.LoadsResult{Loads: "AQE=", Gateways: 3, NextMs: 200}
	assert.Equal(t, p.pack(short, true), short)
	for _, bad := range []string{"*", "AAAA", "AQAA"} {
		_, err := unpack(&api.LoadsResult{Packed: bad})
		assert.Assert(t, err != nil, bad)
	}
}
