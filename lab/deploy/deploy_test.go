package deploy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestParseMessagesSumsByKind(t *testing.T) {
	scrape := `# HELP burdockward_messages_sent counter
burdockward_messages_sent{kind="start",vm="a"} 12
burdockward_dispatch_messages_sent_total{vm="a",kind="start"} 1e+03
burdockward_messages_sent{kind="peer"} 3
burdockward_messages_received{kind="peer"} 9
burdockward_up 1
`
	messages, err := parseMessages(strings.NewReader(scrape))
	must.NoError(t, err)
	must.Eq(t, Messages{"start": 1012, "peer": 3}, messages)
	_, err = parseMessages(strings.NewReader(`messages_sent{kind="peer"} many`))
	must.ErrorContains(t, err, "no number")
}

func TestFreePortsAreDistinct(t *testing.T) {
	ports, err := freePorts(30)
	must.NoError(t, err)
	must.Len(t, 30, ports)
	seen := map[string]bool{}
	for _, p := range ports {
		must.False(t, seen[p.String()])
		seen[p.String()] = true
	}
}

// shell starts a child process that runs a shell script, and kills it after the test.
func shell(t *testing.T, script string) *process {
	p, err := start("child", filepath.Join(t.TempDir(), "log"), "/bin/sh", "-c", script)
	must.NoError(t, err)
	t.Cleanup(p.kill)
	return p
}

func TestProcessReturnsItsFirstLine(t *testing.T) {
	p := shell(t, `echo '{"url":"x"}'; echo more; exec sleep 60`)
	var line struct{ URL string }
	must.NoError(t, p.firstLine(&line))
	must.Eq(t, "x", line.URL)
	must.True(t, p.running())
	p.kill()
	must.False(t, p.running())
	must.ErrorContains(t, p.signal(os.Interrupt), "restart it first")
}

func TestProcessFailureShowsItsLog(t *testing.T) {
	p := shell(t, `echo no port >&2; exit 3`)
	err := p.firstLine(&struct{}{})
	must.ErrorContains(t, err, "ended before it served")
	must.ErrorContains(t, err, "no port")
}

func TestStopKillsProcessThatIgnoresSIGTERM(t *testing.T) {
	exitsOnTERM := shell(t, `trap 'exit 0' TERM; echo 1; while :; do sleep 0.01; done`)
	var one int
	must.NoError(t, exitsOnTERM.firstLine(&one))
	must.NoError(t, exitsOnTERM.stop(time.Minute))

	ignoresTERM := shell(t, `trap '' TERM; echo 1; while :; do sleep 0.01; done`)
	must.NoError(t, ignoresTERM.firstLine(&one))
	must.ErrorContains(t, ignoresTERM.stop(50*time.Millisecond), "did not end")
	must.False(t, ignoresTERM.running())
}

func TestStartFailureLeavesNothing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	_, err := Start(t.Context(), Options{Binaries: Binaries{Lab: "/does/not/exist"}})
	must.ErrorContains(t, err, "make build")
	entries, err := os.ReadDir(os.TempDir())
	must.NoError(t, err)
	must.SliceEmpty(t, entries)
}
