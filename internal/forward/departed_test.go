package forward

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leaver is a worker that leaves in the tests.
var leaver = Worker{ID: "w", Service: "svc", Address: "a:1", StartUnixMs: 5, Slots: 2}

// listWithRemoved returns a list without an outage from which the leaver was removed at 1 s.
func listWithRemoved(worker Worker) *WorkerList {
	list := NewWorkerList(2 * time.Second)
	list.Replace(0, []WorkerChange{{Worker: worker}})
	list.Apply(time.Second, []WorkerChange{{Worker: Worker{ID: worker.ID}, Removed: true}})
	return list
}

// restore applies the list of an older copy, as the store sends it or as the difference that a relay sends.
func restore(list *WorkerList, now Elapsed, relayed bool, workers ...Worker) {
	list.BeginEra(now)
	list.StoreReached(now)
	changes := make([]WorkerChange, len(workers))
	for i, w := range workers {
		changes[i].Worker = w
	}
	if relayed {
		list.Apply(now, changes)
		return
	}
	list.Replace(now, changes)
}

// Guards against a removed worker that gets requests from an older copy of the store, in which its entry stands, and against
// one that came back or whose entry is renewed, and gets none.
func TestRemovedWorkerStaysOutAcrossEras(t *testing.T) {
	changed := func(edit func(w *Worker)) Worker {
		w := leaver
		edit(&w)
		return w
	}
	removal := []WorkerChange{{Worker: Worker{ID: "w"}, Removed: true}}
	for name, c := range map[string]struct {
		after func(list *WorkerList)
		// usable is the number of workers in use at 6 s.
		usable int
	}{
		"nothing":                    {func(*WorkerList) {}, 0},
		"listed again":               {func(l *WorkerList) { l.Replace(6*time.Second, []WorkerChange{{Worker: leaver}}) }, 0},
		"same entry from a relay":    {func(l *WorkerList) { l.Apply(6*time.Second, []WorkerChange{{Worker: leaver}}) }, 0},
		"removal written again":      {func(l *WorkerList) { l.Apply(6*time.Second, removal) }, 0},
		"next era":                   {func(l *WorkerList) { restore(l, 6*time.Second, false, leaver) }, 0},
		"removal, next era":          {func(l *WorkerList) { l.Apply(5*time.Second, removal); restore(l, 6*time.Second, true, leaver) }, 0},
		"entry of the one before":    {func(l *WorkerList) { restore(l, 6*time.Second, false, changed(func(w *Worker) { w.StartUnixMs = 4 })) }, 0},
		"born again":                 {func(l *WorkerList) { l.Put(changed(func(w *Worker) { w.StartUnixMs = 6 })) }, 1},
		"born again, in an older":    {func(l *WorkerList) { restore(l, 6*time.Second, false, changed(func(w *Worker) { w.StartUnixMs = 6 })) }, 1},
		"another address":            {func(l *WorkerList) { restore(l, 6*time.Second, true, changed(func(w *Worker) { w.Address = "a:2" })) }, 1},
		"writes another entry":       {func(l *WorkerList) { l.Put(changed(func(w *Worker) { w.Slots++ })) }, 1},
		"says that it drains":        {func(l *WorkerList) { l.Put(changed(func(w *Worker) { w.Draining = true })) }, 0},
		"removed, writes its entry":  {func(l *WorkerList) { l.Apply(6*time.Second, removal); l.Put(leaver) }, 1},
		"entry stands, next era too": {func(l *WorkerList) { l.Expire(40 * time.Second); restore(l, 41*time.Second, false, leaver) }, 1},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %v", name, relayed), func(t *testing.T) {
				list := listWithRemoved(leaver)
				restore(list, 5*time.Second, relayed, leaver)
				assert.Equal(t, len(list.Usable(5*time.Second)), 0)
				version := list.Version()
				c.after(list)
				assert.Equal(t, len(list.Usable(6*time.Second)), c.usable)
				if c.usable > 0 {
					assert.Assert(t, list.Version() > version)
				}
			})
		}
	}
}

// Guards against a worker that is kept out although its entry disappeared only because the store had not answered, and
// against one that wrote its entry again before the store came back from an older copy.
func TestWorkerThatDidNotLeaveIsUsedInTheNextEra(t *testing.T) {
	removal := []WorkerChange{{Worker: Worker{ID: "w"}, Removed: true}}
	for name, before := range map[string]func(l *WorkerList){
		"nothing removed":      func(*WorkerList) {},
		"written again":        func(l *WorkerList) { l.Apply(time.Second, removal); l.Put(leaver) },
		"lost in an outage":    func(l *WorkerList) { l.StoreLost(); l.StoreReached(4 * time.Second); l.Replace(4*time.Second, nil) },
		"other at its address": func(l *WorkerList) { l.Drop(time.Second, "w") },
	} {
		t.Run(name, func(t *testing.T) {
			list := NewWorkerList(2 * time.Second)
			list.Replace(0, []WorkerChange{{Worker: leaver}})
			before(list)
			restore(list, 5*time.Second, false, leaver)
			assert.Equal(t, len(list.Usable(5*time.Second)), 1)
		})
	}
	list := NewWorkerList(2 * time.Second)
	list.Replace(0, []WorkerChange{{Worker: leaver}})
	restore(list, 5*time.Second, true)
	list.Apply(5*time.Second, []WorkerChange{{Worker: Worker{ID: "w"}, Removed: true}, {Worker: leaver}})
	assert.Equal(t, len(list.Usable(5*time.Second)), 1, "entry that the copy lacked is written again")
}

