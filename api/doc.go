// Package api holds the message and settings types generated from the schemas
// in folder schema. Run .ci/generate after a schema changes.
package api
