package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

const (
	// faultTestSize is the number of simulated processes.
	faultTestSize = 160
	// storeReadsPerSecond is the stated read capacity of the store, shared by the
	// processes of the target size.
	storeReadsPerSecond = 2000.0
)

// Guards against processes that start during a store outage staying without a
// manifest, against too many calls to a store that is down, and against the first
// change after the outage taking more than 3 s.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	s := startedSim(t, faultTestSize, 0.1, 2)
	current := s.procs[0].Revision()
	s.setStoreDown(true)
	s.run(15 * time.Second)
	for i := range s.procs {
		if i%simDomains == 1 {
			s.restart(i)
		}
	}
	took := s.runUntil(current, 10*time.Second)
	assert.Assert(t, took <= maxPropagationTime, "restarted processes got the manifest after %v, want at most 3s", took)
	s.run(5 * time.Second)
	from, calls := s.now, s.storeCalls
	s.run(20 * time.Second)
	rate := float64(s.storeCalls-calls) / s.now.Sub(from).Seconds()
	alarms := s.countAlarmed(AlarmStoreUnreachable)
	s.storeDown = false
	firstChange := s.runUntil(s.commit(1, false), 10*time.Second)
	t.Logf("%d processes: restarted domain has the manifest after %v; %.1f store calls/s during the outage, %d watchers; first change after the outage in force after %v",
		faultTestSize, took, rate, s.countWatchers(), firstChange)
	assert.Assert(t, alarms > 0)
	assert.Assert(t, rate <= storeReadsPerSecond*faultTestSize/targetSize, "%.1f calls/s", rate)
	assert.Assert(t, firstChange <= maxPropagationTime, "first change after the outage took %v, want at most 3s", firstChange)
	s.run(maxPropagationTime)
	assert.Equal(t, s.countAlarmed(AlarmStoreUnreachable), 0)
	s.assertNoViolations(t)
}

// Guards against a restored or rolled back store changing the manifest in force,
// also in processes that start afterwards. Also guards against the alarm not being
// raised, or not being cleared by the next commit.
func TestStoreRestoredOrRolledBack(t *testing.T) {
	t.Parallel()
	for _, generation := range []int64{2, 1} {
		s := startedSim(t, faultTestSize, 0.1, 3)
		old := s.object
		var current api.Revision
		for range 3 {
			current = s.commit(1, false)
			s.runUntil(current, 10*time.Second)
		}
		s.restore(old, generation)
		s.run(2 * time.Second)
		assert.Assert(t, s.countAlarmed(AlarmStoreRestored) > 0)
		assert.Assert(t, s.allAtRevision(current))
		for i := range s.procs {
			if i%simDomains == 2 {
				s.restart(i)
			}
		}
		s.run(10 * time.Second)
		assert.Assert(t, s.allAtRevision(current), "a restarted process applied the restored manifest")
		for _, x := range s.procs {
			if x.Watching() {
				assert.Equal(t, len(x.Alarms()), 1, "%v", x.Alarms())
			}
		}
		next := s.commit(2, false)
		assert.Assert(t, manifest.IsNewer(next, current))
		took := s.runUntil(next, 10*time.Second)
		assert.Assert(t, took <= maxPropagationTime, "first change after the restore took %v, want at most 3s", took)
		for _, x := range s.procs {
			if x.Watching() {
				assert.Equal(t, len(x.Alarms()), 0, "%v", x.Alarms())
			}
		}
		s.assertNoViolations(t)
	}
}

// Guards against an invalid manifest being applied, being compiled repeatedly, or
// blocking the next valid one.
func TestInvalidManifestInStore(t *testing.T) {
	t.Parallel()
	s := startedSim(t, faultTestSize, 0.1, 4)
	current := s.procs[0].Revision()
	bad := s.commit(1, true)
	s.run(10 * time.Second)
	assert.Assert(t, s.allAtRevision(current))
	assert.Assert(t, s.rejected[bad] > 0 && s.rejected[bad] <= s.countWatchers(), "%d rejections", s.rejected[bad])
	for _, x := range s.procs {
		if x.Watching() {
			assert.Equal(t, x.Rejected()[0].Revision, bad)
			assert.Equal(t, len(x.Alarms()), 1)
		}
	}
	took := s.runUntil(s.commit(1, false), 10*time.Second)
	assert.Assert(t, took <= maxPropagationTime, "valid change took %v, want at most 3s", took)
	assert.Equal(t, s.countAlarmed(AlarmManifestRejected), 0)
	s.assertNoViolations(t)
}

