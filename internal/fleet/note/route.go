package note

import (
	"cmp"
	"net"
	"reflect"
	"slices"
	"strings"
	"time"

	"jacinthcross/internal/base/ident"
)

// A Route sends the calls to a host and a path prefix to one service, or to several services by weight.
type Route struct {
	Name   ident.Route
	Host   string
	Prefix string
	// Split lists the services with their weights. It has at least one entry.
	Split []Share
	// Idempotent is set if a call may be executed more than once.
	Idempotent bool
	// Timeout is the maximum time that a caller waits for an answer. Zero means the timeout of the service.
	Timeout time.Duration
	// Aim is the latency objective: an answer within this time is as useful to the caller as an immediate one. Zero
	// means that none is set.
	Aim time.Duration
	// Attempts is the maximum number of targets to which a call may be sent. Zero means that only the retry budgets
	// limit it.
	Attempts int
	Rank     ident.Rank
}

// Equal reports whether two routes are equal in all fields.
func (r Route) Equal(o Route) bool {
	split, other := r.Split, o.Split
	r.Split, o.Split = nil, nil
	return slices.Equal(split, other) && reflect.DeepEqual(r, o)
}

// A Share is the weight of a service in a route.
type Share struct {
	Service ident.Service
	Weight  int
}

// DefaultRoute returns the route for calls to the service with the given method that match no route of the release. It
// has no name.
func (s *Service) DefaultRoute(method string) Route {
	return Route{Split: []Share{{Service: s.Name, Weight: 1}}, Idempotent: s.Idempotent(method), Timeout: s.Timeout, Rank: s.Rank}
}

// A routeIndex holds the routes by host, sorted from the longest prefix to the shortest.
type routeIndex map[string][]Route

func newRouteIndex(routes map[ident.Route]Route) routeIndex {
	x := routeIndex{}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		x[host] = append(x[host], r)
	}
	for _, list := range x {
		slices.SortFunc(list, func(a, b Route) int {
			return cmp.Or(len(b.Prefix)-len(a.Prefix), strings.Compare(string(a.Name), string(b.Name)))
		})
	}
	return x
}

// MatchRoute returns the route of a host with the longest prefix that matches the path.
func (r *Release) MatchRoute(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	list, ok := r.lookupIndex().routes[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			list = r.lookupIndex().routes[name]
		}
	}
	for _, route := range list {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// RouteOf returns the route of a call: the default route of the service that the call names, else the route that matches
// its host and path, else the default route of the service that lists its host. The query of uri is ignored.
func (r *Release) RouteOf(service ident.Service, host, method, uri string) (Route, bool) {
	if service == "" {
		path, _, _ := strings.Cut(uri, "?")
		if route, ok := r.MatchRoute(host, path); ok {
			return route, true
		}
		service, _ = r.ServiceByHost(host)
	}
	s, ok := r.Services[service]
	if !ok {
		return Route{}, false
	}
	return s.DefaultRoute(method), true
}