// Guards against a withheld worker that is retained when its removal is written again within the grace period, and against
// one that was missing for the whole grace period and is not known to have left.
func TestGracePeriodIsNotThatOfWorkersThatLeft(t *testing.T) {
	list := listWithRemoved(leaver)
	restore(list, 5*time.Second, false, leaver)
	list.Replace(6*time.Second, nil)
	assert.Equal(t, len(list.Usable(6*time.Second)), 0)

	list = NewWorkerList(2 * time.Second)
	list.Replace(0, []WorkerChange{{Worker: leaver}})
	list.StoreLost()
	list.StoreReached(time.Second)
	list.Replace(time.Second, nil)
	assert.Equal(t, len(list.Usable(2*time.Second)), 1)
	list.Expire(3 * time.Second)
	restore(list, 5*time.Second, false, leaver)
	assert.Equal(t, len(list.Usable(5*time.Second)), 0)
}

// Guards against a worker that is kept out for good, and against one that drained and is used since its entry stands.
func TestWithheldWorkerIsUsedOnceItsEntryStands(t *testing.T) {
	drained := leaver
	drained.Draining = true
	for _, c := range []struct {
		worker Worker
		after  time.Duration
	}{{leaver, restoredTime}, {drained, departedTTL}} {
		list := listWithRemoved(c.worker)
		const at = 2 * time.Second
		restore(list, at, false, leaver)
		list.Expire(c.after - time.Second)
		assert.Equal(t, len(list.Usable(c.after)), 0)
		version := list.Version()
		list.Expire(at + c.after)
		assert.Equal(t, len(list.Usable(at+c.after)), 1)
		assert.Assert(t, list.Version() > version)
	}
	list := listWithRemoved(leaver)
	restore(list, time.Hour, false, leaver)
	assert.Equal(t, len(list.Usable(time.Hour)), 1, "removed too long ago")
}

// Guards against memory that grows with each worker that has ever left, and against a drill that forgets the latest ones.
func TestDepartedWorkersAreBounded(t *testing.T) {
	list := NewWorkerList(2 * time.Second)
	var all []Worker
	for i := range 2 * maxDeparted {
		w := leaver
		w.ID = fmt.Sprint(i)
		all = append(all, w)
		list.Put(w)
		list.Remove(time.Duration(i)*time.Millisecond, w.ID)
	}
	assert.Equal(t, list.departed.byID.Len(), maxDeparted)
	restore(list, 20*time.Second, false, all...)
	assert.Equal(t, list.WithheldCount(), maxDeparted)
	usable := list.Usable(20 * time.Second)
	assert.Equal(t, len(usable), maxDeparted)
	for _, w := range all[maxDeparted:] {
		assert.Assert(t, list.departed.isWithheld(w.ID))
	}
	list.Replace(20*time.Second, nil)
	assert.Equal(t, list.WithheldCount(), 0)
	assert.Equal(t, list.departed.byID.Len(), maxDeparted)
}

// Guards against the notice of a worker that is dropped because its entry was removed before, and against notices of all that
// were ever in use, or of workers that were never known.
func TestLeavingIsKeptOfWorkersThatWereInUse(t *testing.T) {
	p := NewPlacer(PlacerOptions{})
	p.SetWorkers([]Worker{leaver})
	p.SetWorkers(nil)
	assert.Assert(t, !p.RecordLeaving(time.Second, "other"))
	assert.Assert(t, p.RecordLeaving(time.Second, "w"))
	assert.Assert(t, !p.RecordLeaving(time.Second, "w"))
	assert.Assert(t, !p.RecordPause(time.Second, "other", time.Second))
	p.SetWorkers([]Worker{leaver})
	assert.Equal(t, p.NoticeCounts(2*time.Second).Leaving, 1)
	again := leaver
	again.StartUnixMs++
	p.SetWorkers([]Worker{again})
	assert.Equal(t, p.NoticeCounts(2*time.Second).Leaving, 0)

	for i := range 2 * maxNotices {
		w := leaver
		w.ID = fmt.Sprint(i)
		p.SetWorkers([]Worker{w})
	}
	for i := range 2 * maxNotices {
		p.RecordLeaving(3*time.Second, fmt.Sprint(i))
	}
	assert.Assert(t, p.former.Len() <= maxNotices)
	assert.Equal(t, len(p.notices), maxNotices)
	p.SetWorkers(nil)
	p.SetWorkers([]Worker{leaver})
	p.SetWorkers(nil)
	assert.Assert(t, p.RecordLeaving(3*time.Second+2*noticeTTL, "w"), "old notices make room")
}
