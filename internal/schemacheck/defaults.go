package schemacheck

import (
	"encoding/json"
	"strings"
)

// node mirrors the parts of a schema that hold default values.
type node struct {
	Ref        string           `json:"$ref"`
	Default    any              `json:"default"`
	Properties map[string]*node `json:"properties"`
	Items      *node            `json:"items"`
	Defs       map[string]*node `json:"$defs"`
}

func newDefaults(raw []byte) (*node, error) {
	root := &node{}
	if err := json.Unmarshal(raw, root); err != nil {
		return nil, err
	}
	root.resolve(root.Defs)
	return root, nil
}

// resolve replaces references to definitions by the definitions themselves.
func (n *node) resolve(defs map[string]*node) {
	for name, property := range n.Properties {
		n.Properties[name] = property.target(defs)
	}
	if n.Items != nil {
		n.Items = n.Items.target(defs)
	}
	for _, def := range n.Defs {
		def.resolve(defs)
	}
}

func (n *node) target(defs map[string]*node) *node {
	if def, ok := defs[strings.TrimPrefix(n.Ref, "#/$defs/")]; ok {
		return def
	}
	n.resolve(defs)
	return n
}

// fill sets the default of every absent property below value.
func (n *node) fill(value any) {
	switch v := value.(type) {
	case map[string]any:
		n.fillObject(v)
	case []any:
		if n.Items == nil {
			return
		}
		for _, item := range v {
			n.Items.fill(item)
		}
	}
}

func (n *node) fillObject(object map[string]any) {
	for name, property := range n.Properties {
		present, ok := object[name]
		if ok {
			property.fill(present)
			continue
		}
		if property.Default != nil {
			object[name] = property.Default
		}
	}
}
