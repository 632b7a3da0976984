package news

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/borageflow/borageflow/internal/peer"
	"github.com/borageflow/borageflow/internal/quarantine"
	"github.com/borageflow/borageflow/internal/rollout"
)

func evidenceOf(answers int) rollout.Evidence {
	return rollout.Evidence{Workers: rollout.Tallies{7: {Answers: answers}}, Kinds: rollout.Tallies{9: {Answers: answers}}, Baseline: &rollout.RatioHistogram{3: answers}}
}

// Guards against evidence that depends on the order, the way or the number of times in which
// records arrive.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*EvidenceTable{NewEvidenceTable(0), NewEvidenceTable(1000)}
		highest := map[string]int{}
		since, source := []int64{0, 0}, []quarantine.Source{1, 2}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			to := rapid.IntRange(0, 1).Draw(t, "relay")
			if rapid.Bool().Draw(t, "fetch") {
				records, version := tables[1-to].ChangedSince(since[to], source[to])
				for _, r := range records {
					tables[to].Merge(0, source[1-to], r)
				}
				since[to] = version
				continue
			}
			origin, answers := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "origin")), rapid.IntRange(0, 50).Draw(t, "answers")
			tables[to].Merge(0, quarantine.NoSource, EvidenceRecord{"r", origin, evidenceOf(answers)})
			highest[origin] = max(highest[origin], answers)
		}
		for i := range 2 {
			records, _ := tables[1-i].ChangedSince(since[i], source[i])
			for _, r := range records {
				tables[i].Merge(0, source[1-i], r)
			}
		}
		want := 0
		for origin, answers := range highest {
			if origin != "0" {
				want += answers
			}
		}
		for _, table := range tables {
			assert.Equal(t, table.OthersOf("r", "0").Workers[7].Answers, want)
			assert.Equal(t, table.OthersOf("r", "0").Baseline[3], want)
		}
	})
}

// Guards against a relay that keeps the evidence of rollouts that have ended.
func TestEvidenceOfEndedRolloutsExpires(t *testing.T) {
	table := NewEvidenceTable(0)
	for i := range 3 * maxRollouts {
		table.Merge(Elapsed(i)*time.Second, quarantine.NoSource, EvidenceRecord{fmt.Sprint(i), "g", evidenceOf(1)})
	}
	assert.Assert(t, len(table.rollouts) <= int(evidenceTTL.Seconds())+1, "%d", len(table.rollouts))
}

// Guards against gateways of different relays that do not learn of each other's evidence, and
// against a gateway that gets its own evidence back.
func TestEvidenceReachesGatewaysOfOtherRelays(t *testing.T) {
	var clock manualClock
	var addresses []string
	var relays []*Relay
	for i := range 2 {
		relay := NewRelay(time.Second, clock.elapsed, zap.NewNop())
		address, err := startNamedNode(t, fmt.Sprint("relay-", i), relay).Listen("127.0.0.1:0")
		assert.NilError(t, err)
		relays, addresses = append(relays, relay), append(addresses, address)
	}
	unused := NewRelay(time.Second, clock.elapsed, zap.NewNop())
	gateways := []*peer.Node{startNamedNode(t, "gateway-0", unused), startNamedNode(t, "gateway-1", unused)}
	var got [2]rollout.Evidence
	for range 3 {
		for i := range 2 {
			own := OwnReport{WorkerStats: NewWorkerStats(), Evidence: []EvidenceRecord{{"r", fmt.Sprint("gateway-", i), evidenceOf(10 + i)}}}
			answer, err := ExchangeWithRelay(context.Background(), gateways[i], addresses[i], own)
			assert.NilError(t, err)
			got[i] = answer.Evidence[0].Evidence
			_, err = relays[i].FetchFromRelay(context.Background(), gateways[i], addresses[1-i])
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, got[0].Workers[7].Answers, 11)
	assert.Equal(t, got[1].Kinds[9].Answers, 10)
}
