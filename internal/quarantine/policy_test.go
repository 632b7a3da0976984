package quarantine

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sound parts that are condemned because workers end for other reasons: 100 days of
// half a minute, with up to 30% of the workers ending in a minute, alone and many at a time.
func TestCrashesCondemnNoSoundPart(t *testing.T) {
	for seed := range uint64(100) {
		m := model{gateways: 4, workers: 9, perSecond: 70, crashesPerMinute: []float64{0.05, 0.3}[seed%2], massCrash: []float64{0, 0.3, 0.5}[seed%3], length: 30 * time.Second, seed: seed}
		if out := m.run(); out.condemnedSound > 0 {
			t.Errorf("seed %d: %d sound parts were condemned", seed, out.condemnedSound)
		}
	}
}

// Guards against requests that end workers for as long as they come, at any share.
func TestFatalPartsStopEndingWorkers(t *testing.T) {
	for i, share := range []float64{0.005, 0.05, 0.3, 0.5} {
		m := model{gateways: 4, workers: 9, perSecond: 70, fatalShare: share, fatalParts: 1, crashesPerMinute: 0.1, length: 40 * time.Second, seed: uint64(i)}
		out := m.run()
		assert.Assert(t, out.late <= 3, "share %v: %d workers ended late, %d in all", share, out.late, out.ends)
		assert.Equal(t, out.condemnedSound, 0)
	}
}

// Guards against parts that end workers for as long as they come because requests with them finished
// before they turned fatal, and against sound parts that are condemned instead.
func TestPartsThatTurnFatalStopEndingWorkers(t *testing.T) {
	for seed := range uint64(24) {
		m := model{gateways: 4, workers: 9, perSecond: 70, fatalShare: []float64{0.02, 0.05, 0.1, 0.3}[seed%4], fatalParts: 1 + int(seed%2), crashesPerMinute: []float64{0, 0, 0.3}[seed%3], turnsFatalAt: 15 * time.Second, length: 40 * time.Second, seed: 200 + seed}
		out := m.run()
		t.Logf("seed %d: %+v", m.seed, out)
		assert.Assert(t, out.late <= 3, "seed %d: %d workers ended late, %d in all", m.seed, out.late, out.ends)
		assert.Equal(t, out.condemnedSound, 0, "seed %d", m.seed)
		assert.Assert(t, out.refused*50 <= out.sound, "seed %d: %d of %d sound requests were refused", m.seed, out.refused, out.sound)
	}
}

// Guards against sound first parts of prompts that stay condemned for ends that fatal parts behind them explain.
func TestSoundPartIsAcquittedOnceFatalOnesExplainItsEnds(t *testing.T) {
	few := model{gateways: 3, workers: 5, perSecond: 40, fatalParts: 2}
	many := model{gateways: 3, workers: 9, perSecond: 70, fatalShare: 0.5, fatalParts: 5, crashesPerMinute: 0.3}
	for _, c := range []struct {
		model
		share, crashes float64
		turnsFatalAt   time.Duration
		seeds          []uint64
	}{
		{few, 0.1, 0, 0, []uint64{61, 99}},
		{few, 0.5, 0.3, 0, []uint64{27, 65}},
		{few, 0.3, 0.3, 8 * time.Second, []uint64{120}},
		{many, 0.5, 0.3, 0, []uint64{10, 12, 14, 15, 20, 67, 89, 104, 129, 142}},
	} {
		for _, seed := range c.seeds {
			m := c.model
			m.fatalShare, m.crashesPerMinute, m.turnsFatalAt = c.share, c.crashes, c.turnsFatalAt
			m.seed, m.length, m.maxRecords = seed, 20*time.Second, 256
			out := m.run()
			assert.Check(t, out.stillCondemned == 0, "seed %d: %d sound parts are condemned, %d of %d sound requests were refused", seed, out.stillCondemned, out.refused, out.sound)
		}
	}
}

// Guards against sound first parts that stay condemned because a worker ended on its own under one of their requests.
func TestSoundPartWithAnotherEndIsAcquitted(t *testing.T) {
	for _, seed := range []uint64{13, 137} {
		m := model{gateways: 3, workers: 9, perSecond: 70, fatalShare: 0.5, fatalParts: 5, crashesPerMinute: 0.3, length: 20 * time.Second, seed: seed, maxRecords: 256}
		out := m.run()
		assert.Check(t, out.stillCondemned == 0, "seed %d: %d sound parts are condemned, %d of %d sound requests were refused", seed, out.stillCondemned, out.refused, out.sound)
	}
}

