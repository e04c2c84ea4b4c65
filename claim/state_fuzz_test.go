package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/burdockward/burdockward/membership"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// oracle checks the ends of calls against all earlier ones. A grant counts as a start,
// because a process may be paused for any time between the two. So the owner of a key
// never changes, also when it is lost.
type oracle struct {
	// owner is the process to which a key was granted.
	owner map[Hash]membership.Member
	// notRun holds the keys that were refused.
	notRun map[Hash]bool
}

func newOracle() *oracle {
	return &oracle{
		owner:  map[Hash]membership.Member{},
		notRun: map[Hash]bool{},
	}
}

// check checks the end of a call.
func (o *oracle) check(t *rapid.T, v *vm, call callInfo, d Done) {
	if d.Failure != nil {
		return
	}
	h := call.hash
	owner, owned := o.owner[h]
	switch {
	case d.Result.Granted && call.kind == kindBurn:
		if owned {
			t.Fatalf("key %x of %v burned by %v", h[:4], owner, v.self)
		}
		o.notRun[h] = true
	case d.Result.Granted:
		o.recordGrant(t, v, h)
	case d.Result.State == NotRun:
		if owned && !o.notRun[h] {
			t.Fatalf("key %x of %v reported as not run to %v", h[:4], owner, v.self)
		}
		o.notRun[h] = true
	case d.Result.State == Completed && !owned:
		t.Fatalf("key %x reported as completed, but it was never granted", h[:4])
	}
}

func (o *oracle) recordGrant(t *rapid.T, v *vm, h Hash) {
	if owner, owned := o.owner[h]; owned {
		t.Fatalf("key %x of %v granted to %v", h[:4], owner, v.self)
	}
	if o.notRun[h] {
		t.Fatalf("refused key %x granted to %v", h[:4], v.self)
	}
	o.owner[h] = v.self
	v.grants = append(v.grants, h)
}

// fuzz drives a test cluster by random actions.
type fuzz struct {
	*testCluster
	t      *rapid.T
	oracle *oracle
	names  []string
	tokens []string
	// homes are the home tags of the processes that started last.
	homes []string
	// used are the last keys, all are all keys of the run.
	used []usedKey
	all  []usedKey
	// keyCount is the number of keys of the run.
	keyCount int
	// groups are the sides of a partitioned network by address.
	groups map[string]int
	// delayed are messages that arrive late, often in another view.
	delayed []packet
	// calm runs have at most one process down or paused at a time, so that the
	// epochs stay open.
	calm bool
}

// usedKey is a key that was claimed before.
type usedKey struct {
	token, unique string
}

const (
	fuzzSteps    = 150
	fuzzUsed     = 12
	fuzzTokens   = 4
	fuzzHomes    = 6
	maxPackets   = 400
	maxDelayed   = 40
	settlingTime = 12 * time.Second
)

// fuzzConfig makes view changes quick, so that a run has many of them.
var fuzzConfig = membership.Config{
	HeartbeatInterval: 400 * time.Millisecond,
	ProbeInterval:     100 * time.Millisecond,
	Probes:            2,
	StartWait:         800 * time.Millisecond,
	ContactInterval:   2 * time.Second,
	EpochLength:       10 * time.Second,
	RetainedEpochs:    3,
}

func (f *fuzz) pick(what string, n int) int { return rapid.IntRange(0, n-1).Draw(f.t, what) }

func (f *fuzz) pickVM() *vm {
	ids := f.ids()
	return f.vms[ids[f.pick("vm", len(ids))]]
}

func (f *fuzz) boot(id string) *vm {
	v := f.testCluster.boot(id, f.names...)
	f.homes = append(f.homes, homeTag(v.self))
	f.homes = f.homes[max(0, len(f.homes)-fuzzHomes):]
	return v
}

// action is one kind of step with its weight in the random choice.
type action struct {
	weight int
	do     func()
}

func (f *fuzz) actions() []action {
	return []action{
		{20, f.deliverOne},
		{20, func() { f.deliverMany(20) }},
		{2, f.losePacket},
		{2, f.duplicatePacket},
		{4, f.delay},
		{3, f.deliverDelayed},
		{8, func() { f.tick(testTick) }},
		{6, func() { f.tick(4 * testTick) }},
		{6, func() { f.settle(300 * time.Millisecond) }},
		{4, func() { f.settle(time.Second) }},
		{1, func() { f.settle(6 * time.Second) }},
		{6, f.runToChange},
		{18, f.claim},
		{4, func() { f.claimAgain(f.used) }},
		{4, f.loseHolders},
		{3, f.finishKey},
		{3, f.returnGrant},
		{4, f.pause},
		{4, f.killOrBoot},
		{3, f.partition},
		{1, f.leave},
	}
}

// step does one action.
func (f *fuzz) step() {
	f.recordTokens()
	f.removeLeft()
	if !f.calm && f.pick("restart all", 1000) == 0 {
		f.restartAll()
		return
	}
	total := 0
	for _, a := range f.actions() {
		total += a.weight
	}
	n := f.pick("action", total)
	for _, a := range f.actions() {
		if n -= a.weight; n < 0 {
			a.do()
			return
		}
	}
}

// removeLeft removes processes that have left their view.
func (f *fuzz) removeLeft() {
	for _, id := range f.ids() {
		if f.vms[id].state.Membership().Left() && len(f.vms) > 1 {
			delete(f.vms, id)
		}
	}
}

func (f *fuzz) recordTokens() {
	for _, id := range f.ids() {
		token := f.vms[id].state.Membership().CurrentEpoch()
		if token != "" && !slices.Contains(f.tokens, token) {
			f.tokens = append(f.tokens, token)
		}
	}
	f.tokens = f.tokens[max(0, len(f.tokens)-fuzzTokens):]
}

