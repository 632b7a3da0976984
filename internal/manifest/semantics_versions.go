package manifest

import (
	"fmt"

	"github.com/borageflow/borageflow/api"
)

// checkVersions checks the predecessor of each version and that each rolling
// version has a rollout.
func (c *checker) checkVersions() {
	rollouts := map[string]bool{}
	for _, rollout := range c.m.Rollouts {
		rollouts[rollout.Version] = true
	}
	for i, model := range c.m.Models {
		for j, v := range model.Versions {
			path := fmt.Sprintf("$.models[%d].versions[%d]", i, j)
			c.checkPrevious(path, model, v)
			if v.Phase == api.PhaseRolling && !rollouts[v.Name] {
				c.addFault(path+".phase", "rolling version %q has no entry in rollouts, add one or choose another phase", v.Name)
			}
		}
	}
}

// checkPrevious checks that the predecessor of a version is another version of the
// same model. A rolling version needs a serving predecessor if its model has a
// serving version, because traffic returns to it when the rollout fails.
func (c *checker) checkPrevious(path string, model api.Model, v api.Version) {
	path += ".previous"
	if v.Previous == "" {
		if v.Phase == api.PhaseRolling && hasServingVersion(model) {
			c.addFault(path, "is missing, a rolling version must name the serving version that it replaces")
		}
		return
	}
	previous, ok := c.versions[v.Previous]
	switch {
	case !ok:
		c.addFault(path, "version %q does not exist, name a version of model %q", v.Previous, model.Name)
	case v.Previous == v.Name:
		c.addFault(path, "version %q is named as its own predecessor, name another version of model %q", v.Name, model.Name)
	case previous.model != model.Name:
		c.addFault(path, "version %q belongs to model %q, name a version of model %q", v.Previous, previous.model, model.Name)
	case v.Phase == api.PhaseRolling && previous.Phase != api.PhaseServing:
		c.addFault(path, "version %q is %s, the predecessor of a rolling version must be serving", v.Previous, previous.Phase)
	}
}

func hasServingVersion(model api.Model) bool {
	for _, v := range model.Versions {
		if v.Phase == api.PhaseServing {
			return true
		}
	}
	return false
}

func (c *checker) checkRollouts() {
	seen := map[string]string{}
	for i, rollout := range c.m.Rollouts {
		path := fmt.Sprintf("$.rollouts[%d]", i)
		c.checkUnique(seen, path+".version", "rollout of version", rollout.Version)
		v, ok := c.versions[rollout.Version]
		if !ok {
			c.addFault(path+".version", "version %q does not exist, name a rolling version", rollout.Version)
		} else if v.Phase != api.PhaseRolling {
			c.addFault(path+".version", "version %q is %s, only a rolling version has a rollout", rollout.Version, v.Phase)
		}
		for j := 1; j < len(rollout.Steps); j++ {
			if rollout.Steps[j] <= rollout.Steps[j-1] {
				c.addFault(fmt.Sprintf("%s.steps[%d]", path, j), "is %v, a step must exceed the step before it, which is %v", rollout.Steps[j], rollout.Steps[j-1])
			}
		}
	}
}

// checkPools checks the versions of pools and that pools have enough replicas for
// minReplicas of each version. A withdrawn version in a pool is a fault, because
// placement would load it. Customers may still list one, so that an operator
// withdraws a version by editing one line.
func (c *checker) checkPools() {
	seen := map[string]string{}
	replicas := map[string]int{}
	unlimited := map[string]bool{}
	for i, pool := range c.m.Pools {
		path := fmt.Sprintf("$.pools[%d]", i)
		c.checkUnique(seen, path+".name", "pool name", pool.Name)
		listed := map[string]string{}
		for j, name := range pool.Versions {
			item := fmt.Sprintf("%s.versions[%d]", path, j)
			c.checkUnique(listed, item, "version", name)
			v, ok := c.versions[name]
			if !ok {
				c.addFault(item, "version %q does not exist, declare it in models", name)
			} else if v.Phase == api.PhaseWithdrawn {
				c.addFault(item, "version %q is withdrawn, a pool holds rolling, serving and closing versions", name)
			}
			replicas[name] += pool.Replicas
			unlimited[name] = unlimited[name] || pool.Replicas == 0
		}
	}
	for i, model := range c.m.Models {
		for j, v := range model.Versions {
			if total, ok := replicas[v.Name]; ok && !unlimited[v.Name] && v.MinReplicas > total {
				c.addFault(fmt.Sprintf("$.models[%d].versions[%d].minReplicas", i, j),
					"is %d, but the pools that list version %q have only %d replicas", v.MinReplicas, v.Name, total)
			}
		}
	}
}
