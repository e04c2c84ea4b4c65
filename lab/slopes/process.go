package slopes

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/burdockward/burdockward/settings"
)

// clockTick is the unit of processor time in /proc/<pid>/stat.
const clockTick = 10 * time.Millisecond

// Fields of /proc/<pid>/stat, counted after the name of the program.
const (
	statParent = 1
	statUser   = 11
	statSystem = 12
	statPages  = 21
)

// daemon is a running daemon that this process started.
type daemon struct {
	pid      int
	settings *settings.Settings
}

// findDaemons returns the daemons among the children of this process whose callers' address is
// among entries, sorted by VM id. It reads their ports from their settings files.
func findDaemons(entries []string) ([]daemon, error) {
	processes, err := os.ReadDir("/proc")
	if err != nil {
		return nil, fmt.Errorf("measuring needs Linux: %w", err)
	}
	var daemons []daemon
	for _, e := range processes {
		pid, err := strconv.Atoi(e.Name())
		if err != nil {
			continue
		}
		path := settingsOf(pid)
		if path == "" {
			continue
		}
		s, err := settings.Load(path)
		if err != nil {
			// The deployment of this daemon is ending and has removed the file.
			continue
		}
		if slices.Contains(entries, "http://"+s.Listen.Callers.String()) {
			daemons = append(daemons, daemon{pid: pid, settings: s})
		}
	}
	slices.SortFunc(daemons, func(a, b daemon) int { return strings.Compare(a.settings.VMID, b.settings.VMID) })
	return daemons, nil
}

// settingsOf returns the path of the settings file of a process that is a daemon and a child of
// this process, or "" for others.
func settingsOf(pid int) string {
	fields, err := statOf(pid)
	if err != nil || fields[statParent] != strconv.Itoa(os.Getpid()) {
		return ""
	}
	line, err := os.ReadFile(procPath(pid, "cmdline"))
	if err != nil {
		return ""
	}
	args := strings.Split(string(line), "\x00")
	i := slices.Index(args, "--settings")
	if i < 0 || i+1 >= len(args) {
		return ""
	}
	return args[i+1]
}

func procPath(pid int, name string) string {
	return filepath.Join("/proc", strconv.Itoa(pid), name)
}

// statOf returns the fields of /proc/<pid>/stat after the name of the program.
func statOf(pid int) ([]string, error) {
	text, err := os.ReadFile(procPath(pid, "stat"))
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= statPages {
		return nil, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	return fields, nil
}

// usage is the processor time that a process has used and its resident memory in bytes.
type usage struct {
	cpu time.Duration
	rss int64
}

func usageOf(pid int) (usage, error) {
	fields, err := statOf(pid)
	if err != nil {
		return usage{}, err
	}
	user, err1 := strconv.ParseInt(fields[statUser], 10, 64)
	system, err2 := strconv.ParseInt(fields[statSystem], 10, 64)
	pages, err3 := strconv.ParseInt(fields[statPages], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return usage{}, fmt.Errorf("/proc/%d/stat holds no numbers", pid)
	}
	return usage{
		cpu: time.Duration(user+system) * clockTick,
		rss: pages * int64(os.Getpagesize()),
	}, nil
}

// socketInodes returns the inodes of the sockets that a process has open.
func socketInodes(pid int) ([]uint32, error) {
	dir := procPath(pid, "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var inodes []uint32
	for _, e := range entries {
		name, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err != nil {
			continue
		}
		text, isSocket := strings.CutPrefix(name, "socket:[")
		if !isSocket {
			continue
		}
		inode, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32)
		if err == nil {
			inodes = append(inodes, uint32(inode))
		}
	}
	return inodes, nil
}
