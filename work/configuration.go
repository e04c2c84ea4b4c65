package work

import "strings"

// Route assigns the requests of a host and a path prefix to a queue.
type Route struct {
	Host, PathPrefix string
	Queue            Queue
}

// Configuration is the operator's configuration.
type Configuration struct {
	Version int64
	Routes  []Route
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
}

// FindRoute returns the host's route with the longest prefix of the path.
func (c Configuration) FindRoute(host, path string) (Route, bool) {
	best, found := Route{}, false
	for _, route := range c.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if !found || len(route.PathPrefix) > len(best.PathPrefix) {
			best, found = route, true
		}
	}
	return best, found
}
