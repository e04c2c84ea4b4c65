package slopes

import (
	"bytes"
	"net/netip"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/settings"
)

// lineResult returns a result with two runs at each of four points of the line y = 3 + 2x, one 0.5
// above and one 0.5 below it.
func lineResult() *result {
	r := &result{Experiment: "line", Variable: "x", Window: 1}
	for _, x := range []float64{1, 2, 5, 10} {
		y := 3 + 2*x
		r.Points = append(r.Points, point{X: x, Runs: []costs{
			{"cost": y + 0.5, "nothing": 0},
			{"cost": y - 0.5, "nothing": 0},
		}})
	}
	return r
}

func TestFitReturnsLineAndSpread(t *testing.T) {
	f := lineResult().fitOf("cost")
	must.InDelta(t, 2, f.Slope, 1e-9)
	must.InDelta(t, 3, f.Intercept, 1e-9)
	must.InDelta(t, 1, f.Spread, 1e-9)
	must.InDelta(t, 5, f.First, 1e-9)
	must.InDelta(t, 23, f.Last, 1e-9)
	// Eight residuals of 0.5 over six degrees of freedom, and the points'
	// squared distance from their mean is 98.
	must.InDelta(t, 0.0583, f.Error, 1e-4)
}

func TestSavedResultIsReadAndDrawn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "dir", "line.json")
	saved := lineResult()
	must.NoError(t, saved.save(path))
	read, err := readResult(path)
	must.NoError(t, err)
	must.Eq(t, saved, read)
	var first, second bytes.Buffer
	must.NoError(t, saved.render(&first, path))
	must.NoError(t, read.render(&second, path))
	must.Eq(t, first.String(), second.String())
	must.StrContains(t, first.String(), "cost")
	must.StrNotContains(t, first.String(), "nothing")
	must.FileExists(t, withSuffix(path, ".svg"))
	must.FileExists(t, withSuffix(path, ".csv"))
}

func TestReadResultRejectsEmptyResult(t *testing.T) {
	path := filepath.Join(t.TempDir(), "empty.json")
	must.NoError(t, (&result{}).save(path))
	_, err := readResult(path)
	must.ErrorContains(t, err, "no points")
}

func TestThinKeepsFirstAndLastPoint(t *testing.T) {
	must.Eq(t, []float64{1, 2, 4, 6}, thin([]float64{1, 2, 3, 4, 5, 6}, 4))
	must.Eq(t, []float64{1, 2}, thin([]float64{1, 2}, 4))
}

func TestChooseReturnsNamedExperiments(t *testing.T) {
	chosen, err := choose("jobs, idle-vms")
	must.NoError(t, err)
	must.SliceLen(t, 2, chosen)
	must.Eq(t, "jobs", chosen[0].name)
	_, err = choose("nothing")
	must.ErrorContains(t, err, "lab slopes --help")
}

// TestExperimentsHaveEnoughPoints checks that every experiment, also with --short, has at least
// four points that span a factor of ten.
func TestExperimentsHaveEnoughPoints(t *testing.T) {
	names := map[string]bool{}
	for _, e := range experiments() {
		must.False(t, names[e.name], must.Sprint(e.name))
		names[e.name] = true
		for _, points := range [][]float64{e.points, thin(e.points, pointsOfShort)} {
			must.GreaterEq(t, 4, len(points), must.Sprint(e.name))
			must.GreaterEq(t, 10*points[0], points[len(points)-1], must.Sprint(e.name))
		}
	}
}

func TestCounterSumsBySocketAndOtherEnd(t *testing.T) {
	d := daemon{pid: 7, settings: settings.Default()}
	d.settings.Listen.Callers = netip.MustParseAddrPort("127.0.0.1:1000")
	d.settings.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:1001")
	d.settings.Listen.Admin = netip.MustParseAddrPort("127.0.0.1:1002")
	second := daemon{pid: 8, settings: settings.Default()}
	second.settings.Listen.Peers = netip.MustParseAddrPort("127.0.0.1:2001")
	c := newCounter([]daemon{d, second}, 3000)
	owners := map[uint32]daemon{1: d, 2: d, 3: d, 4: d, 5: d, 6: second}
	c.record([]socket{
		{inode: 1, cookie: 1, localPort: 1001, remotePort: 5000, payload: 100, segments: 10},
		{inode: 9, cookie: 9, localPort: 9, remotePort: 3000, payload: 1},
	}, owners)
	c.record([]socket{
		{inode: 1, cookie: 1, localPort: 1001, remotePort: 5000, payload: 150, segments: 12},
		{inode: 2, cookie: 2, localPort: 6000, remotePort: 2001, payload: 7, segments: 1},
		{inode: 3, cookie: 3, localPort: 6001, remotePort: 3000, payload: 20, segments: 2},
		{inode: 4, cookie: 4, localPort: 1000, remotePort: 6002, payload: 30, segments: 3},
		{inode: 5, cookie: 5, localPort: 6003, remotePort: 7777, payload: 40, segments: 4},
		{inode: 6, cookie: 6, localPort: 2001, remotePort: 6000, payload: 7, segments: 1},
		{inode: 9, cookie: 9, localPort: 9, remotePort: 3000, payload: 999},
	}, owners)
	must.Eq(t, map[int]map[other]traffic{
		7: {
			otherPeer:     {payload: 57, segments: 3},
			otherPlatform: {payload: 20, segments: 2},
			otherCaller:   {payload: 30, segments: 3},
			otherTarget:   {payload: 40, segments: 4},
		},
		8: {otherPeer: {payload: 7, segments: 1}},
	}, c.sums())
	must.Eq(t, map[other]int{otherPeer: 3, otherPlatform: 1, otherCaller: 1, otherTarget: 1}, c.open)
	must.Eq(t, 57+3*52, c.sums()[7][otherPeer].wire())
}
