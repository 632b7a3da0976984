package routing

import "github.com/cespare/xxhash/v2"

// PrefixKey combines the fingerprint of a prompt prefix with a version, because a
// cached prefix is valid for one version only. It returns 0 for a prefix of 0,
// which means that there is none.
func PrefixKey(version string, prefix uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	return prefix ^ xxhash.Sum64String(version)
}
