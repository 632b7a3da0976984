package manifest

import (
	"fmt"

	"github.com/borageflow/borageflow/api"
)

// checkVersions checks what a version says about its predecessor.
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
				c.fault(path+".phase", "rolling version %q has no entry in rollouts, add one or choose another phase", v.Name)
			}
		}
	}
}

func (c *checker) checkPrevious(path string, model api.Model, v api.Version) {
	path += ".previous"
	if v.Previous == "" {
		if v.Phase == api.PhaseRolling && hasServing(model) {
			c.fault(path, "is missing, a rolling version names the serving version that it replaces")
		}
		return
	}
	previous, ok := c.versions[v.Previous]
	switch {
	case !ok:
		c.fault(path, "version %q does not exist, name a version of model %q", v.Previous, model.Name)
	case v.Previous == v.Name:
		c.fault(path, "version %q names itself, name another version of model %q", v.Name, model.Name)
	case previous.model != model.Name:
		c.fault(path, "version %q belongs to model %q, name a version of model %q", v.Previous, previous.model, model.Name)
	case v.Phase == api.PhaseRolling && previous.Phase != api.PhaseServing:
		c.fault(path, "version %q is %s, a rolling version falls back to a serving one", v.Previous, previous.Phase)
	}
}

func hasServing(model api.Model) bool {
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
		c.unique(seen, path+".version", "rollout of version", rollout.Version)
		v, ok := c.versions[rollout.Version]
		if !ok {
			c.fault(path+".version", "version %q does not exist, name a rolling version", rollout.Version)
		} else if v.Phase != api.PhaseRolling {
			c.fault(path+".version", "version %q is %s, only a rolling version has a rollout", rollout.Version, v.Phase)
		}
		for j := 1; j < len(rollout.Steps); j++ {
			if rollout.Steps[j] <= rollout.Steps[j-1] {
				c.fault(fmt.Sprintf("%s.steps[%d]", path, j), "%v does not exceed the step before it, %v", rollout.Steps[j], rollout.Steps[j-1])
			}
		}
	}
}

// checkPools checks the versions of pools and that their replicas suffice. A
// withdrawn version is a fault here, because placement would load it; customers
// may still list it, so that a withdrawal is an edit of one line.
func (c *checker) checkPools() {
	seen := map[string]string{}
	replicas := map[string]int{}
	unlimited := map[string]bool{}
	for i, pool := range c.m.Pools {
		path := fmt.Sprintf("$.pools[%d]", i)
		c.unique(seen, path+".name", "pool name", pool.Name)
		listed := map[string]string{}
		for j, name := range pool.Versions {
			item := fmt.Sprintf("%s.versions[%d]", path, j)
			c.unique(listed, item, "version", name)
			v, ok := c.versions[name]
			if !ok {
				c.fault(item, "version %q does not exist, declare it in models", name)
			} else if v.Phase == api.PhaseWithdrawn {
				c.fault(item, "version %q is withdrawn, a pool holds rolling, serving and closing versions", name)
			}
			replicas[name] += pool.Replicas
			unlimited[name] = unlimited[name] || pool.Replicas == 0
		}
	}
	for i, model := range c.m.Models {
		for j, v := range model.Versions {
			if total, ok := replicas[v.Name]; ok && !unlimited[v.Name] && v.MinReplicas > total {
				c.fault(fmt.Sprintf("$.models[%d].versions[%d].minReplicas", i, j),
					"is %d, the pools that list version %q have %d replicas", v.MinReplicas, v.Name, total)
			}
		}
	}
}
