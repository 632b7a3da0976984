package entry

import (
	"fmt"
	"sort"
	"time"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/errkind"
)

// maxAlarms bounds the alarms that status shows.
const maxAlarms = 32

// counters count what the core did since its start.
type counters struct {
	kinds        map[errkind.Kind]int
	customers    map[string]*customerCount
	versions     map[string]int
	attempts     int
	tokens       int
	droppedParts int
	failedProbes int
	cutBacks     int
	ejections    int
	alarms       []string
}

type customerCount struct {
	answered, refused int
	cost              float64
}

func newCounters() counters {
	return counters{kinds: map[errkind.Kind]int{}, customers: map[string]*customerCount{}, versions: map[string]int{}}
}

func (c *counters) customer(name string) *customerCount {
	count, ok := c.customers[name]
	if !ok {
		count = &customerCount{}
		c.customers[name] = count
	}
	return count
}

func (c *counters) answered(customer, version string, cost float64) {
	count := c.customer(customer)
	count.answered++
	count.cost += cost
	c.versions[version]++
}

func (c *counters) refused(customer string) { c.customer(customer).refused++ }

// alarm keeps the newest alarms; a repeated one is kept once.
func (c *counters) alarm(message string) {
	for _, known := range c.alarms {
		if known == message {
			return
		}
	}
	c.alarms = append(c.alarms, message)
	if len(c.alarms) > maxAlarms {
		c.alarms = c.alarms[1:]
	}
}

// Stats are figures for metrics.
type Stats struct {
	Running        int
	BackendServers int
	Attempts       int
	Tokens         int
	DroppedParts   int
	FailedProbes   int
	CutBacks       int
	Ejections      int
	UsageRecords   int
	UsageBytes     int
	Claims         int
	Kinds          map[errkind.Kind]int
}

// Stats returns a copy of the figures for metrics.
func (c *Core) Stats() Stats {
	kinds := make(map[errkind.Kind]int, len(c.counts.kinds))
	for k, n := range c.counts.kinds {
		kinds[k] = n
	}
	return Stats{
		Running: len(c.requests), BackendServers: len(c.servers), Attempts: c.counts.attempts, Tokens: c.counts.tokens, DroppedParts: c.counts.droppedParts,
		FailedProbes: c.counts.failedProbes, CutBacks: c.counts.cutBacks, Ejections: c.counts.ejections,
		UsageRecords: c.usage.Records(), UsageBytes: c.usage.Bytes(), Claims: c.book.Remembered(), Kinds: kinds,
	}
}

// Status returns what this entry reports to operators. The peer exchange adds
// what it knows of the manifest and the members.
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
		count := c.counts.customer(customer.Name)
		out = append(out, api.CustomerStatus{
			Name: customer.Name, Running: c.customers.Running(customer.Name),
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
			status := c.oneVersion(now, model.Name, v)
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

func (c *Core) oneVersion(now time.Time, model string, v api.Version) api.VersionStatus {
	status := api.VersionStatus{
		Name: v.Name, Model: model, Phase: string(v.Phase), Share: c.rollouts.shares.Share(v.Name), Answered: c.counts.versions[v.Name],
	}
	for _, s := range c.servers {
		for _, held := range s.Versions {
			if held == v.Name {
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
		sum := c.rollouts.shares.Sum(r.Version)
		status.Evidence = fmt.Sprintf("%d samples, %d failed, %d slow, %d rated, %d bad", sum.Samples, sum.Failed, sum.Slow, sum.Rated, sum.Bad)
		out = append(out, status)
	}
	return out
}
