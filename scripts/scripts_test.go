// Package scripts_test runs the scripts on small source trees.
package scripts_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// run runs a script and returns its exit status, its standard output, and its
// standard output and error together.
func run(t *testing.T, env []string, name string, args ...string) (status int, stdout, all string) {
	t.Helper()
	script, err := filepath.Abs(name)
	must.NoError(t, err)
	cmd := exec.Command("bash", append([]string{script}, args...)...)
	cmd.Env = append(os.Environ(), env...)
	var out, errOut strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err = cmd.Run()
	if failed, ok := errors.AsType[*exec.ExitError](err); ok {
		status = failed.ExitCode()
	} else {
		must.NoError(t, err)
	}
	return status, out.String(), out.String() + errOut.String()
}

// writeTree writes files below a new directory and returns its path.
func writeTree(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		must.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		must.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	return dir
}

const guardSource = `package guard

func Clamp(n int) int {
	if n > 10 {
		return 10
	}
	if n < 0 {
		return 0
	}
	return n
}
`

const guardTest = `package guard

import "testing"

func TestClamp(t *testing.T) {
	if Clamp(11) != 10 {
		t.Fatal("not clamped")
	}
}
`

// guardTree writes a tree whose package guard has the given list of mutants.
func guardTree(t *testing.T, entries string) string {
	t.Helper()
	return writeTree(t, map[string]string{
		"go.mod":                     "module example.test/guard\n\ngo 1.26.0\n",
		"guard/guard.go":             guardSource,
		"guard/guard_test.go":        guardTest,
		"guard/testdata/mutants.txt": "# name | file | line | replacement | package\n" + entries + "\n",
		"bare/bare.go":               "package bare\n",
		"red/red_test.go":            "package red\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fatal() }\n",
	})
}

func TestMutantsPrintsVerdicts(t *testing.T) {
	cases := map[string]struct {
		entry  string
		status int
		want   string
	}{
		"caught":           {`upper | guard/guard.go | if n > 10 { | if n > 99 { | ./guard`, 0, "caught\nmutants: 1 caught of 1"},
		"panics":           {`upper | guard/guard.go | return 10 | panic(n) | ./guard`, 0, "mutants: 1 caught of 1"},
		"removed":          {`upper | guard/guard.go | return 10 |  | ./guard`, 0, "mutants: 1 caught of 1"},
		"removed, 1 space": {`upper | guard/guard.go | return 10 | | ./guard`, 0, "mutants: 1 caught of 1"},
		"survived":         {`lower | guard/guard.go | return 0 | return 1 | ./guard`, 1, "SURVIVED\nmutants: 0 caught of 1"},
		"not built":        {`upper | guard/guard.go | return 10 | return "10" | ./guard`, 1, "ERROR does not build"},
		"no line":          {`upper | guard/guard.go | return 11 | return 12 | ./guard`, 1, "ERROR line not found in guard/guard.go"},
		"part of line":     {`upper | guard/guard.go | if n > 10 | if n > 99 | ./guard`, 1, "ERROR line not found"},
		"no file":          {`upper | guard/none.go | x | y | ./guard`, 1, "ERROR no such file"},
		"no tests":         {`upper | guard/guard.go | return 10 | return 11 | ./bare`, 1, "ERROR tests of ./bare before any change: unbuilt"},
		"failed before":    {`upper | guard/guard.go | return 10 | return 11 | ./red`, 1, "ERROR tests of ./red before any change: failed"},
		"few fields":       {`upper | guard/guard.go | return 10 | ./guard`, 1, "ERROR 4 fields"},
		// These two touch almost none of the memory that they allocate, so the
		// machine does not provide it.
		"beyond memory": {`upper | guard/guard.go | return 10 | return copy(make([]byte, 3<<30), "x") + 9 | ./guard`, 0, "caught by memory bound\nmutants: 1 caught of 1"},
		"within memory": {`upper | guard/guard.go | return 10 | return copy(make([]byte, 1<<30), "x") + 9 | ./guard`, 1, "SURVIVED"},
		"empty list":    {`# nothing`, 1, "mutants: 0 caught of 0"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tree := guardTree(t, tc.entry)
			status, _, out := run(t, []string{"TREE=" + tree, "GOWORK=off"}, "mutants.sh")
			must.Eq(t, tc.status, status, must.Sprint(out))
			must.StrContains(t, out, tc.want)
			left, err := os.ReadFile(filepath.Join(tree, "guard/guard.go"))
			must.NoError(t, err)
			must.Eq(t, guardSource, string(left))
		})
	}
}

