package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/borageflow/borageflow/api"
)

// ChangeKind states what happened to a thing of a manifest.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two manifests.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Section is the list of the manifest, such as "customers" or "versions".
	Section string `json:"section"`
	// Name names the item; a version or operation carries its parent's name as
	// "parent/name". It is empty for a field of the manifest itself.
	Name string `json:"name,omitempty"`
	// Field is the changed field; empty when the whole item came or went.
	Field string `json:"field,omitempty"`
	// Old and New are JSON; absent values are empty.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// String renders a change as one line.
func (c Change) String() string {
	name := strings.TrimSpace(c.Section + " " + c.Name)
	switch c.Kind {
	case Added:
		return "+ " + name
	case Removed:
		return "- " + name
	}
	return fmt.Sprintf("~ %s %s: %s -> %s", name, c.Field, orNone(c.Old), orNone(c.New))
}

func orNone(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "(none)"
	}
	return string(raw)
}

// Changes are the differences between two manifests.
type Changes []Change

// String renders one line per change.
func (c Changes) String() string {
	lines := make([]string, len(c))
	for i, change := range c {
		lines[i] = change.String()
	}
	return strings.Join(lines, "\n")
}

// itemKeys names the field that identifies the items of each list.
var itemKeys = map[string]string{
	"operators": "name", "customers": "name", "models": "name", "versions": "name",
	"services": "name", "operations": "name", "classes": "name", "rollouts": "version",
	"pools": "name", "objectives": "class",
}

// commitField is written by every commit and is no change of the operator's.
const commitField = "commit"

// Diff lists the changes from old to next, ordered by section, name and field.
// Items are matched by name, so that their order does not matter.
func Diff(old, next *api.Manifest) (Changes, error) {
	before, err := fields(old)
	if err != nil {
		return nil, err
	}
	after, err := fields(next)
	if err != nil {
		return nil, err
	}
	delete(before, commitField)
	delete(after, commitField)
	var changes Changes
	if err := diffFields(&changes, "manifest", "", before, after); err != nil {
		return nil, err
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].order() < changes[j].order() })
	return changes, nil
}

func (c Change) order() string { return c.Section + "\x00" + c.Name + "\x00" + c.Field }

func fields(v any) (map[string]json.RawMessage, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "manifest cannot be encoded")
	}
	var out map[string]json.RawMessage
	if err := json.Unmarshal(raw, &out); err != nil {
		return nil, eris.Wrap(err, "manifest cannot be compared")
	}
	return out, nil
}

func diffFields(changes *Changes, section, name string, before, after map[string]json.RawMessage) error {
	for _, field := range fieldNames(before, after) {
		was, is := before[field], after[field]
		if bytes.Equal(was, is) {
			continue
		}
		if key, ok := itemKeys[field]; ok && holdsItems(was, is) {
			if err := diffItems(changes, field, key, name, was, is); err != nil {
				return err
			}
			continue
		}
		*changes = append(*changes, Change{Kind: Changed, Section: section, Name: name, Field: field, Old: was, New: is})
	}
	return nil
}

// holdsItems tells a list of items from a list of names: a customer's "models"
// are names, the manifest's are items.
func holdsItems(lists ...json.RawMessage) bool {
	for _, list := range lists {
		if bytes.HasPrefix(list, []byte("[{")) {
			return true
		}
	}
	return false
}

func diffItems(changes *Changes, section, key, parent string, was, is json.RawMessage) error {
	before, err := items(was, key, parent)
	if err != nil {
		return err
	}
	after, err := items(is, key, parent)
	if err != nil {
		return err
	}
	for name, item := range before {
		if _, ok := after[name]; !ok {
			*changes = append(*changes, Change{Kind: Removed, Section: section, Name: name, Old: encode(item)})
		}
	}
	for name, item := range after {
		old, ok := before[name]
		if !ok {
			*changes = append(*changes, Change{Kind: Added, Section: section, Name: name, New: encode(item)})
			continue
		}
		if err := diffFields(changes, section, name, old, item); err != nil {
			return err
		}
	}
	return nil
}

func items(raw json.RawMessage, key, parent string) (map[string]map[string]json.RawMessage, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var list []map[string]json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, eris.Wrap(err, "list of a manifest cannot be compared")
	}
	out := map[string]map[string]json.RawMessage{}
	for _, item := range list {
		name := strings.Trim(string(item[key]), `"`)
		if parent != "" {
			name = parent + "/" + name
		}
		out[name] = item
	}
	return out, nil
}

// encode cannot fail: the item was decoded from JSON.
func encode(item map[string]json.RawMessage) json.RawMessage {
	raw, _ := json.Marshal(item)
	return raw
}

func fieldNames(a, b map[string]json.RawMessage) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
