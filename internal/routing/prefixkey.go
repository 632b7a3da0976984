package routing

import "github.com/cespare/xxhash/v2"

// PrefixKey combines a prompt prefix with the version that reads it, since an
// engine caches a prefix for one version only. It returns 0 for prefix 0, which
// means none.
func PrefixKey(version string, prefix uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	return prefix ^ xxhash.Sum64String(version)
}
