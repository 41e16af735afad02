#!/usr/bin/env bash
# Replays the committed traces and compares the output with the expected one.
set -eu
bin=$1
dir=$(dirname "$0")/traces
rules=$(dirname "$0")/../bench
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# check TRACE EXPECTED [ARG...]: replays TRACE; the output must equal EXPECTED.
check() {
	local trace=$1 expected=$2
	shift 2
	"$bin/gyp-replay" --outcomes "$@" "$dir/$trace" >"$out"
	diff -u "$dir/$expected" "$out"
}

check small.trace small.out --rules "$rules/press.rules" --finish-ms 1000000
check small.trace small.best-fit.out --policy best-fit --finish-ms 1000000
check load.trace load.out --rules "$rules/strikeline.rules"

# An invalid line is refused with its number.
echo "5 submit key=k cpu=many" >"$out"
if "$bin/gyp-replay" "$out" 2>"$out.err"; then
	echo "replay: an invalid line was accepted" >&2
	exit 1
fi
grep -q ":1: unknown key or invalid value: cpu=many" "$out.err"
rm -f "$out.err"
echo "replay: done"