// Guards against sound parts that are condemned in a large fleet because the records of their requests
// arrive before those of the fatal ones on the same workers.
func TestFatalPartOfLargeFleetCondemnsNoSoundPart(t *testing.T) {
	for seed := range uint64(3) {
		m := model{gateways: 28, workers: 250, perSecond: 700, fatalShare: 0.1, fatalParts: 1, length: 9 * time.Second, seed: seed}
		out := m.run()
		assert.Equal(t, out.condemnedSound, 0, "seed %d: %d workers ended", seed, out.ends)
	}
}

// fleetSize is the size of a modelled fleet.
type fleetSize struct {
	gateways, workers int
	perSecond         float64
}

// Guards against sound requests that are condemned because their callers repeat them after they were cut, beside a fatal
// part, ordinary ends and ends of many workers at one moment.
func TestRepeatedSoundRequestsAreNotCondemned(t *testing.T) {
	checkRepeatedSoundRequests(t, fleetSize{3, 9, 70})
}

// Guards against the same in large fleets, where the evidence of a second fills more than a message.
func TestRepeatedSoundRequestsOfLargeFleetsAreNotCondemned(t *testing.T) {
	if !*fullModel {
		t.Skip("takes some minutes: run it with -full-model")
	}
	checkRepeatedSoundRequests(t, fleetSize{29, 250, 700}, fleetSize{103, 910, 4800})
}

// fullModel makes the models of large fleets play.
var fullModel = flag.Bool("full-model", false, "play the models of large fleets, which takes some minutes")

func checkRepeatedSoundRequests(t *testing.T, sizes ...fleetSize) {
	t.Helper()
	for _, s := range sizes {
		for i, c := range []model{{crashesPerMinute: 0.3}, {massCrash: 0.5}, {fatalShare: 0.05, fatalParts: 1}, {fatalShare: 0.3, fatalParts: 2, crashesPerMinute: 0.3}} {
			c.gateways, c.workers, c.perSecond = s.gateways, s.workers, s.perSecond
			c.repeatsCut, c.maxRecords, c.length, c.seed = true, 256, 12*time.Second, uint64(300+i)
			out := c.run()
			t.Logf("%d gateways, kind %d: %+v", s.gateways, i, out)
			assert.Check(t, out.condemnedWholes == 0, "%d gateways, kind %d: %d sound requests were condemned", s.gateways, i, out.condemnedWholes)
			assert.Check(t, out.condemnedSound == 0, "%d gateways, kind %d: %d sound parts were condemned", s.gateways, i, out.condemnedSound)
			assert.Check(t, out.late <= 3*max(c.fatalParts, 1), "%d gateways, kind %d: %d workers ended late, %d in all", s.gateways, i, out.late, out.ends)
		}
	}
}

// TestPolicyQuarantine prints the ended workers and the sound requests refused over the share of fatal
// requests, the number of fatal parts, ordinary ends and the size of the fleet. Run it with -v.
func TestPolicyQuarantine(t *testing.T) {
	type size struct {
		gateways, workers int
		perSecond         float64
	}
	sizes := []size{{3, 9, 70}, {28, 250, 700}, {103, 910, 2400}}
	if !testing.Verbose() {
		sizes = sizes[:1]
	}
	t.Logf("gateways workers  share parts ends/min |  ended per part, mean (most)  late  sound condemned  sound refused")
	for _, s := range sizes {
		for _, share := range []float64{0.005, 0.05, 0.5} {
			for _, parts := range []int{1, 5} {
				for _, crashes := range []float64{0, 0.3} {
					var sum modelResult
					most, seeds := 0, 5
					for seed := range uint64(seeds) {
						m := model{gateways: s.gateways, workers: s.workers, perSecond: s.perSecond, fatalShare: share, fatalParts: parts, crashesPerMinute: crashes, length: 20 * time.Second, seed: seed + 100, maxRecords: 256}
						out := m.run()
						sum.ends, sum.late, sum.condemnedSound = sum.ends+out.ends, sum.late+out.late, sum.condemnedSound+out.condemnedSound
						sum.sound, sum.refused = sum.sound+out.sound, sum.refused+out.refused
						most = max(most, out.ends)
					}
					t.Logf("%8d %7d %6.3f %5d %8.1f | %6.1f (%.1f) %17d %10d %18.5f", s.gateways, s.workers, share, parts, crashes,
						float64(sum.ends)/float64(seeds*parts), float64(most)/float64(parts), sum.late, sum.condemnedSound, float64(sum.refused)/float64(sum.sound))
				}
			}
		}
	}
}
