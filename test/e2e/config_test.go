package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/devcluster"
	"github.com/borageflow/borageflow/internal/manifest"
	"github.com/borageflow/borageflow/internal/standin/memstore"
)

// inForceWithin is the stated bound for a committed manifest.
const inForceWithin = 3 * time.Second

// commit sends a manifest through an entry's administration API; status 0 means
// that no answer came.
func (c *cluster) commit(entry int, base api.Revision, m api.Manifest) (int, api.Revision) {
	c.t.Helper()
	admin := c.processes[fmt.Sprintf("entry-%d", entry)].settings.Listen.Admin
	url := fmt.Sprintf("http://%s/admin/v1/manifest?generation=%d&version=%d", admin, base.Generation, base.Version)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(encode(m)))
	assert.NilError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+keyAdmin)
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, api.Revision{}
	}
	defer resp.Body.Close()
	var body struct{ Revision, Present api.Revision }
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return 0, api.Revision{}
	}
	if resp.StatusCode == http.StatusConflict {
		return resp.StatusCode, body.Present
	}
	return resp.StatusCode, body.Revision
}

// mustCommit commits on top of the revision in the store.
func (c *cluster) mustCommit(entry int, m api.Manifest) api.Revision {
	c.t.Helper()
	base := api.Revision{Generation: int(c.Store.Generation()), Version: c.storedVersion()}
	status, revision := c.commit(entry, base, m)
	assert.Equal(c.t, status, http.StatusOK)
	return revision
}

func (c *cluster) storedVersion() int {
	return c.Store.Ledger().Written[devcluster.ManifestKey]
}

// revision reads what a process has in force; ok is false when it does not answer.
func (p *process) revision() (api.Revision, bool) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + p.settings.Listen.Health + "/metrics")
	if err != nil {
		return api.Revision{}, false
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	var r api.Revision
	for _, line := range bytes.Split(body, []byte("\n")) {
		_, _ = fmt.Sscanf(string(line), "borageflow_manifest_generation %d", &r.Generation)
		_, _ = fmt.Sscanf(string(line), "borageflow_manifest_version %d", &r.Version)
	}
	return r, true
}

// waitInForce waits until the named processes have at least a revision in force,
// and fails when that takes longer than limit from since.
func (c *cluster) waitInForce(want api.Revision, since time.Time, limit time.Duration, names ...string) {
	c.t.Helper()
	for _, name := range names {
		p := c.processes[name]
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			if got, ok := p.revision(); !ok || manifest.Newer(want, got) {
				return poll.Continue("%s has %v in force, want %v", name, got, want)
			}
			return poll.Success()
		}, poll.WithTimeout(settleTimeout), poll.WithDelay(10*time.Millisecond))
	}
	took := time.Since(since)
	c.t.Logf("revision %d.%d is in force on %d processes after %v", want.Generation, want.Version, len(names), took.Round(time.Millisecond))
	assert.Assert(c.t, took <= limit, "in force after %v, allowed are %v", took, limit)
}

