package manifest

import (
	"fmt"
	"strings"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// autoModel is the model name by which a request leaves the choice to its class.
const autoModel = "auto"

// checker collects the faults of a manifest that matches the schema.
type checker struct {
	m      *api.Manifest
	faults schemacheck.Faults

	models   map[string]bool
	versions map[string]owned
	services map[string]bool
	classes  map[string]bool
}

// owned is a version and the model it belongs to.
type owned struct {
	api.Version
	model string
}

func checkMeaning(m *api.Manifest) schemacheck.Faults {
	c := &checker{m: m}
	c.checkModelNames()
	c.checkServices()
	c.checkClassNames()
	c.checkKeys()
	c.checkCustomers()
	c.checkClasses()
	c.checkVersions()
	c.checkRollouts()
	c.checkPools()
	c.checkObjectives()
	return c.faults
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, schemacheck.Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// unique records name under a path and faults a second use.
func (c *checker) unique(seen map[string]string, path, what, name string) {
	if first, ok := seen[name]; ok {
		c.fault(path, "%s %q is already used at %s, each must be unique", what, name, first)
		return
	}
	seen[name] = path
}

// known faults a reference to a name that is not declared.
func (c *checker) known(declared map[string]bool, path, what, name string) {
	if !declared[name] {
		c.fault(path, "%s %q does not exist, declare it in %ss", what, name, what)
	}
}

func (c *checker) checkModelNames() {
	c.models = map[string]bool{}
	c.versions = map[string]owned{}
	seen := map[string]string{}
	for i, model := range c.m.Models {
		path := fmt.Sprintf("$.models[%d]", i)
		c.requestable(seen, path+".name", "model", model.Name)
		c.models[model.Name] = true
		for j, v := range model.Versions {
			c.requestable(seen, fmt.Sprintf("%s.versions[%d].name", path, j), "version", v.Name)
			c.versions[v.Name] = owned{Version: v, model: model.Name}
		}
	}
}

// requestable checks a name that a request may carry as its model. Models and
// versions share one set of names, else a request could mean either.
func (c *checker) requestable(seen map[string]string, path, what, name string) {
	if name == autoModel {
		c.fault(path, "%s name %q is reserved, any other name is allowed", what, name)
	}
	c.unique(seen, path, what+" name", name)
}

func (c *checker) checkServices() {
	c.services = map[string]bool{}
	seen := map[string]string{}
	for i, service := range c.m.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		c.unique(seen, path+".name", "service name", service.Name)
		c.services[service.Name] = true
		operations := map[string]string{}
		for j, operation := range service.Operations {
			c.unique(operations, fmt.Sprintf("%s.operations[%d].name", path, j), "operation name", operation.Name)
		}
	}
}

func (c *checker) checkClassNames() {
	c.classes = map[string]bool{}
	seen := map[string]string{}
	for i, class := range c.m.Classes {
		c.unique(seen, fmt.Sprintf("$.classes[%d].name", i), "class name", class.Name)
		c.classes[class.Name] = true
	}
}

// checkKeys checks names and key hashes of operators and customers. One key
// must name one party.
func (c *checker) checkKeys() {
	hashes := map[string]string{}
	operators := map[string]string{}
	for i, operator := range c.m.Operators {
		path := fmt.Sprintf("$.operators[%d]", i)
		c.unique(operators, path+".name", "operator name", operator.Name)
		c.unique(hashes, path+".keyHash", "key hash", operator.KeyHash)
	}
	customers := map[string]string{}
	for i, customer := range c.m.Customers {
		path := fmt.Sprintf("$.customers[%d]", i)
		c.unique(customers, path+".name", "customer name", customer.Name)
		for j, hash := range customer.KeyHashes {
			c.unique(hashes, fmt.Sprintf("%s.keyHashes[%d]", path, j), "key hash", hash)
		}
	}
}

func (c *checker) checkCustomers() {
	versions := map[string]bool{}
	for name := range c.versions {
		versions[name] = true
	}
	for i, customer := range c.m.Customers {
		path := fmt.Sprintf("$.customers[%d]", i)
		c.references(path+".versions", "version", versions, customer.Versions)
		c.references(path+".models", "model", c.models, customer.Models)
		c.references(path+".services", "service", c.services, customer.Services)
		if customer.DefaultClass != "" && !c.classes[customer.DefaultClass] {
			c.fault(path+".defaultClass", "class %q does not exist, allowed are %s", customer.DefaultClass, c.classNames())
		}
		if customer.Burst > 0 && customer.RequestsPerSecond == 0 {
			c.fault(path+".burst", "is set without requestsPerSecond, set both or neither")
		}
	}
}

// references checks that the names of a list are declared and differ.
func (c *checker) references(path, what string, declared map[string]bool, names []string) {
	seen := map[string]string{}
	for i, name := range names {
		item := fmt.Sprintf("%s[%d]", path, i)
		c.known(declared, item, what, name)
		c.unique(seen, item, what, name)
	}
}

func (c *checker) classNames() string {
	names := make([]string, len(c.m.Classes))
	for i, class := range c.m.Classes {
		names[i] = class.Name
	}
	return strings.Join(names, ", ")
}

func (c *checker) checkClasses() {
	for i, class := range c.m.Classes {
		c.references(fmt.Sprintf("$.classes[%d].models", i), "model", c.models, class.Models)
	}
}

func (c *checker) checkObjectives() {
	seen := map[string]string{}
	for i, objective := range c.m.Objectives {
		path := fmt.Sprintf("$.objectives[%d].class", i)
		if !c.classes[objective.Class] {
			c.fault(path, "class %q does not exist, allowed are %s", objective.Class, c.classNames())
		}
		c.unique(seen, path, "objective of class", objective.Class)
	}
}
