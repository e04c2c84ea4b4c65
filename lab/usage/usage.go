// Package usage reads from the kernel what a process takes of its machine.
package usage

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process takes.
type Usage struct {
	// PeakMemoryBytes is the largest resident memory since the process started.
	PeakMemoryBytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// errEnded means that a process has ended.
var errEnded = errors.New("the process has ended: see its log")

// peakMemoryField begins the line of a process's status that has its largest resident memory in kilobytes. A
// process that has ended has no such line.
const peakMemoryField = "VmHWM:"

// Of returns the usage of a process. It fails if the process has ended.
func Of(pid int) (Usage, error) {
	folder := fmt.Sprintf("/proc/%d", pid)
	peak, err := readPeakMemory(folder + "/status")
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := os.ReadDir(folder + "/fd")
	if err != nil {
		return Usage{}, err
	}
	return Usage{PeakMemoryBytes: peak, Descriptors: len(descriptors)}, nil
}

// readPeakMemory returns the largest resident memory of a process in bytes.
func readPeakMemory(path string) (int64, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		value, found := strings.CutPrefix(lines.Text(), peakMemoryField)
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		return kilobytes << 10, err
	}
	return 0, errors.Join(errEnded, lines.Err())
}
