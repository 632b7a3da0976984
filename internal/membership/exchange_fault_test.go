package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/manifest"
)

const (
	faultSize = 160
	// storeReads is the stated capacity of the store in reads per second, which the
	// processes of the target size share.
	storeReads = 2000.0
)

// Guards against processes that start during an outage staying without a
// manifest, against a flood of calls to a store that is down, and against the
// first change after the outage taking more than 3 s.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	s := started(t, faultSize, 0.1, 2)
	held := s.procs[0].Revision()
	s.setDown(true)
	s.run(15 * time.Second)
	for i := range s.procs {
		if i%simDomains == 1 {
			s.restart(i)
		}
	}
	took := s.runUntil(held, 10*time.Second)
	assert.Assert(t, took <= inForce, "restarted processes took %v", took)
	s.run(5 * time.Second)
	from, calls := s.now, s.storeCalls
	s.run(20 * time.Second)
	rate := float64(s.storeCalls-calls) / s.now.Sub(from).Seconds()
	alarms := s.alarmed(AlarmStoreUnreachable)
	s.down = false
	after := s.runUntil(s.commit(1, false), 10*time.Second)
	t.Logf("%d processes: restarted domain has the manifest after %v; %.1f store calls/s in the outage, %d watchers; first change after it %v",
		faultSize, took, rate, s.watchers(), after)
	assert.Assert(t, alarms > 0)
	assert.Assert(t, rate <= storeReads*faultSize/targetSize, "%.1f calls/s", rate)
	assert.Assert(t, after <= inForce, "change after outage took %v", after)
	s.run(inForce)
	assert.Equal(t, s.alarmed(AlarmStoreUnreachable), 0)
	s.check(t)
}

// Guards against a restored or rolled back store changing what is in force, also
// at processes that start afterwards, and against the alarm being missing or
// staying.
func TestStoreRestoredOrRolledBack(t *testing.T) {
	t.Parallel()
	for _, generation := range []int64{2, 1} {
		s := started(t, faultSize, 0.1, 3)
		old := s.object
		var held api.Revision
		for range 3 {
			held = s.commit(1, false)
			s.runUntil(held, 10*time.Second)
		}
		s.restore(old, generation)
		s.run(2 * time.Second)
		assert.Assert(t, s.alarmed(AlarmStoreRestored) > 0)
		assert.Assert(t, s.all(held))
		for i := range s.procs {
			if i%simDomains == 2 {
				s.restart(i)
			}
		}
		s.run(10 * time.Second)
		assert.Assert(t, s.all(held), "a restarted process took the restored manifest")
		for _, x := range s.procs {
			if x.Watching() {
				assert.Equal(t, len(x.Alarms()), 1, "%v", x.Alarms())
			}
		}
		next := s.commit(2, false)
		assert.Assert(t, manifest.Newer(next, held))
		took := s.runUntil(next, 10*time.Second)
		assert.Assert(t, took <= inForce, "change after restore took %v", took)
		for _, x := range s.procs {
			if x.Watching() {
				assert.Equal(t, len(x.Alarms()), 0, "%v", x.Alarms())
			}
		}
		s.check(t)
	}
}

// Guards against an invalid manifest being applied, being checked again and
// again, or keeping the next valid one out.
func TestInvalidManifestInStore(t *testing.T) {
	t.Parallel()
	s := started(t, faultSize, 0.1, 4)
	held := s.procs[0].Revision()
	bad := s.commit(1, true)
	s.run(10 * time.Second)
	assert.Assert(t, s.all(held))
	assert.Assert(t, s.rejected[bad] > 0 && s.rejected[bad] <= s.watchers(), "%d rejections", s.rejected[bad])
	for _, x := range s.procs {
		if x.Watching() {
			assert.Equal(t, x.Rejected()[0].Revision, bad)
			assert.Equal(t, len(x.Alarms()), 1)
		}
	}
	took := s.runUntil(s.commit(1, false), 10*time.Second)
	assert.Assert(t, took <= inForce, "%v", took)
	assert.Equal(t, s.alarmed(AlarmManifestRejected), 0)
	s.check(t)
}

// Guards against a change staying unseen when watchers die before the instance
// list shows it, and against many processes watching from then on.
func TestWatchersDie(t *testing.T) {
	t.Parallel()
	s := started(t, faultSize, 0.1, 5)
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
	assert.Assert(t, took <= inForce, "with one domain's watchers left: %v", took)
	s.run(5 * time.Second)
	for domain := range simDomains {
		kill(domain)
	}
	// The 3 s count from the time a process may appoint itself.
	took = s.runUntil(s.commit(1, false), 30*time.Second)
	s.run(15 * time.Second)
	t.Logf("%d processes: with every watcher dead a change took %v; %d watchers after that", faultSize, took, s.watchers())
	assert.Assert(t, took <= defaultWatchSilence+inForce, "%v", took)
	assert.Assert(t, s.watchers() <= 2*watchersPerDomain*simDomains, "%d watchers", s.watchers())
	s.check(t)
}

// Guards against a store that starts empty or away leaving processes without a
// manifest once it is there.
func TestColdStartDuringOutage(t *testing.T) {
	t.Parallel()
	s := newSim(faultSize, 0.1, 6)
	s.setDown(true)
	s.run(20 * time.Second)
	assert.Assert(t, s.all(api.Revision{}))
	s.down = false
	first := s.commit(1, false)
	took := s.runUntil(first, 30*time.Second)
	t.Logf("%d processes: cold start ends %v after the store is back", faultSize, took)
	assert.Assert(t, s.all(first))
	s.check(t)
}

// Guards against a cut-back, a figure of demand or a state change not reaching
// those who need it within seconds.
func TestNewsReachMembers(t *testing.T) {
	t.Parallel()
	s := started(t, faultSize, 0.1, 7)
	s.run(30 * time.Second)
	s.handle(3, CutBackDecided{CutBack: api.CutBack{Version: "draft-large-4", Reason: "errors", Origin: "instance-0003", Revision: s.procs[3].Revision()}})
	s.run(inForce)
	assert.Equal(t, s.cutBacks, faultSize-1)
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
	t.Logf("%d processes: %d unaware of a leaving member after 10 s of digests alone", faultSize, unaware)
	assert.Assert(t, unaware <= faultSize/20, "%d unaware", unaware)
	s.check(t)
}

// Guards against a region that was cut off for minutes staying behind once it is
// back, and against it changing anything of its own meanwhile.
func TestRegionsLoseContact(t *testing.T) {
	t.Parallel()
	s := started(t, faultSize, 0.1, 9)
	held := s.procs[0].Revision()
	s.cut = true
	for i := range s.watches {
		if s.regionOf(i) != 0 {
			delete(s.watches, i)
			s.post(i, s.lives[i], StoreFailed{}, 0)
		}
	}
	next := s.commit(1, false)
	s.run(inForce)
	for i, x := range s.procs {
		if s.regionOf(i) == 0 {
			assert.Equal(t, x.Revision(), next)
		} else {
			assert.Equal(t, x.Revision(), held)
		}
	}
	s.run(3 * time.Minute)
	s.cut = false
	took := s.runUntil(next, 20*time.Second)
	t.Logf("%d processes: a region cut off for 3 min is up to date %v after contact", faultSize, took)
	assert.Assert(t, took <= inForce, "%v", took)
	s.check(t)
}
