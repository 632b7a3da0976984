// Package manifest checks, compares and commits manifests and compiles them into
// immutable snapshots.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/borageflow/borageflow/api"
)

// Version is a declared model version with the name of its model.
type Version struct {
	api.Version
	// Model is the name of the model that the version belongs to.
	Model string
}

// Snapshot is a compiled manifest. It is immutable and safe for concurrent use.
type Snapshot struct {
	// Revision is the revision of the manifest; a newer snapshot has a higher one.
	Revision api.Revision
	// Manifest is the decoded manifest.
	Manifest api.Manifest
	// Raw is the manifest as passed to Compile.
	Raw []byte

	customers          map[string]*api.Customer
	customersByKeyHash map[string]*api.Customer
	operatorsByKeyHash map[string]*api.Operator
	versions           map[string]*Version
	models             map[string]*api.Model
	classes            map[string]*api.Class
	services           map[string]*api.Service
	rollouts           map[string]*api.Rollout
	allowedVersions    map[string]map[string]bool
	allowedServices    map[string]map[string]bool
}

// IsNewer reports whether revision a is higher than b.
func IsNewer(a, b api.Revision) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.Version > b.Version
}

// HashAPIKey returns the hex SHA-256 of an API key. Manifests hold keys in this form.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Compile checks a manifest and returns its snapshot. It keeps raw, which must not
// be changed afterwards. The error is schemacheck.Faults when the manifest is
// invalid.
func Compile(raw []byte, revision api.Revision) (*Snapshot, error) {
	m, err := Check(raw)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Revision: revision, Manifest: m, Raw: raw}
	s.indexModels()
	s.indexClasses()
	s.indexCustomers()
	return s, nil
}

func (s *Snapshot) indexModels() {
	s.models = map[string]*api.Model{}
	s.versions = map[string]*Version{}
	for i := range s.Manifest.Models {
		model := &s.Manifest.Models[i]
		s.models[model.Name] = model
		for _, v := range model.Versions {
			s.versions[v.Name] = &Version{Version: v, Model: model.Name}
		}
	}
	s.services = map[string]*api.Service{}
	for i := range s.Manifest.Services {
		s.services[s.Manifest.Services[i].Name] = &s.Manifest.Services[i]
	}
	s.rollouts = map[string]*api.Rollout{}
	for i := range s.Manifest.Rollouts {
		s.rollouts[s.Manifest.Rollouts[i].Version] = &s.Manifest.Rollouts[i]
	}
}

func (s *Snapshot) indexClasses() {
	s.classes = map[string]*api.Class{}
	for i := range s.Manifest.Classes {
		s.classes[s.Manifest.Classes[i].Name] = &s.Manifest.Classes[i]
	}
}

func (s *Snapshot) indexCustomers() {
	s.customers = map[string]*api.Customer{}
	s.customersByKeyHash = map[string]*api.Customer{}
	s.operatorsByKeyHash = map[string]*api.Operator{}
	s.allowedVersions = map[string]map[string]bool{}
	s.allowedServices = map[string]map[string]bool{}
	for i := range s.Manifest.Customers {
		c := &s.Manifest.Customers[i]
		s.customers[c.Name] = c
		for _, hash := range c.KeyHashes {
			s.customersByKeyHash[hash] = c
		}
		s.allowedVersions[c.Name] = s.versionsAllowedTo(c)
		s.allowedServices[c.Name] = toSet(c.Services)
	}
	for i := range s.Manifest.Operators {
		s.operatorsByKeyHash[s.Manifest.Operators[i].KeyHash] = &s.Manifest.Operators[i]
	}
}

// versionsAllowedTo returns the versions that a customer lists by name plus all
// versions of the models that it lists.
func (s *Snapshot) versionsAllowedTo(c *api.Customer) map[string]bool {
	allowed := toSet(c.Versions)
	for _, name := range c.Models {
		model, ok := s.models[name]
		if !ok {
			continue
		}
		for _, v := range model.Versions {
			allowed[v.Name] = true
		}
	}
	return allowed
}

func toSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// CustomerByKey returns the customer of an API key. The lookup uses the hash of
// the key, so its timing reveals nothing about the key.
func (s *Snapshot) CustomerByKey(key string) (*api.Customer, bool) {
	c, ok := s.customersByKeyHash[HashAPIKey(key)]
	return c, ok
}

// OperatorByKey returns the operator of an API key.
func (s *Snapshot) OperatorByKey(key string) (*api.Operator, bool) {
	o, ok := s.operatorsByKeyHash[HashAPIKey(key)]
	return o, ok
}

// Customer returns a customer by name.
func (s *Snapshot) Customer(name string) (*api.Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Class returns a class by name. The empty name selects the first class of the
// manifest.
func (s *Snapshot) Class(name string) (*api.Class, bool) {
	if name == "" && len(s.Manifest.Classes) > 0 {
		return &s.Manifest.Classes[0], true
	}
	c, ok := s.classes[name]
	return c, ok
}

// Version returns a version by name.
func (s *Snapshot) Version(name string) (*Version, bool) {
	v, ok := s.versions[name]
	return v, ok
}

// Model returns a model by name.
func (s *Snapshot) Model(name string) (*api.Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Service returns a plain service by name.
func (s *Snapshot) Service(name string) (*api.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Rollout returns the rollout of a version.
func (s *Snapshot) Rollout(version string) (*api.Rollout, bool) {
	r, ok := s.rollouts[version]
	return r, ok
}

// Operation returns an operation of a plain service by name.
func (s *Snapshot) Operation(service, operation string) (*api.Operation, bool) {
	v, ok := s.services[service]
	if !ok {
		return nil, false
	}
	for i := range v.Operations {
		if v.Operations[i].Name == operation {
			return &v.Operations[i], true
		}
	}
	return nil, false
}

// AllowsVersion reports whether a customer may use a version, in any phase.
func (s *Snapshot) AllowsVersion(customer, version string) bool {
	return s.allowedVersions[customer][version]
}

// AllowsService reports whether a customer may call a plain service.
func (s *Snapshot) AllowsService(customer, service string) bool {
	return s.allowedServices[customer][service]
}
