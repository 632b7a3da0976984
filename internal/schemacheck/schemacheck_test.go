package schemacheck

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/schema"
)

const validSettings = `{"role":"entry","instance":"e1","failureDomain":"a","region":"r",
 "listen":{"health":"127.0.0.1:1","peer":"127.0.0.1:2"},"platform":{"url":"http://127.0.0.1:3"}}`

// Guards against decoded documents in which absent properties lack their default values.
func TestDecodeFillsDefaults(t *testing.T) {
	raw := `{"schemaVersion":1,"operators":[{"name":"op","keyHash":"` + hash + `"}],"customers":[{"name":"c","keyHashes":["` + hash + `"]}],
	 "models":[{"name":"m","versions":[{"name":"m-1","phase":"serving","costPerKiloToken":1}]}],
	 "classes":[{"name":"q","qualityTarget":0.5,"deadlineMs":10,"weighting":"latency"}]}`
	var m api.Manifest
	assert.NilError(t, Embedded("manifest").Decode([]byte(raw), &m))
	assert.Equal(t, m.Customers[0].Weight, 1)
	assert.Equal(t, m.Models[0].Versions[0].FirstTokenMs, 200.0)
	assert.Equal(t, m.Classes[0].Priority, 5)
}

const hash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// Guards against a check that stops at the first of several faults.
func TestDecodeReportsEveryFault(t *testing.T) {
	raw := `{"role":"router","instance":"E 1","failureDomain":"a","region":"r","colour":1,
	 "listen":{"health":"127.0.0.1:1"},"platform":{"url":"x"}}`
	var s api.Settings
	err := Embedded("settings").Decode([]byte(raw), &s)
	var faults Faults
	assert.Assert(t, errors.As(err, &faults))
	paths := map[string]bool{}
	for _, f := range faults {
		paths[f.Path] = true
	}
	for _, want := range []string{"$.role", "$.instance", "$.colour", "$.listen"} {
		assert.Assert(t, paths[want], "no fault for %s in %v", want, faults)
	}
}

// Guards against accepted settings that lack the required instance name.
func FuzzDecodeSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"role":[]}`))
	s := Embedded("settings")
	f.Fuzz(func(t *testing.T, raw []byte) {
		var out api.Settings
		if err := s.Decode(raw, &out); err == nil && out.Instance == "" {
			t.Fatalf("Decode accepted settings without an instance: %q", raw)
		}
	})
}

// Guards against an invalid schema, which a process would report only at its first use.
func TestEverySchemaCompiles(t *testing.T) {
	entries, err := schema.Files.ReadDir(".")
	assert.NilError(t, err)
	assert.Assert(t, len(entries) > 0)
	for _, entry := range entries {
		_, err := Embedded(strings.TrimSuffix(entry.Name(), ".json")).load()
		assert.NilError(t, err)
	}
	assert.ErrorContains(t, Embedded("missing").Decode([]byte("{}"), &struct{}{}), "does not exist")
}
