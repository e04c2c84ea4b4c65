package target

import (
	"cmp"
	"net/http"
	"slices"

	client "github.com/burdockward/burdockward/targetclient"
)

func (s *Server) postRevoke(w http.ResponseWriter, r *http.Request) {
	var request client.RevokeRequest
	if !readJSON(w, r, &request) {
		return
	}
	writeJSON(w, http.StatusOK, client.RevokeResponse{Running: s.revoke(request.Holders)})
}

// revoke drops the leases of all holders except the given ones, and returns the running tasks that
// were started under leases of those other holders.
func (s *Server) revoke(holders []string) []client.RunningTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.RevokeRequests++
	for id, l := range s.leases {
		if !slices.Contains(holders, l.holder) {
			delete(s.leases, id)
		}
	}
	running := []client.RunningTask{}
	for r := range s.running {
		if !slices.Contains(holders, r.holder) {
			running = append(running, client.RunningTask{TaskID: r.id, Limits: r.limits})
		}
	}
	slices.SortFunc(running, func(a, b client.RunningTask) int {
		return cmp.Or(cmp.Compare(a.Submission, b.Submission), cmp.Compare(a.Task, b.Task))
	})
	return running
}
