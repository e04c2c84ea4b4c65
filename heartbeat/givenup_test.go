package heartbeat

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/burdockward/burdockward/link/linkpb"
)

// pingsOf returns the next ping to each owner.
func pingsOf(s *Service) map[uint64]*linkpb.Ping {
	pings := map[uint64]*linkpb.Ping{}
	for _, p := range s.preparePings(func(uint64) bool { return true }) {
		pings[p.ping.GetOwnerLife()] = p.ping
	}
	return pings
}

// A request is named to the owner at which it was given up, and to no other one: the same job may run
// there for a later request. Pings to owners of older builds name its job.
func TestGivenUpRequestIsNamedToItsOwnerAlone(t *testing.T) {
	s := &Service{listener: silentListener{}, peers: newPeerTable()}
	s.peers.setOwners(0, []Owner{{VM: "o", Incarnation: 1, HeartbeatAddress: "o:1"}, {VM: "p", Incarnation: 2, HeartbeatAddress: "p:1"}})
	given := GivenUp{Job: "j", Request: 7}
	s.peers.giveUp(0, 1, given)
	for range givenUpPings {
		pings := pingsOf(s)
		must.Eq(t, []GivenUp{given}, givenUpIn(pings[1]))
		must.Eq(t, []string{"j"}, pings[1].GetGivenUp())
		must.SliceEmpty(t, givenUpIn(pings[2]))
		must.SliceEmpty(t, pings[2].GetGivenUp())
	}
	must.Eq(t, []GivenUp{{Job: "j"}}, givenUpIn(&linkpb.Ping{GivenUp: []string{"j"}}))
	s.peers.expire(givenUpRetention)
	must.MapLen(t, 1, s.peers.givenUp)
	s.peers.expire(givenUpRetention + ms)
	must.MapEmpty(t, s.peers.givenUp)
}

// A VM that gives up many requests at once, because their owner is lost to it, names each of them in
// several pings, none of which is too large to be read.
func TestManyGivenUpRequestsFitIntoPings(t *testing.T) {
	s := &Service{listener: silentListener{}, peers: newPeerTable()}
	s.peers.setOwners(0, []Owner{{VM: "o", Incarnation: 1, HeartbeatAddress: "o:1"}})
	const requests = 450
	for i := range uint64(requests) {
		s.peers.giveUp(0, 1, GivenUp{Job: "0123456789abcdef", Request: 1<<40 + i})
	}
	named := map[uint64]int{}
	for range givenUpPings * (requests + maxGivenUpPerPing - 1) / maxGivenUpPerPing {
		ping := pingsOf(s)[1]
		must.Less(t, maxDatagram, proto.Size(ping)+1)
		for _, given := range givenUpIn(ping) {
			named[given.Request]++
		}
	}
	must.MapLen(t, requests, named)
	for _, pings := range named {
		must.GreaterEq(t, givenUpPings-1, pings)
	}
	for i := range uint64(maxGivenUp) {
		s.peers.giveUp(0, 1, GivenUp{Request: i})
	}
	must.MapLen(t, maxGivenUp, s.peers.givenUp[1])
}
