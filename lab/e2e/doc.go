// Package e2e tests the guarantees of burdockward with real processes on loopback: daemons,
// burdockctl, and the stand-ins of the platform and of targets.
//
// The tests inject the faults of docs/PROOFS.md (kills, freezes, outages, lost answers, concurrent
// changes by operators). They check the responses to callers and operators against the targets'
// logs of starts. They wait for conditions and assert no duration, so that a busy machine makes
// them slower but does not fail them. They need Linux.
package e2e