// reaches reports whether the network lets a message through now.
func (f *fuzz) reaches(p packet) bool {
	return f.groups[p.from.Address] == f.groups[p.address]
}

// deliverAt delivers a message. It keeps the message and returns false when the receiver
// is paused.
func (f *fuzz) deliverAt(i int) bool {
	p := f.packets[i]
	for _, v := range f.vms {
		if v.self.Address == p.address && v.paused {
			return false
		}
	}
	f.packets = slices.Delete(f.packets, i, i+1)
	if f.reaches(p) {
		f.testCluster.deliver(p)
	}
	return true
}

func (f *fuzz) deliverOne() {
	if len(f.packets) > 0 {
		f.deliverAt(f.pick("packet", len(f.packets)))
	}
}

func (f *fuzz) deliverMany(n int) {
	for i := 0; n > 0 && i < len(f.packets); n-- {
		if !f.deliverAt(i) {
			i++
		}
	}
	f.packets = f.packets[max(0, len(f.packets)-maxPackets):]
}

func (f *fuzz) losePacket() {
	if len(f.packets) > 0 {
		i := f.pick("packet", len(f.packets))
		f.packets = slices.Delete(f.packets, i, i+1)
	}
}

func (f *fuzz) duplicatePacket() {
	if len(f.packets) > 0 {
		f.packets = append(f.packets, f.packets[f.pick("packet", len(f.packets))])
	}
}

// settle lets time pass with prompt delivery; faults stay as they are.
func (f *fuzz) settle(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.tick(2 * testTick)
		f.deliverMany(1000)
	}
}

// claimAgain claims keys that were claimed before at any VMs.
func (f *fuzz) claimAgain(keys []usedKey) {
	for _, k := range keys {
		if v := f.pickVM(); !v.paused {
			f.call(v, kindClaim, k.token, k.unique)
		}
	}
	f.deliverMany(200)
}

// claim claims, burns or looks up a key, often one of the last few.
func (f *fuzz) claim() {
	v := f.pickVM()
	if len(f.tokens) == 0 || v.paused {
		return
	}
	token := v.state.Membership().CurrentEpoch()
	if token == "" || f.pick("own token", 2) == 0 {
		token = f.tokens[f.pick("token", len(f.tokens))]
	}
	k := f.pickKey(f.withHome(v, token))
	kind := []callKind{kindClaim, kindClaim, kindClaim, kindBurn, kindLookup}[f.pick("call kind", 5)]
	f.call(v, kind, k.token, k.unique)
	if f.pick("prompt", 2) == 0 {
		f.deliverMany(40)
	}
}

// withHome adds a home VM to most tokens, often v.
func (f *fuzz) withHome(v *vm, token string) string {
	switch f.pick("home", 4) {
	case 0:
		return token
	case 1:
		return tokenWithHome(token, homeTag(v.self))
	}
	return tokenWithHome(token, f.homes[f.pick("whose", len(f.homes))])
}

// pickKey returns one of the last keys or a new one.
func (f *fuzz) pickKey(token string) usedKey {
	if len(f.used) > 0 && f.pick("again", 3) > 0 {
		return f.used[f.pick("used", len(f.used))]
	}
	f.keyCount++
	k := usedKey{token: token, unique: fmt.Sprint(f.keyCount)}
	f.used = append(f.used, k)
	f.all = append(f.all, k)
	f.used = f.used[max(0, len(f.used)-fuzzUsed):]
	return k
}

// recoverAndCheck ends all faults, claims all keys again, and checks that new keys are
// granted.
func (f *fuzz) recoverAndCheck() {
	f.groups = nil
	for _, id := range f.ids() {
		v := f.vms[id]
		v.paused = false
		if m := v.state.Membership(); m.Left() || m.Leaving() {
			f.boot(id)
		}
	}
	f.run(settlingTime)
	f.mustAgree(f.t, len(f.vms))
	f.claimAgain(f.all)
	f.drain()
	epoch := f.pickVM().state.Membership().CurrentEpoch()
	f.checkNewGrant(epoch)
	f.checkNewGrant(tokenWithHome(epoch, homeTag(f.pickVM().self)))
}

// checkNewGrant checks that one VM is granted a new key and that all VMs see it running.
func (f *fuzz) checkNewGrant(token string) {
	v := f.pickVM()
	d := f.testCluster.claim(v, token, "new")
	must.True(f.t, d.Result.Granted, must.Sprint(d, f.summary()))
	for _, id := range f.ids() {
		d := f.testCluster.claim(f.vms[id], token, "new")
		must.Eq(f.t, Result{Runner: v.self, State: Running}, d.Result)
	}
}

// runFuzz starts a failure domain, runs random actions on it and ends all faults.
func runFuzz(t *rapid.T) {
	f := &fuzz{testCluster: newCluster(), t: t, oracle: newOracle()}
	f.config = fuzzConfig
	f.config.EpochLength = []time.Duration{time.Second, 10 * time.Second}[rapid.IntRange(0, 1).Draw(t, "epoch length")]
	f.calm = rapid.Bool().Draw(t, "calm")
	f.onDone = func(v *vm, d Done) { f.oracle.check(t, v, f.calls[d.Waiter], d) }
	size := rapid.IntRange(2, 5).Draw(t, "size")
	for i := range size {
		f.names = append(f.names, string(rune('a'+i)))
	}
	for _, id := range f.names {
		f.boot(id)
	}
	f.settle(2 * time.Second)
	for range fuzzSteps {
		f.step()
	}
	f.recoverAndCheck()
}

func TestFuzzKeysAreGrantedOnce(t *testing.T) { rapid.Check(t, runFuzz) }
