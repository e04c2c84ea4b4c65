//go:build linux

package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// logTail is how much of a process's log a failed test shows, in bytes.
const logTail = 4 << 10

// process is a child process that is killed at the end of its test.
type process struct {
	name    string
	logPath string
	cmd     *exec.Cmd
	lines   chan []byte
	done    chan struct{}
}

// childStarter returns a channel of functions that run on one thread that never ends. Children are
// started there, because the kernel sends a child its parent death signal when the thread that
// started it ends.
var childStarter = sync.OnceValue(func() chan<- func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

// startProcess starts a program whose standard error goes to the file logPath. It kills the program
// at the end of the test, and shows the end of the log when the test failed.
func startProcess(t *testing.T, name, logPath, path string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(t, err)
	defer log.Close()
	cmd := exec.Command(path, args...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	stdout, err := cmd.StdoutPipe()
	must.NoError(t, err)
	started := make(chan error)
	childStarter() <- func() { started <- cmd.Start() }
	must.NoError(t, <-started)
	p := &process{name: name, logPath: logPath, cmd: cmd, lines: make(chan []byte, 1), done: make(chan struct{})}
	go p.wait(stdout)
	t.Cleanup(func() {
		p.kill()
		p.showLog(t)
	})
	return p
}

// wait sends the first line of standard output to lines and waits for the end of the process.
func (p *process) wait(stdout io.Reader) {
	reader := bufio.NewReader(stdout)
	if line, err := reader.ReadBytes('\n'); err == nil {
		p.lines <- line
	}
	_, _ = io.Copy(io.Discard, reader)
	_ = p.cmd.Wait()
	close(p.done)
}

// firstLine waits for the line that a stand-in prints once it serves, and decodes it.
func (p *process) firstLine(t *testing.T, into any) {
	t.Helper()
	select {
	case line := <-p.lines:
		must.NoError(t, json.Unmarshal(line, into))
	case <-p.done:
		t.Fatalf("%s ended before it served", p.name)
	case <-time.After(waitTimeout):
		t.Fatalf("%s does not serve", p.name)
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	must.NoError(t, p.cmd.Process.Signal(s))
}

// hasStopped reports whether a stop signal has taken hold of all threads of the process.
func (p *process) hasStopped(t *testing.T) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	must.NoError(t, err)
	must.SliceNotEmpty(t, threads)
	for _, path := range threads {
		// The state follows the name, which is in parentheses.
		stat, err := os.ReadFile(path)
		if _, state, found := bytes.Cut(stat, []byte(") ")); err != nil || !found || state[0] != 'T' {
			return false
		}
	}
	return true
}

// kill ends the process at once, frozen or not, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// awaitExit waits for the end of a process that was asked to stop, and returns its exit status.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s does not end", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// logged reports whether the log of the process contains the text.
func (p *process) logged(text string) bool {
	all, _ := os.ReadFile(p.logPath)
	return bytes.Contains(all, []byte(text))
}

func (p *process) showLog(t *testing.T) {
	if !t.Failed() {
		return
	}
	text, _ := os.ReadFile(p.logPath)
	if len(text) > logTail {
		text = text[len(text)-logTail:]
	}
	t.Logf("log of %s ends with:\n%s", p.name, text)
}
