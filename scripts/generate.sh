#!/usr/bin/env bash
# Generate Go code from every .proto file, or compare it with the committed code.
#
#   scripts/generate.sh write   write the code beside the .proto files
#   scripts/generate.sh check   fail when the committed code differs
#
# It needs protoc (Debian: protobuf-compiler); the plugins are built from the
# versions in tools/go.mod. The committed code builds without any of them, so check
# passes without protoc and prints "not checked".
set -euo pipefail
cd "$(dirname "$0")/.."

mode=${1:-}
case $mode in
write | check) ;;
*)
	echo "usage: scripts/generate.sh write|check" >&2
	exit 2
	;;
esac

if ! command -v protoc >/dev/null; then
	echo "generated code: not checked, protoc is not installed"
	[ "$mode" = check ]
	exit
fi

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
go build -C tools -o "$out/bin/" \
	google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp

mapfile -t protos < <(find . -name '*.proto' -not -path './bin/*' -not -path './out/*' | sed 's|^\./||' | sort)
mkdir "$out/code"
for proto in "${protos[@]}"; do
	flags=(--go_out=paths=source_relative:"$out/code")
	if grep -q '^service ' "$proto"; then
		flags+=(--twirp_out=paths=source_relative:"$out/code")
	fi
	PATH="$out/bin:$PATH" protoc "${flags[@]}" "$proto"
done

if [ "$mode" = write ]; then
	cp -r "$out/code/." .
	exit
fi

# The header names the version of protoc, which may differ between machines, so that
# line is not compared.
status=0
while read -r file; do
	if ! diff -u -I '^//[[:space:]]*protoc ' "$file" "$out/code/$file"; then
		status=1
	fi
done < <(cd "$out/code" && find . -name '*.go' | sed 's|^\./||' | sort)
if [ $status -ne 0 ]; then
	echo "generated code differs from its .proto file: run make generate and commit the result" >&2
	exit 1
fi
echo "generated code: matches ${#protos[@]} .proto files"
