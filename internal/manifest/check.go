package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"

	"github.com/borageflow/borageflow/api"
	"github.com/borageflow/borageflow/internal/platform"
	"github.com/borageflow/borageflow/internal/schemacheck"
)

var manifestSchema = schemacheck.Embedded("manifest")

// Check decodes a manifest and checks its form and its meaning. The error is
// schemacheck.Faults and names every fault. The meaning is checked once the form
// is right.
func Check(raw []byte) (api.Manifest, error) {
	if len(raw) > platform.MaxValueBytes {
		problem := fmt.Sprintf("has %d bytes, at most %d are allowed", len(raw), platform.MaxValueBytes)
		return api.Manifest{}, schemacheck.Faults{{Path: "$", Problem: problem}}
	}
	var m api.Manifest
	faults := duplicateFields(raw)
	if err := manifestSchema.Decode(raw, &m); err != nil {
		var found schemacheck.Faults
		if !errors.As(err, &found) {
			return api.Manifest{}, err
		}
		return api.Manifest{}, sorted(append(faults, found...))
	}
	faults = append(faults, checkMeaning(&m)...)
	if len(faults) > 0 {
		return api.Manifest{}, sorted(faults)
	}
	return m, nil
}

func sorted(faults schemacheck.Faults) schemacheck.Faults {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

// duplicateFields finds object fields that occur twice. The decoder would keep
// the last one and hide the other from its author.
func duplicateFields(raw []byte) schemacheck.Faults {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	var faults schemacheck.Faults
	// A syntax error is reported by the schema check.
	_ = walkValue(decoder, "$", &faults)
	return faults
}

func walkValue(d *json.Decoder, path string, faults *schemacheck.Faults) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return walkObject(d, path, faults)
	case json.Delim('['):
		return walkArray(d, path, faults)
	}
	return nil
}

func walkObject(d *json.Decoder, path string, faults *schemacheck.Faults) error {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		field := path + "." + name
		if seen[name] {
			*faults = append(*faults, schemacheck.Fault{Path: field, Problem: "occurs twice, at most once is allowed"})
		}
		seen[name] = true
		if err := walkValue(d, field, faults); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func walkArray(d *json.Decoder, path string, faults *schemacheck.Faults) error {
	for i := 0; d.More(); i++ {
		if err := walkValue(d, fmt.Sprintf("%s[%d]", path, i), faults); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}