// Guards against a change not being noticed when the watchers die before the
// instance list shows it, and against too many processes watching the store
// afterwards.
func TestAllWatchersDie(t *testing.T) {
	t.Parallel()
	s := startedSim(t, faultTestSize, 0.1, 5)
	kill := func(domain int) {
		for i, x := range s.procs {
			if i%simDomains == domain && x.Watching() {
				s.dead[i] = true
				delete(s.watches, i)
			}
		}
	}
	for domain := 1; domain < simDomains; domain++ {
		kill(domain)
	}
	took := s.runUntil(s.commit(1, false), 10*time.Second)
	assert.Assert(t, took <= maxPropagationTime, "change with the watchers of one domain left took %v, want at most 3s", took)
	s.run(5 * time.Second)
	for domain := range simDomains {
		kill(domain)
	}
	// The 3 s start when unelected processes begin to watch.
	took = s.runUntil(s.commit(1, false), 30*time.Second)
	s.run(15 * time.Second)
	t.Logf("%d processes: change with all watchers dead took %v; %d watchers afterwards", faultTestSize, took, s.countWatchers())
	assert.Assert(t, took <= defaultWatcherTimeout+maxPropagationTime, "change with all watchers dead took %v, want at most 8s", took)
	assert.Assert(t, s.countWatchers() <= 2*watchersPerDomain*simDomains, "%d watchers", s.countWatchers())
	s.assertNoViolations(t)
}

// Guards against processes staying without a manifest when the store is unreachable
// at their start and a manifest is committed later.
func TestColdStartDuringOutage(t *testing.T) {
	t.Parallel()
	s := newSim(faultTestSize, 0.1, 6)
	s.setStoreDown(true)
	s.run(20 * time.Second)
	assert.Assert(t, s.allAtRevision(api.Revision{}))
	s.storeDown = false
	first := s.commit(1, false)
	took := s.runUntil(first, 30*time.Second)
	t.Logf("%d processes: all have a manifest %v after the store recovered", faultTestSize, took)
	assert.Assert(t, s.allAtRevision(first))
	s.assertNoViolations(t)
}

// Guards against a cut-back, a demand measurement or a member's state change not
// reaching the processes that use it within seconds.
func TestUpdatesReachMembers(t *testing.T) {
	t.Parallel()
	s := startedSim(t, faultTestSize, 0.1, 7)
	s.run(30 * time.Second)
	s.handle(3, CutBackDecided{CutBack: api.CutBack{Version: "draft-large-4", Reason: "errors", Origin: "instance-0003", Revision: s.procs[3].Revision()}})
	s.run(maxPropagationTime)
	assert.Equal(t, s.cutBacks, faultTestSize-1)
	s.handle(0, DemandMeasured{Demand: api.Demand{Customer: "c", Origin: "instance-0000", Sequence: 1, Rate: 5}})
	s.run(5 * time.Second)
	assert.Equal(t, s.demands, 2*simDomains-1)
	leaving := s.procs[9].Self()
	leaving.State = api.MemberStateLeaving
	s.handle(9, SelfChanged{Member: leaving})
	s.run(10 * time.Second)
	unaware := 0
	for i, x := range s.procs {
		if r, ok := x.Table().Get(s.now, leaving.Instance); i != 9 && (!ok || r.State != api.MemberStateLeaving) {
			unaware++
		}
	}
	t.Logf("%d processes: %d do not know of a leaving member after 10 s, by digests alone", faultTestSize, unaware)
	assert.Assert(t, unaware <= faultTestSize/20, "%d processes do not know of the leaving member", unaware)
	s.assertNoViolations(t)
}

// Guards against a region that was partitioned for minutes not catching up
// afterwards, and against it changing its manifest during the partition.
func TestRegionPartition(t *testing.T) {
	t.Parallel()
	s := startedSim(t, faultTestSize, 0.1, 9)
	current := s.procs[0].Revision()
	s.partitioned = true
	for i := range s.watches {
		if s.regionOf(i) != 0 {
			delete(s.watches, i)
			s.enqueue(i, s.incarnations[i], StoreFailed{}, 0)
		}
	}
	next := s.commit(1, false)
	s.run(maxPropagationTime)
	for i, x := range s.procs {
		if s.regionOf(i) == 0 {
			assert.Equal(t, x.Revision(), next)
		} else {
			assert.Equal(t, x.Revision(), current)
		}
	}
	s.run(3 * time.Minute)
	s.partitioned = false
	took := s.runUntil(next, 20*time.Second)
	t.Logf("%d processes: a region partitioned for 3 min is up to date %v after the partition", faultTestSize, took)
	assert.Assert(t, took <= maxPropagationTime, "region took %v after the partition, want at most 3s", took)
	s.assertNoViolations(t)
}
