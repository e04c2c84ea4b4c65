package domains

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockward/burdockward/tableservice"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func entries(domain string, n int) []tableservice.VM {
	var vms []tableservice.VM
	for i := range n {
		id := fmt.Sprint(domain, i)
		vms = append(vms, tableservice.VM{ID: id, Kind: tableservice.KindEntry, Domain: domain, PeerAddress: "at-" + id, State: tableservice.StateLive})
	}
	return vms
}

// newDirectory returns the directory of a VM in failure domain "a", one of four.
func newDirectory(seeds map[string][]string) *Directory {
	return NewDirectory("vm", "a", []string{"a", "b", "c", "d"}, seeds, DefaultTimes())
}

func TestDirectoryReadsEveryListOncePerRefresh(t *testing.T) {
	d := newDirectory(nil)
	reads := map[string][]time.Duration{}
	for now := time.Duration(0); now < time.Hour; now += tickInterval {
		if domain, since, due := d.Due(now); due {
			must.Eq(t, min(len(reads[domain]), 1), int(since))
			reads[domain] = append(reads[domain], now)
			_, _, twice := d.Due(now)
			must.False(t, twice)
			d.ListRead(now, domain, tableservice.List{Version: 1, VMs: entries(domain, 9)})
		}
	}
	must.MapLen(t, 3, reads)
	for domain, times := range reads {
		must.LessEq(t, 3*DefaultTimes().MinGap, times[0], must.Sprint(domain))
		must.SliceLen(t, 6, times)
	}
}

func TestDirectoryKeepsAddressesWhilePlatformIsDown(t *testing.T) {
	d := newDirectory(map[string][]string{"c": {"seed"}, "a": {"own"}})
	d.ListRead(0, "b", tableservice.List{Version: 5, VMs: entries("b", 2)})
	reads := map[string]int{}
	for now := time.Duration(0); now < time.Hour; now += tickInterval {
		if domain, _, due := d.Due(now); due {
			reads[domain]++
			d.ReadFailed(now, domain)
		}
	}
	must.LessEq(t, 70, reads["b"]+reads["c"]+reads["d"])
	must.MapLen(t, 3, reads, must.Sprint("only some lists are read"))
	must.SliceLen(t, 2, d.Candidates(time.Hour, "b"))
	must.Eq(t, []string{"seed"}, d.Candidates(time.Hour, "c"))
	must.SliceEmpty(t, d.Candidates(time.Hour, "a"))
	must.SliceEmpty(t, d.Candidates(time.Hour, "elsewhere"))
}

func TestDirectoryKeepsFewLiveEntryVMs(t *testing.T) {
	d := newDirectory(map[string][]string{"b": {"at-b1", "seed"}})
	vms := entries("b", 2)
	for i, change := range []func(*tableservice.VM){
		func(vm *tableservice.VM) { vm.State = tableservice.StateLeaving },
		func(vm *tableservice.VM) { vm.Kind = tableservice.KindTarget },
		func(vm *tableservice.VM) { vm.Domain = "c" },
		func(vm *tableservice.VM) { vm.PeerAddress = "" },
	} {
		vm := tableservice.VM{ID: fmt.Sprint("x", i), Kind: tableservice.KindEntry, Domain: "b", PeerAddress: fmt.Sprint("x", i), State: tableservice.StateLive}
		change(&vm)
		vms = append(vms, vm)
	}
	d.ListRead(0, "b", tableservice.List{Version: 2, VMs: vms})
	must.SliceContainsAll(t, []string{"at-b0", "at-b1", "seed"}, d.Candidates(0, "b"))
	d.ListRead(0, "b", tableservice.List{Version: 1, VMs: entries("b", 9)})
	must.SliceLen(t, 3, d.Candidates(0, "b"), must.Sprint("an older list was used"))
	d.ListRead(0, "b", tableservice.List{Version: 3, VMs: entries("b", 9)})
	must.SliceLen(t, MaxVMs, without(d.Candidates(0, "b"), "seed", "at-b1"), must.Sprint("more than MaxVMs of the list"))
}

