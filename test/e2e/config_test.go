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

// applyBound is the documented time within which a committed manifest is in
// force on every process.
const applyBound = 3 * time.Second

// commit commits a manifest on top of base through an entry's administration
// API. It returns the status and the new revision, or on a conflict the present
// one; the status is 0 if no valid response arrived.
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

// mustCommit commits a manifest on top of the revision in the store, and fails
// the test if that is refused.
func (c *cluster) mustCommit(entry int, m api.Manifest) api.Revision {
	c.t.Helper()
	base := api.Revision{Generation: int(c.Store.Generation()), Version: c.storedManifestVersion()}
	status, revision := c.commit(entry, base, m)
	assert.Equal(c.t, status, http.StatusOK)
	return revision
}

func (c *cluster) storedManifestVersion() int {
	return c.Store.Ledger().WritesByKey[devcluster.ManifestKey]
}

// revision reads the manifest revision that a process has in force from its
// metrics. The result is false if the process does not respond.
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

// waitInForce waits until the named processes have the revision want or a newer
// one in force. It fails the test if that is later than limit after since.
func (c *cluster) waitInForce(want api.Revision, since time.Time, limit time.Duration, names ...string) {
	c.t.Helper()
	for _, name := range names {
		p := c.processes[name]
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			if got, ok := p.revision(); !ok || manifest.IsNewer(want, got) {
				return poll.Continue("%s has %v in force, want %v", name, got, want)
			}
			return poll.Success()
		}, poll.WithTimeout(settleTimeout), poll.WithDelay(10*time.Millisecond))
	}
	took := time.Since(since)
	c.t.Logf("revision %d.%d is in force on %d processes after %v", want.Generation, want.Version, len(names), took.Round(time.Millisecond))
	assert.Assert(c.t, took <= limit, "revision was in force on all processes after %v, at most %v is allowed", took, limit)
}

// watchReverts polls the manifest revision of every process until the load stops,
// and fails the test if a revision is older than the one before.
func (l *load) watchReverts() {
	l.group.Go(func() {
		seen := map[string]api.Revision{}
		for l.ctx.Err() == nil {
			for name, p := range l.cluster.processes {
				got, ok := p.revision()
				if !ok || got == (api.Revision{}) {
					continue
				}
				if manifest.IsNewer(seen[name], got) {
					l.cluster.t.Errorf("%s reverted from manifest revision %v to the older %v", name, seen[name], got)
				}
				seen[name] = got
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against violations of guarantee 10: operators that commit at the same
// time both succeed, or the manifest takes longer than 3 s to be in force or
// reverts, also on an entry that was frozen or cut off during a commit.
func TestRacingCommitsAreInForceEverywhere(t *testing.T) {
	t.Parallel()
	n := newNetwork()
	c := startClusterOn(t, faultSpec(), n)
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
	c.waitInForce(api.Revision{Generation: 1, Version: 2}, since, applyBound, c.instances()...)

	c.processes["entry-2"].freeze()
	n.isolate("entry-3", func(to string) bool { return true })
	since = time.Now()
	revision := c.mustCommit(1, manifestWithNext(api.PhaseServing))
	c.waitInForce(revision, since, applyBound, c.instancesExcept("entry-2", "entry-3")...)
	time.Sleep(freezeTime - time.Since(since))
	c.processes["entry-2"].thaw()
	n.setRule(nil)
	c.waitInForce(revision, time.Now(), applyBound, c.instances()...)
	l.waitRecovered("commit while one entry is frozen and one is cut off", since)
	l.checkGuarantees()
}

// instances returns the names of all instances.
func (c *cluster) instances() []string { return c.instancesExcept() }

// instancesExcept returns the names of all instances other than names.
func (c *cluster) instancesExcept(names ...string) []string {
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

// Guards against violations of guarantee 10: a process that restarts during a
// store outage does not get the manifest from its peers within seconds, or a
// store that is restored to an older state replaces the manifest in force.
func TestRestartsDuringStoreOutageKeepManifest(t *testing.T) {
	t.Parallel()
	c := startCluster(t, faultSpec())
	l := c.startLoad(2)
	l.watchReverts()
	saved := c.Store.Save()
	since := time.Now()
	revision := c.mustCommit(1, manifestWithNext(api.PhaseServing))
	c.waitInForce(revision, since, applyBound, c.instances()...)
	for _, name := range []string{"entry-1", "sidecar-engine-1", "sidecar-booking-1"} {
		c.setStoreFaults(memstore.Faults{Unavailable: true})
		outage := time.Now()
		c.restart(name)
		c.waitInForce(revision, outage, applyBound, name)
		c.waitReady(c.processes[name])
		took := time.Since(outage)
		t.Logf("%s is ready %v after a kill during a store outage", name, took.Round(time.Millisecond))
		assert.Assert(t, took < readyBound, "%s was ready after %v, more than readyBound", name, took)
		l.waitAnswered(200)
		l.waitRefused(outage, "store_unavailable")
		l.checkRefusedPromptly(outage, "store_unavailable")
		c.setStoreFaults(memstore.Faults{})
		l.waitRecovered("kill of "+name+" during a store outage", time.Now())
		// The usage records of the killed process are written by the process that
		// holds a copy; wait for it before the next kill.
		l.whilePaused(l.waitSettled)
	}
	l.checkGuarantees()
	// The older state lacks the usage records, so the rollback has to follow
	// checkGuarantees.
	c.Store.Rollback(saved)
	c.waitAlarm(1)
	for _, name := range c.instances() {
		got, ok := c.processes[name].revision()
		assert.Check(t, ok && got == revision, "%s has %v in force after the restore, want %v", name, got, revision)
	}
}

// readyBound is the time within which a restarted process must be ready. It is this
// test's limit for "within seconds" in section 8 of docs/design.md.
const readyBound = 5 * time.Second

// waitAlarm waits until the status of an entry contains an alarm.
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
			return poll.Continue("status of the entry contains no alarm")
		}
		return poll.Success()
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(50*time.Millisecond))
}