func TestMutantsRunsInParallelWorkers(t *testing.T) {
	tree := guardTree(t, `upper | guard/guard.go | if n > 10 { | if n > 99 { | ./guard
lower | guard/guard.go | return 0 | return 1 | ./guard
below | guard/guard.go | if n < 0 { | if n < 99 { | ./guard
value | guard/guard.go | return 10 | return 11 | ./guard
red | guard/guard.go | return 10 | return 11 | ./red`)
	status, _, out := run(t, []string{"TREE=" + tree, "GOWORK=off"}, "mutants.sh", "-j", "3")
	must.Eq(t, 1, status, must.Sprint(out))
	lines := strings.Fields(out)
	for _, want := range []string{"upper caught", "lower SURVIVED", "below SURVIVED", "value caught", "red ERROR"} {
		must.StrContains(t, strings.Join(lines, " "), want)
	}
	must.StrContains(t, out, "mutants: 2 caught of 5")

	status, _, out = run(t, []string{"TREE=" + tree, "GOWORK=off"}, "mutants.sh", "-j", "2", "value", "upper")
	must.Eq(t, 0, status, must.Sprint(out))
	must.StrContains(t, out, "mutants: 2 caught of 2")
}

func TestMutantsRejectsBadOptions(t *testing.T) {
	tree := guardTree(t, "# nothing")
	for _, args := range [][]string{{"-j", "0"}, {"-j", "5"}, {"-j", "two"}, {"-m", "63"}, {"-m", ""}, {"-x"}} {
		status, _, out := run(t, []string{"TREE=" + tree, "GOWORK=off"}, "mutants.sh", args...)
		must.Eq(t, 2, status, must.Sprint(args, out))
		must.StrContains(t, out, "usage")
	}
}

func TestKnownRedPrintsSkipPattern(t *testing.T) {
	tree := writeTree(t, map[string]string{
		"a/a_test.go": "func TestA(t *testing.T) {}\nfunc TestB(t *testing.T) {}\nfunc TestTwice(t *testing.T) {}\n",
		"b/b_test.go": "func TestC(t *testing.T) {}\nfunc TestD(t *testing.T) {}\nfunc TestTwice(t *testing.T) {}\n",
	})
	const form = "TestName | command and seed | what was seen | issue"
	cases := map[string]struct {
		list   string
		status int
		stdout string
		want   string
	}{
		"none": {"# comment\n\n", 0, "\n", ""},
		"one": {
			"TestA | go test -run TestA, seed 7 | a race | 12\n", 0, "^TestA$\n",
			"passed over: TestA | go test -run TestA, seed 7 | a race | 12",
		},
		"some":       {"TestA | c | x | 1\nTestB | c | x | 1\nTestC | c | x | 1", 0, "^TestA$|^TestB$|^TestC$\n", ""},
		"no command": {"TestA |  | x | 1\n", 1, "", form},
		"not seen":   {"TestA | c |  | 1\n", 1, "", form},
		"no issue":   {"TestA | c | x\n", 1, "", form},
		"too much":   {"TestA | c | x | 1 | y\n", 1, "", form},
		"pattern":    {"Test.* | c | x | 1\n", 1, "", form},
		"unknown":    {"TestZ | c | x | 1\n", 1, "", "the name of 0 tests"},
		"not unique": {"TestTwice | c | x | 1\n", 1, "", "the name of 2 tests"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			list := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			must.NoError(t, os.WriteFile(list, []byte(tc.list), 0o644))
			status, stdout, out := run(t, nil, "known-red.sh", list, tree)
			must.Eq(t, tc.status, status, must.Sprint(out))
			must.Eq(t, tc.stdout, stdout)
			must.StrContains(t, out, tc.want)
		})
	}
}

func TestGenerateRequiresMode(t *testing.T) {
	status, _, out := run(t, nil, "generate.sh")
	must.Eq(t, 2, status)
	must.StrContains(t, out, "usage")
}

// TestGenerateWithoutProtoc requires that, without protoc, check passes and prints
// that it has not checked, and write fails.
func TestGenerateWithoutProtoc(t *testing.T) {
	bin := t.TempDir()
	for _, tool := range []string{"bash", "dirname"} {
		path, err := exec.LookPath(tool)
		must.NoError(t, err)
		must.NoError(t, os.Symlink(path, filepath.Join(bin, tool)))
	}
	status, _, out := run(t, []string{"PATH=" + bin}, "generate.sh", "check")
	must.Eq(t, 0, status)
	must.StrContains(t, out, "not checked")
	status, _, _ = run(t, []string{"PATH=" + bin}, "generate.sh", "write")
	must.Eq(t, 1, status)
}
