// Package schema embeds the JSON Schemas of settings, manifest, peer messages,
// status, usage records, traces, load plans, load results and stated outcomes.
package schema

import "embed"

// Files holds every schema as "<name>.json".
//
//go:embed *.json
var Files embed.FS