// watchReverts fails the test when a process ever shows an older revision than
// before.
func (l *load) watchReverts() {
	l.group.Go(func() {
		seen := map[string]api.Revision{}
		for l.ctx.Err() == nil {
			for name, p := range l.c.processes {
				got, ok := p.revision()
				if !ok || got == (api.Revision{}) {
					continue
				}
				if manifest.Newer(seen[name], got) {
					l.c.t.Errorf("%s reverted from %v to %v", name, seen[name], got)
				}
				seen[name] = got
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards guarantee 10 against racing operators and a process that was frozen or
// cut off during the commit: one commit wins, it is in force everywhere within
// 3 s, and nothing reverts.
func TestRacingCommitsAreInForceEverywhere(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	c := startOn(t, faultSpec(), n)
	l := c.startLoad(3)
	l.watchReverts()
	base := api.Revision{Generation: 1, Version: 1}
	results := make(chan int, 3)
	since := time.Now()
	for i := 1; i <= 3; i++ {
		go func() {
			m := testManifest()
			m.Description = fmt.Sprintf("operator %d", i)
			status, _ := c.commit(i, base, m)
			results <- status
		}()
	}
	count := map[int]int{}
	for range 3 {
		count[<-results]++
	}
	assert.DeepEqual(t, count, map[int]int{http.StatusOK: 1, http.StatusConflict: 2})
	c.waitInForce(api.Revision{Generation: 1, Version: 2}, since, inForceWithin, c.all()...)

	c.processes["entry-2"].freeze()
	n.isolate("entry-3", func(to string) bool { return true })
	since = time.Now()
	revision := c.mustCommit(1, withNext(api.PhaseServing))
	c.waitInForce(revision, since, inForceWithin, c.except("entry-2", "entry-3")...)
	time.Sleep(freezeTime - time.Since(since))
	c.processes["entry-2"].thaw()
	n.set(nil)
	c.waitInForce(revision, time.Now(), inForceWithin, c.all()...)
	l.recovered("entry frozen and entry cut off during a commit", since)
	l.verdict()
}

func (c *cluster) all() []string { return c.except() }

func (c *cluster) except(names ...string) []string {
	var out []string
next:
	for _, s := range c.Settings {
		for _, name := range names {
			if s.Instance == name {
				continue next
			}
		}
		out = append(out, s.Instance)
	}
	return out
}

// Guards guarantee 10 against a store outage with restarts: the manifest stays in
// force, a restarted process serves within seconds from what its peers hold, and
// a store restored to an older state changes nothing.
func TestRestartsDuringStoreOutageKeepManifest(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(2)
	l.watchReverts()
	saved := c.Store.Save()
	since := time.Now()
	revision := c.mustCommit(1, withNext(api.PhaseServing))
	c.waitInForce(revision, since, inForceWithin, c.all()...)
	for _, name := range []string{"entry-1", "sidecar-engine-1", "sidecar-booking-1"} {
		c.storeFaults(memstore.Faults{Unavailable: true})
		outage := time.Now()
		c.restart(name)
		c.waitInForce(revision, outage, inForceWithin, name)
		c.waitReady(c.processes[name])
		took := time.Since(outage)
		t.Logf("%s serves %v after a kill during a store outage", name, took.Round(time.Millisecond))
		assert.Assert(t, took < servesWithin, "%s was not ready after %v", name, took)
		l.answered(200)
		l.waitKind(outage, "store_unavailable")
		l.refusedAtOnce(outage, "store_unavailable")
		c.storeFaults(memstore.Faults{})
		l.recovered("kill of "+name+" during a store outage", time.Now())
		// A record that only the killed process held is written by its partner.
		l.quiet(l.settle)
	}
	l.verdict()
	// The older state also lacks the usage records, which the verdict has read.
	c.Store.Rollback(saved)
	c.waitAlarm(1)
	for _, name := range c.all() {
		got, ok := c.processes[name].revision()
		assert.Check(t, ok && got == revision, "%s has %v in force after the restore, want %v", name, got, revision)
	}
}

// servesWithin is "within seconds" of design section 8 for a restarted process.
const servesWithin = 5 * time.Second

// waitAlarm waits until an entry's status raises an alarm.
func (c *cluster) waitAlarm(entry int) {
	c.t.Helper()
	url := "http://" + c.processes[fmt.Sprintf("entry-%d", entry)].settings.Listen.Admin + "/admin/v1/status"
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		req, _ := http.NewRequest(http.MethodGet, url, nil)
		req.Header.Set("Authorization", "Bearer "+keyAdmin)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer resp.Body.Close()
		var status api.Status
		if err := json.NewDecoder(resp.Body).Decode(&status); err != nil || len(status.Alarms) == 0 {
			return poll.Continue("status shows no alarm")
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}
