package entry

import (
	"fmt"
	"sort"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// maxAlarms bounds the alarms that are kept for the status report; the oldest
// are dropped.
const maxAlarms = 32

// counters holds totals since the start of the process.
type counters struct {
	errorsByKind     map[errkind.Kind]int
	customers        map[string]*customerCounters
	answersByVersion map[string]int
	attempts         int
	deliveredTokens  int
	droppedParts     int
	failedProbes     int
	cutBacks         int
	ejections        int
	alarms           []string
}

type customerCounters struct {
	answered, refused int
	cost              float64
}

func newCounters() counters {
	return counters{errorsByKind: map[errkind.Kind]int{}, customers: map[string]*customerCounters{}, answersByVersion: map[string]int{}}
}

func (c *counters) customerCounts(name string) *customerCounters {
	count, ok := c.customers[name]
	if !ok {
		count = &customerCounters{}
		c.customers[name] = count
	}
	return count
}

func (c *counters) countAnswered(customer, version string, cost float64) {
	count := c.customerCounts(customer)
	count.answered++
	count.cost += cost
	c.answersByVersion[version]++
}

func (c *counters) countRefused(customer string) { c.customerCounts(customer).refused++ }

// addAlarm adds an alarm unless the same message is already listed.
func (c *counters) addAlarm(message string) {
	for _, existing := range c.alarms {
		if existing == message {
			return
		}
	}
	c.alarms = append(c.alarms, message)
	if len(c.alarms) > maxAlarms {
		c.alarms = c.alarms[1:]
	}
}

// Stats holds the figures that the daemon exports as metrics. They are totals
// since the start, unless stated otherwise.
type Stats struct {
	// RunningRequests is the current number of requests that have not ended.
	RunningRequests int
	// BackendServers is the current number of ready backend servers.
	BackendServers  int
	Attempts        int
	DeliveredTokens int
	DroppedParts    int
	FailedProbes    int
	CutBacks        int
	Ejections       int
	// UnwrittenUsageRecords is the current number of usage records that are not yet
	// written to the store.
	UnwrittenUsageRecords int
	// UnwrittenUsageBytes is the size of these records, in bytes.
	UnwrittenUsageBytes int
	// RememberedClaims is the current number of idempotency keys held in memory.
	RememberedClaims int
	// ErrorsByKind is the number of failed requests by error kind.
	ErrorsByKind map[errkind.Kind]int
}

// Stats returns a copy of the figures.
func (c *Core) Stats() Stats {
	kinds := make(map[errkind.Kind]int, len(c.counts.errorsByKind))
	for k, n := range c.counts.errorsByKind {
		kinds[k] = n
	}
	return Stats{
		RunningRequests: len(c.requests), BackendServers: len(c.servers), Attempts: c.counts.attempts, DeliveredTokens: c.counts.deliveredTokens, DroppedParts: c.counts.droppedParts,
		FailedProbes: c.counts.failedProbes, CutBacks: c.counts.cutBacks, Ejections: c.counts.ejections,
		UnwrittenUsageRecords: c.usage.RecordCount(), UnwrittenUsageBytes: c.usage.Bytes(), RememberedClaims: c.claims.KeyCount(), ErrorsByKind: kinds,
	}
}

// Status returns the status report of this entry for operators. The daemon adds
// what the peer exchange holds on the manifest and the members.
func (c *Core) Status(now time.Time) api.Status {
	ready, _ := c.Ready()
	s := api.Status{
		Instance: c.cfg.Self.Instance, Incarnation: c.cfg.Self.Incarnation, FailureDomain: c.cfg.Self.FailureDomain,
		Region: c.cfg.Self.Region, Ready: ready, Draining: c.draining, Alarms: append([]string{}, c.counts.alarms...),
	}
	if c.snapshot == nil {
		return s
	}
	for _, version := range c.rollouts.shares.Alarms() {
		s.Alarms = append(s.Alarms, "version "+version+" is bad and has no replacement")
	}
	s.Alarms = append(s.Alarms, c.placement.holder.Alarms()...)
	s.Revision = c.snapshot.Revision
	s.Customers = c.customerStatus()
	s.Models, s.Versions = c.versionStatus(now)
	s.BackendServers = c.serverStatus()
	s.Rollouts = c.rolloutStatus()
	return s
}

func (c *Core) customerStatus() []api.CustomerStatus {
	var out []api.CustomerStatus
	for _, customer := range c.snapshot.Manifest.Customers {
		count := c.counts.customerCounts(customer.Name)
		out = append(out, api.CustomerStatus{
			Name: customer.Name, Running: c.customerLimiter.Running(customer.Name),
			Answered: count.answered, Refused: count.refused, Cost: count.cost,
		})
	}
	return out
}

func (c *Core) versionStatus(now time.Time) ([]api.ModelStatus, []api.VersionStatus) {
	running := map[string]int{}
	for _, r := range c.requests {
		running[r.version]++
	}
	var models []api.ModelStatus
	var versions []api.VersionStatus
	for _, model := range c.snapshot.Manifest.Models {
		sum := api.ModelStatus{Name: model.Name, Versions: len(model.Versions)}
		for _, v := range model.Versions {
			status := c.oneVersionStatus(now, model.Name, v)
			status.Running = running[v.Name]
			versions = append(versions, status)
			sum.BackendServers += status.BackendServers
			sum.Running += status.Running
			sum.Answered += status.Answered
		}
		models = append(models, sum)
	}
	return models, versions
}

func (c *Core) oneVersionStatus(now time.Time, model string, v api.Version) api.VersionStatus {
	status := api.VersionStatus{
		Name: v.Name, Model: model, Phase: string(v.Phase), Share: c.rollouts.shares.Share(v.Name), Answered: c.counts.answersByVersion[v.Name],
	}
	for _, s := range c.servers {
		for _, served := range s.Versions {
			if served == v.Name {
				status.BackendServers++
			}
		}
	}
	if class, ok := c.snapshot.Class(""); ok {
		estimate := c.planner.Estimator().Estimate(now, class.Name, v.Name)
		status.Quality, status.QualityLow = estimate.Mean, estimate.Lower
	}
	return status
}

func (c *Core) serverStatus() []api.BackendServerStatus {
	out := make([]api.BackendServerStatus, 0, len(c.servers))
	for _, s := range c.servers {
		out = append(out, api.BackendServerStatus{
			Name: s.Name, Instance: s.Instance, FailureDomain: s.FailureDomain, State: string(api.MemberStateReady),
			Versions: s.Versions, Service: s.Service, Slots: s.Slots, Ejected: c.health.Ejected(s.Name),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (c *Core) rolloutStatus() []api.RolloutStatus {
	var out []api.RolloutStatus
	for _, r := range c.snapshot.Manifest.Rollouts {
		status := api.RolloutStatus{Version: r.Version, Share: c.rollouts.shares.Share(r.Version), State: "not started"}
		if p, ok := c.rollouts.progress[r.Version]; ok {
			status.Step, status.State = p.Step, string(p.State)
		}
		sum := c.rollouts.shares.TotalEvidence(r.Version)
		status.Evidence = fmt.Sprintf("%d samples, %d failed, %d slow, %d rated, %d bad", sum.Samples, sum.Failed, sum.Slow, sum.Rated, sum.Bad)
		out = append(out, status)
	}
	return out
}
