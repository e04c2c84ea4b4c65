#!/usr/bin/env bash
# Change the code one line at a time and check that the tests of its package fail.
#
#   scripts/mutants.sh [-j COUNT] [-m MIB] [NAME...]
#
# runs all mutants, or those of the given names: COUNT at a time (1 to 4, default 1),
# each in a copy of the tree.
#
# Each file testdata/mutants.txt lists mutants, one a line:
#
#   name | file | line to replace | replacement | package to test
#
# The fields are separated by " | ", so no field may contain it. The file is a
# path from the root of the repository. The line is compared without its
# indentation and is replaced at every occurrence; an empty replacement removes
# it. Lines that start with # are comments. The package's own tests have to fail;
# a mutant that does not build, or whose line is not found, is an error in the
# list and not a success. The variable TREE sets the root of another tree.
#
# A test run is ended, and counts as "caught by timeout", after five times the time
# that the unchanged tests take plus one minute. A process that allocates more than
# MIB of memory (64 or more, default 2048) fails and counts as "caught by memory
# bound". The bound is RLIMIT_DATA, which Linux applies to private writable memory.
# The other means don't work: RLIMIT_AS counts address space that Go only reserves,
# GOMEMLIMIT never ends a process, and a watcher of the resident size reacts too late
# to fast allocation.
#
# Exit status: 0 all caught, 1 not all, 2 bad usage.
set -euo pipefail

readonly most_workers=4
readonly least_memory=64

usage() {
	echo "usage: scripts/mutants.sh [-j 1..$most_workers] [-m MIB, $least_memory or more] [NAME...]" >&2
	exit 2
}

# number VALUE LEAST MOST prints the usage and exits unless VALUE is a number from
# LEAST to MOST.
number() {
	[[ $1 =~ ^[0-9]{1,6}$ ]] && [ "$1" -ge "$2" ] && [ "$1" -le "$3" ] || usage
}

workers=1
memory=2048
while getopts j:m: option; do
	case $option in
	j) number "$OPTARG" 1 $most_workers && workers=$OPTARG ;;
	m) number "$OPTARG" $least_memory 999999 && memory=$OPTARG ;;
	*) usage ;;
	esac
done
shift $((OPTIND - 1))

tree=$(cd "${TREE:-$(dirname "$0")/..}" && pwd)
wanted=("$@")

work=$(mktemp -d)
# Each worker is a process group of its own, so that killing the group also ends the
# tests that it runs.
set -m
trap 'for pid in $(jobs -p); do kill -- "-$pid" 2>/dev/null || true; done; rm -rf "$work"' EXIT
mkdir "$work/verdicts" "$work/baselines"

# trim VALUE prints it without the space around it.
trim() {
	local value=$1
	value=${value#"${value%%[![:space:]]*}"}
	printf '%s' "${value%"${value##*[![:space:]]}"}"
}

# test_flags PACKAGE prints the flags for a fast verdict: stop at the first failure,
# and let rapid hardly search for a smaller example.
test_flags() {
	echo -test.failfast
	if go list -f '{{.TestImports}} {{.XTestImports}}' "$1" | grep -q 'pgregory\.net/rapid'; then
		echo -rapid.shrinktime=1ms
	fi
}

# run_tests PACKAGE SECONDS FLAG... prints passed, failed, timeout, memory or unbuilt.
# Compiling is a separate step, so that a mutant that doesn't compile does not count
# as failed by the tests.
run_tests() {
	local package=$1 seconds=$2
	shift 2
	if ! go test -c -vet=off -o "$own/test.bin" "$package" >"$own/build.log" 2>&1 || [ ! -f "$own/test.bin" ]; then
		echo unbuilt
		return
	fi
	if (cd "$package" && ulimit -d $((memory * 1024)) && "$own/test.bin" -test.timeout="${seconds}s" "$@") >"$own/test.log" 2>&1; then
		echo passed
	elif grep -q '^panic: test timed out' "$own/test.log"; then
		echo timeout
	elif grep -Eq '^fatal error: .*(out of memory|cannot allocate memory)' "$own/test.log"; then
		echo memory
	else
		echo failed
	fi
	rm -f "$own/test.bin"
}

# replace FILE LINE REPLACEMENT prints the file with every such line replaced,
# and fails when there is none.
replace() {
	LINE=$2 REPLACEMENT=$3 awk '
		{
			text = $0
			gsub(/^[ \t]+|[ \t]+$/, "", text)
			if (text == ENVIRON["LINE"]) { print ENVIRON["REPLACEMENT"]; found++; next }
			print
		}
		END { exit found ? 0 : 1 }' "$1"
}

# is_wanted NAME succeeds when the mutant was asked for.
is_wanted() {
	[ ${#wanted[@]} -eq 0 ] && return 0
	local name
	for name in "${wanted[@]}"; do
		[ "$name" = "$1" ] && return 0
	done
	return 1
}

# try FILE LINE REPLACEMENT PACKAGE SECONDS FLAG... changes the file, runs the tests,
# restores the file and prints the verdict on the mutant.
try() {
	local file=$1 line=$2 replacement=$3 result
	shift 3
	if [ ! -f "$file" ]; then
		echo "ERROR no such file: $file"
		return
	fi
	if ! replace "$file" "$line" "$replacement" >"$own/mutated"; then
		echo "ERROR line not found in $file"
		return
	fi
	cp "$file" "$own/original"
	cp "$own/mutated" "$file"
	result=$(run_tests "$@")
	cp "$own/original" "$file"
	case $result in
	failed) echo caught ;;
	timeout) echo "caught by timeout" ;;
	memory) echo "caught by memory bound" ;;
	passed) echo SURVIVED ;;
	unbuilt) echo "ERROR does not build: $(grep -v '^#' "$own/build.log" | head -n 1)" ;;
	esac
}

