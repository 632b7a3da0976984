package forward

import (
	"slices"
	"strings"
)

// RouteTable finds the route of a request by its host and path.
type RouteTable struct {
	hosts map[string][]*Route // longest prefix first
}

// NewRouteTable indexes the routes of a configuration. The result refers to the elements of
// routes.
func NewRouteTable(routes []Route) *RouteTable {
	t := &RouteTable{hosts: map[string][]*Route{}}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Match returns the route whose prefix of path is longest, or nil if none matches. The host
// may include a port, and its case is ignored.
func (t *RouteTable) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// PickService returns the service for a request, chosen by the weights of the splits; u is
// a random number in [0, 1). It returns "" for a route without splits.
func (r *Route) PickService(u float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Splits {
		if u < s.Weight {
			return s.Service
		}
		u -= s.Weight
	}
	if n := len(r.Splits); n > 0 {
		return r.Splits[n-1].Service
	}
	return ""
}
