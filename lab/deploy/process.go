package deploy

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	// stopGrace is how long Close waits for a process to end after SIGTERM.
	stopGrace = 5 * time.Second
	// firstLineTimeout bounds the wait for the line that a stand-in prints once it serves.
	firstLineTimeout = 10 * time.Second
	// logTail is how much of a process's log is shown in an error, in bytes.
	logTail = 2 << 10
)

// process is a child process. Its standard error goes to the file logPath. done is closed when it
// has ended, and err then holds its exit error.
type process struct {
	name    string
	logPath string
	cmd     *exec.Cmd
	lines   chan []byte
	done    chan struct{}
	err     error
}

// childStarter returns a channel of functions that run on one thread that never ends. Children
// are started there, because the kernel kills a child when the thread that started it ends.
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

// start starts a child process. On Linux the kernel kills the child when this process ends, however
// it ends.
func start(name, logPath, path string, args ...string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(path, args...)
	cmd.Stderr = log
	cmd.SysProcAttr = processAttributes()
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started := make(chan error)
	childStarter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w: build the binaries first, with make build", name, err)
	}
	p := &process{name: name, logPath: logPath, cmd: cmd, lines: make(chan []byte, 1), done: make(chan struct{})}
	go p.wait(stdout)
	return p, nil
}

// wait sends the first line of standard output to lines, discards the others, and waits for the end
// of the process.
func (p *process) wait(stdout io.Reader) {
	reader := bufio.NewReader(stdout)
	if line, err := reader.ReadBytes('\n'); err == nil {
		p.lines <- line
	}
	_, _ = io.Copy(io.Discard, reader)
	p.err = p.cmd.Wait()
	close(p.done)
}

// firstLine waits for the JSON line that a stand-in prints once it serves, and decodes it.
func (p *process) firstLine(into any) error {
	select {
	case line := <-p.lines:
		return json.Unmarshal(line, into)
	case <-p.done:
		return p.failure("ended before it served")
	case <-time.After(firstLineTimeout):
		return p.failure("does not serve")
	}
}

// running reports whether the process still runs.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s os.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s has ended: restart it first", p.name)
	}
	return err
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop sends SIGTERM to the process, and kills it when it takes longer than grace to end. SIGCONT
// comes first, since a frozen process would not end. It returns an error when the process had to be
// killed or failed.
func (p *process) stop(grace time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.kill()
		return p.failure(fmt.Sprintf("did not end within %v of SIGTERM", grace))
	}
	if p.err != nil {
		return p.failure("ended with " + p.err.Error())
	}
	return nil
}

// failure returns an error with the end of the process's log.
func (p *process) failure(what string) error {
	text, _ := os.ReadFile(p.logPath)
	if len(text) > logTail {
		text = text[len(text)-logTail:]
	}
	return fmt.Errorf("%s %s; its log ends with:\n%s", p.name, what, text)
}
