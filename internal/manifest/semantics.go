package manifest

import (
	"fmt"
	"strings"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

// autoModel is the model name with which a request leaves the choice of the model
// to its class.
const autoModel = "auto"

// checker checks the semantic rules for a manifest that matches the schema and
// collects its faults.
type checker struct {
	m      *api.Manifest
	faults schemacheck.Faults

	// The maps hold the declared names.
	models   map[string]bool
	versions map[string]modelVersion
	services map[string]bool
	classes  map[string]bool
}

// modelVersion is a version with the name of its model.
type modelVersion struct {
	api.Version
	model string
}

func checkSemantics(m *api.Manifest) schemacheck.Faults {
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

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, schemacheck.Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// checkUnique reports a name that was used before and otherwise stores its path in
// seen.
func (c *checker) checkUnique(seen map[string]string, path, kind, name string) {
	if first, ok := seen[name]; ok {
		c.addFault(path, "%s %q is already used at %s, each must be unique", kind, name, first)
		return
	}
	seen[name] = path
}

// checkDeclared reports a reference to a name that is not declared.
func (c *checker) checkDeclared(declared map[string]bool, path, kind, name string) {
	if !declared[name] {
		c.addFault(path, "%s %q does not exist, declare it in %ss", kind, name, kind)
	}
}

func (c *checker) checkModelNames() {
	c.models = map[string]bool{}
	c.versions = map[string]modelVersion{}
	seen := map[string]string{}
	for i, model := range c.m.Models {
		path := fmt.Sprintf("$.models[%d]", i)
		c.checkRequestableName(seen, path+".name", "model", model.Name)
		c.models[model.Name] = true
		for j, v := range model.Versions {
			c.checkRequestableName(seen, fmt.Sprintf("%s.versions[%d].name", path, j), "version", v.Name)
			c.versions[v.Name] = modelVersion{Version: v, model: model.Name}
		}
	}
}

// checkRequestableName checks a name that a request may give as its model. Models
// and versions share one set of names, because a request could otherwise mean
// either.
func (c *checker) checkRequestableName(seen map[string]string, path, kind, name string) {
	if name == autoModel {
		c.addFault(path, "%s name %q is reserved, any other name is allowed", kind, name)
	}
	c.checkUnique(seen, path, kind+" name", name)
}

func (c *checker) checkServices() {
	c.services = map[string]bool{}
	seen := map[string]string{}
	for i, service := range c.m.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		c.checkUnique(seen, path+".name", "service name", service.Name)
		c.services[service.Name] = true
		operations := map[string]string{}
		for j, operation := range service.Operations {
			c.checkUnique(operations, fmt.Sprintf("%s.operations[%d].name", path, j), "operation name", operation.Name)
		}
	}
}

func (c *checker) checkClassNames() {
	c.classes = map[string]bool{}
	seen := map[string]string{}
	for i, class := range c.m.Classes {
		c.checkUnique(seen, fmt.Sprintf("$.classes[%d].name", i), "class name", class.Name)
		c.classes[class.Name] = true
	}
}

// checkKeys checks the names and the key hashes of operators and customers. A key
// must identify exactly one operator or customer.
func (c *checker) checkKeys() {
	hashes := map[string]string{}
	operators := map[string]string{}
	for i, operator := range c.m.Operators {
		path := fmt.Sprintf("$.operators[%d]", i)
		c.checkUnique(operators, path+".name", "operator name", operator.Name)
		c.checkUnique(hashes, path+".keyHash", "key hash", operator.KeyHash)
	}
	customers := map[string]string{}
	for i, customer := range c.m.Customers {
		path := fmt.Sprintf("$.customers[%d]", i)
		c.checkUnique(customers, path+".name", "customer name", customer.Name)
		for j, hash := range customer.KeyHashes {
			c.checkUnique(hashes, fmt.Sprintf("%s.keyHashes[%d]", path, j), "key hash", hash)
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
		c.checkReferences(path+".versions", "version", versions, customer.Versions)
		c.checkReferences(path+".models", "model", c.models, customer.Models)
		c.checkReferences(path+".services", "service", c.services, customer.Services)
		if customer.DefaultClass != "" && !c.classes[customer.DefaultClass] {
			c.addFault(path+".defaultClass", "class %q does not exist, allowed are %s", customer.DefaultClass, c.classNames())
		}
		if customer.Burst > 0 && customer.RequestsPerSecond == 0 {
			c.addFault(path+".burst", "is set without requestsPerSecond, set both or neither")
		}
	}
}

// checkReferences checks that the names of a list are declared and unique.
func (c *checker) checkReferences(path, kind string, declared map[string]bool, names []string) {
	seen := map[string]string{}
	for i, name := range names {
		item := fmt.Sprintf("%s[%d]", path, i)
		c.checkDeclared(declared, item, kind, name)
		c.checkUnique(seen, item, kind, name)
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
		c.checkReferences(fmt.Sprintf("$.classes[%d].models", i), "model", c.models, class.Models)
	}
}

func (c *checker) checkObjectives() {
	seen := map[string]string{}
	for i, objective := range c.m.Objectives {
		path := fmt.Sprintf("$.objectives[%d].class", i)
		if !c.classes[objective.Class] {
			c.addFault(path, "class %q does not exist, allowed are %s", objective.Class, c.classNames())
		}
		c.checkUnique(seen, path, "objective of class", objective.Class)
	}
}