# measure NUMBER runs the unchanged tests of a package, and records their result, the
# timeout for its mutants in seconds, and their flags.
measure() {
	local package=${packages[$1]} begin=$SECONDS flags result
	flags=$(test_flags "$package" | tr '\n' ' ')
	result=$(run_tests "$package" 600 $flags)
	echo "$result $((60 + 5 * (SECONDS - begin))) $flags" >"$work/baselines/$1"
}

# judge NUMBER prints and records the verdict on a mutant.
judge() {
	local entry=${entries[$1]} rest fields=() result seconds flags verdict
	# An empty field may be written with one space.
	rest=${entry//' | | '/' |  | '}
	while [[ $rest == *" | "* ]]; do
		fields+=("$(trim "${rest%%" | "*}")")
		rest=${rest#*" | "}
	done
	fields+=("$(trim "$rest")")
	if [ ${#fields[@]} -ne 5 ]; then
		verdict="ERROR ${#fields[@]} fields instead of 5 in ${lists[$1]}"
	else
		read -r result seconds flags <"$work/baselines/${numbers[${fields[4]}]}"
		if [ "$result" = passed ]; then
			verdict=$(try "${fields[@]:1}" "$seconds" $flags)
		else
			verdict="ERROR tests of ${fields[4]} before any change: $result"
		fi
	fi
	printf '%-40s %s\n' "${fields[0]}" "$verdict"
	echo "$verdict" >"$work/verdicts/$1"
}

# work_through TASK COUNT calls TASK for each number below COUNT that no other
# worker has taken. A worker takes a number by making a directory for it.
work_through() {
	local i
	cd "$own/tree"
	for ((i = 0; i < $2; i++)); do
		if mkdir "$work/$1.$i" 2>/dev/null; then
			"$1" "$i"
		fi
	done
}

# side_by_side TASK COUNT runs the tasks in all workers, each in its own copy of the
# tree, and waits for them.
side_by_side() {
	local own
	for own in "${copies[@]}"; do
		work_through "$@" </dev/null &
	done
	for own in "${copies[@]}"; do
		wait -n
	done
}

# Each worker has a copy of the tree.
copies=()
for ((i = 0; i < workers; i++)); do
	copies+=("$work/copy.$i")
	mkdir -p "$work/copy.$i/tree"
	tar -C "$tree" --exclude=./.git --exclude=./bin --exclude=./out -cf - . | tar -C "$work/copy.$i/tree" -xf -
done

# The mutants asked for, their lists and the packages that test them.
cd "${copies[0]}/tree"
entries=()
lists=()
packages=()
declare -A numbers
while IFS= read -r list; do
	while IFS= read -r entry || [ -n "$entry" ]; do
		[[ $entry =~ ^[[:space:]]*(#.*)?$ ]] && continue
		is_wanted "$(trim "${entry%%" | "*}")" || continue
		entries+=("$entry")
		lists+=("$list")
		package=$(trim "${entry##*" | "}")
		if [ -z "${numbers[$package]:-}" ]; then
			numbers[$package]=${#packages[@]}
			packages+=("$package")
		fi
	done <"$list"
done < <(find . -path '*/testdata/mutants.txt' | sort)

side_by_side measure ${#packages[@]}
side_by_side judge ${#entries[@]}

total=${#entries[@]}
caught=$(cat /dev/null "$work"/verdicts/* 2>/dev/null | grep -c '^caught' || true)
echo "mutants: $caught caught of $total"
if [ "$total" -eq 0 ] || [ "$caught" -ne "$total" ]; then
	exit 1
fi
