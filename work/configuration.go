package work

import "strings"

// Route is a queue with the requests that reach it.
type Route struct {
	Host, Prefix string
	Queue        Queue
}

// Configuration is the operator's configuration.
type Configuration struct {
	Version int64
	Routes  []Route
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
}

// Find returns the route with the longest prefix of the path.
func (c Configuration) Find(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, route := range c.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if !found || len(route.Prefix) > len(best.Prefix) {
			best, found = route, true
		}
	}
	return best, found
}
