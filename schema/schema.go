// Package schema embeds the JSON Schemas of the documents that the project reads and
// writes, such as settings, manifests, peer messages, status, usage records, traces, load
// plans, load results and expected outcomes.
package schema

import "embed"

// Files holds every schema as <name>.json.
//
//go:embed *.json
var Files embed.FS