func without(list []string, drop ...string) []string {
	var kept []string
	for _, s := range list {
		if s != drop[0] {
			kept = append(kept, s)
		}
	}
	return kept
}

func TestDirectoriesChooseDifferentVMs(t *testing.T) {
	first := map[string]bool{}
	for i := range 60 {
		d := NewDirectory(fmt.Sprint("vm", i), "a", []string{"a", "b"}, nil, DefaultTimes())
		d.ListRead(0, "b", tableservice.List{Version: 1, VMs: entries("b", 9)})
		first[d.Candidates(0, "b")[0]] = true
	}
	must.MapLen(t, 9, first)
}

func TestDirectoryAsksOtherVMsAfterSilence(t *testing.T) {
	d := newDirectory(nil)
	for _, domain := range []string{"b", "c", "d"} {
		d.ListRead(0, domain, tableservice.List{Version: 1, VMs: entries(domain, 3)})
	}
	before := d.Candidates(0, "b")
	d.MarkSilent("b", before[0])
	must.Eq(t, []string{before[1], before[2], before[0]}, d.Candidates(0, "b"))
	_, _, due := d.Due(DefaultTimes().EarlyRefresh - 1)
	must.False(t, due)
	domain, _, due := d.Due(DefaultTimes().EarlyRefresh)
	must.True(t, due)
	must.Eq(t, "b", domain)
	d.ReadFailed(DefaultTimes().EarlyRefresh, domain)

	d.MarkUnreachable(time.Minute, "b")
	must.SliceEmpty(t, d.Candidates(time.Minute+DefaultTimes().UnreachablePause-1, "b"))
	must.SliceLen(t, 3, d.Candidates(time.Minute+DefaultTimes().UnreachablePause, "b"))
	must.SliceLen(t, 3, d.Candidates(time.Minute, "c"))
	must.SliceLen(t, 9, d.Addresses())
	must.Eq(t, d.Candidates(time.Minute, "c")[0], d.Addresses()[1])
}

func TestDirectoryReadsEmptyListAgainEarly(t *testing.T) {
	d := newDirectory(nil)
	for _, domain := range []string{"b", "c", "d"} {
		d.ListRead(0, domain, tableservice.List{Version: 1, VMs: entries(domain, min(1, int(domain[0]-'b')))})
	}
	domain, _, due := d.Due(DefaultTimes().EarlyRefresh)
	must.True(t, due)
	must.Eq(t, "b", domain)
}

// Random lists, failed reads and silent VMs leave the number of addresses and the rate
// of reads bounded.
func TestDirectoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectory(map[string][]string{"b": {"1", "2", "3", "4"}})
		now, last := time.Duration(0), -time.Hour
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
			for _, domain := range []string{"b", "c", "d", "e"} {
				addresses := d.Candidates(now, domain)
				must.LessEq(t, 2*MaxVMs, len(addresses))
				if len(addresses) > 0 && rapid.Bool().Draw(t, "silent") {
					d.MarkSilent(domain, addresses[0])
					must.SliceContainsAll(t, addresses, d.Candidates(now, domain))
				}
				if rapid.IntRange(0, 5).Draw(t, "cut") == 0 {
					d.MarkUnreachable(now, domain)
				}
			}
			domain, _, due := d.Due(now)
			if !due {
				continue
			}
			must.GreaterEq(t, DefaultTimes().MinGap, now-last)
			last = now
			if rapid.Bool().Draw(t, "fails") {
				d.ReadFailed(now, domain)
			} else {
				d.ListRead(now, domain, tableservice.List{Version: uint64(rapid.IntRange(1, 9).Draw(t, "version")), VMs: entries(domain, rapid.IntRange(0, 9).Draw(t, "vms"))})
			}
		}
	})
}
