package ctl

import (
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/burdockward/burdockward/jsonc"
	"github.com/burdockward/burdockward/profile"
)

// maxFileBytes is the largest file that is read.
const maxFileBytes = 4 << 20

// checkable is a profile or team.
type checkable interface{ Check() []profile.Problem }

// fileProblems are the faults of one file.
type fileProblems struct {
	File     string            `json:"file"`
	Problems []profile.Problem `json:"problems"`
}

// String lists each problem on a line of its own.
func (f fileProblems) String() string {
	lines := make([]string, 0, len(f.Problems))
	for _, p := range f.Problems {
		lines = append(lines, f.File+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// faultyFiles is the error with all faults of all files of a command.
type faultyFiles []fileProblems

func (f faultyFiles) Error() string {
	lines := []string{"the files have faults, nothing was changed: correct what is listed"}
	for _, file := range f {
		lines = append(lines, file.String())
	}
	return strings.Join(lines, "\n")
}

func (f faultyFiles) Is(target error) bool { return target == errUsage }

// readFiles reads the objects of all files. A file is JSON with comments and
// holds one object or a list of objects. All faults of all files are reported
// together.
func readFiles[T checkable](files []string) ([]T, error) {
	if len(files) == 0 {
		return nil, usagef("name at least one file")
	}
	var objects []T
	var faults faultyFiles
	for _, file := range files {
		list, problems := readFile[T](file)
		objects = append(objects, list...)
		if len(problems) > 0 {
			faults = append(faults, fileProblems{File: file, Problems: problems})
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return objects, nil
}

func readFile[T checkable](file string) ([]T, []profile.Problem) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, []profile.Problem{{Remedy: fmt.Sprintf("can't be read, give a readable file: %v", unwrapPath(err))}}
	}
	if info.Size() > maxFileBytes {
		return nil, []profile.Problem{{Remedy: fmt.Sprintf("has %d bytes, write at most %d", info.Size(), maxFileBytes)}}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, []profile.Problem{{Remedy: fmt.Sprintf("can't be read, give a readable file: %v", unwrapPath(err))}}
	}
	return parse[T](text)
}

// unwrapPath removes the path from an error, since the report names the file.
func unwrapPath(err error) error {
	if pathErr, ok := err.(*fs.PathError); ok {
		return pathErr.Err
	}
	return err
}

// parse decodes and checks one object or a list of objects.
func parse[T checkable](text []byte) ([]T, []profile.Problem) {
	document, syntax := jsonc.Parse(text)
	if document == nil {
		return nil, problemsOf(syntax)
	}
	var objects []T
	var problems []profile.Problem
	for _, element := range document.Elements() {
		object, found := parseObject[T](element)
		objects = append(objects, object)
		problems = append(problems, found...)
	}
	return objects, problems
}

// parseObject decodes and checks one object. Faults that the check finds in a
// field that could not be decoded are left out.
func parseObject[T checkable](document *jsonc.Document) (T, []profile.Problem) {
	var object T
	found := document.Decode(&object).Problems
	problems := problemsOf(found)
	for _, p := range object.Check() {
		p.Path = jsonc.JoinPath(document.Path(), p.Path)
		if !jsonc.IsCovered(found, p.Path) {
			problems = append(problems, p)
		}
	}
	return object, problems
}

// problemsOf converts problems of decoding to those of checking.
func problemsOf(found []jsonc.Problem) []profile.Problem {
	problems := make([]profile.Problem, 0, len(found))
	for _, p := range found {
		problems = append(problems, profile.Problem{Path: p.Path, Value: p.Value, Remedy: p.Fault + "; " + p.Remedy})
	}
	return problems
}
