package forward

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against decisions by expected times for a service whose workers do not state their pace, and
// against a service that loses them with one answer that states none.
func TestPaceIsReportedByService(t *testing.T) {
	p := NewPlacer(PlacerOptions{})
	p.SetWorkers([]Worker{{ID: "a1", Service: "a"}, {ID: "b1", Service: "b"}})
	p.RecordLoad(0, "a1", Load{Running: 1, Slots: 8, Pace: 1})
	p.RecordLoad(0, "b1", Load{Running: 1, Slots: 8})
	p.RecordLoad(0, "a1", Load{Running: 1, Slots: 8})
	assert.Assert(t, p.reportsPace("a"))
	assert.Assert(t, !p.reportsPace("b"))
}

// speedPlacer returns a process that has learned that w1 takes four times as long as the nine others.
func speedPlacer() *Placer {
	p := NewPlacer(PlacerOptions{})
	var list []Worker
	for i := range 10 {
		list = append(list, Worker{ID: "w" + strconv.Itoa(i), Service: "s", Slots: 6})
	}
	p.SetWorkers(list)
	for i := range 200 {
		id, wait := "w"+strconv.Itoa(i%10), 30*time.Millisecond
		if id == "w1" {
			wait *= 4
		}
		serve(p, time.Duration(i)*10*time.Millisecond, wait, id, 1)
	}
	return p
}

func serve(p *Placer, at, wait time.Duration, id string, pace float64) SpeedChange {
	p.RecordLoad(at, id, Load{Slots: 6, Pace: pace})
	f := p.RecordStart(at, id, "", nil, 0)
	f.AnswerStarted(at + wait)
	f.End()
	return f.Served(at+wait, "route", pace)
}

// Guards against a worker that restarts under its ID and inherits the estimate of the one before.
func TestRestartedWorkerStartsAnew(t *testing.T) {
	p := speedPlacer()
	before, _ := p.SpeedEstimate(2*time.Second, "w1")
	assert.Assert(t, before.Learned > 2, "%+v", before)
	assert.Equal(t, p.SlowWorkers(), 1)
	var list []Worker
	for _, s := range p.services["s"] {
		list = append(list, s.Worker)
		if s.ID == "w1" {
			list[len(list)-1].StartUnixMs = 1
		}
	}
	p.SetWorkers(list)
	after, _ := p.SpeedEstimate(2*time.Second, "w1")
	assert.Equal(t, after, SpeedEstimate{Slowness: 1, Learned: 1})
	assert.Equal(t, p.SlowWorkers(), 0)
}

// Guards against a stated pace that counts as long as a learned speed, and against one that is not used.
func TestStatedPaceAges(t *testing.T) {
	p := NewPlacer(PlacerOptions{})
	p.SetWorkers([]Worker{{ID: "w", Service: "s", Slots: 6}})
	p.RecordLoad(0, "w", Load{Slots: 6, Pace: 2.5})
	for _, test := range []struct {
		age      time.Duration
		min, max float64
	}{{0, 2.49, 2.51}, {250 * time.Millisecond, 1.5, 1.7}, {time.Second, 1, 1.1}} {
		got := p.slowness(test.age, p.workers["w"])
		assert.Assert(t, got >= test.min && got <= test.max, "%v after %v", got, test.age)
	}
}

// Guards against an estimate that keeps a worker from requests for good: without answers it returns to
// the usual.
func TestEstimateWithoutAnswersFades(t *testing.T) {
	p := speedPlacer()
	got, _ := p.SpeedEstimate(22*time.Second, "w1")
	assert.Assert(t, got.Learned < 1.3, "%+v", got)
}

// Guards against estimates for a service whose workers do not state their pace.
func TestNoEstimateWithoutAPace(t *testing.T) {
	p := NewPlacer(PlacerOptions{})
	p.SetWorkers([]Worker{{ID: "w0", Service: "s", Slots: 6}, {ID: "w1", Service: "s", Slots: 6}})
	for i := range 50 {
		at := time.Duration(i) * 10 * time.Millisecond
		assert.Equal(t, serve(p, at, 30*time.Millisecond, "w0", 0), SpeedUnchanged)
		assert.Equal(t, serve(p, at, 300*time.Millisecond, "w1", 0), SpeedUnchanged)
	}
	assert.Equal(t, p.slowness(time.Second, p.workers["w1"]), 1.0)
	_, ok := p.SpeedEstimate(time.Second, "w1")
	assert.Assert(t, !ok)
}

// Guards against the log being filled by a worker whose speed changes all the time.
func TestSpeedChangesAreReportedRarely(t *testing.T) {
	p := speedPlacer()
	reports := 0
	for i := range 1000 {
		at, wait := 2*time.Second+time.Duration(i)*10*time.Millisecond, 30*time.Millisecond
		if i/20%2 == 0 {
			wait *= 6
		}
		if serve(p, at, wait, "w1", 1) != SpeedUnchanged {
			reports++
		}
	}
	assert.Assert(t, reports <= 5, "%d reports in 10 s", reports)
}

// Guards against one worker that states an absurd pace and so moves the usual time of all others.
func TestAbsurdPaceMovesNobodyElse(t *testing.T) {
	p := speedPlacer()
	before, _ := p.SpeedEstimate(2*time.Second, "w2")
	serve(p, 2*time.Second, 30*time.Millisecond, "w3", 1e300)
	for i := range 9 {
		serve(p, 2*time.Second+time.Duration(i)*time.Millisecond, 30*time.Millisecond, "w2", 1)
	}
	after, _ := p.SpeedEstimate(2*time.Second, "w2")
	assert.Check(t, after.Learned < 1.2*before.Learned && after.Learned > before.Learned/1.2, "%.2f before, %.2f after", before.Learned, after.Learned)
}
