#!/usr/bin/env bash
# Runs the shell examples of docs/API.md unchanged against the real programs.
# No answer may contain an error.
set -eu
bin=$1
page=$(dirname "$0")/../docs/API.md
# shellcheck source=test/cluster.sh
. "$(dirname "$0")/cluster.sh"

start_cell 1 --init
start_entry 1
start_endpoint 1 "$(entry_address 1)"
start_endpoint 2 "$(entry_address 1)"
ENTRY=http://$(entry_address 1)

ready() {
	curl -s --max-time 5 "$ENTRY/v1/admin/status" | grep -q '"endpoints":2'
}
until_true ready

sed -n '/^```sh$/,/^```$/p' "$page" | grep -v '^```' |
    grep -v '^ENTRY=' >"$dir/lines"
[ "$(grep -c curl "$dir/lines")" -ge 20 ] ||
    fail "examples of the page not found"
export ENTRY
bash -euo pipefail "$dir/lines" >"$dir/out" 2>"$dir/err" ||
    fail "an example of the page failed: $(cat "$dir/err")"
cat "$dir/out"
grep -q '"error"' "$dir/out" && fail "an answer was an error"
for want in 'slot 7 for grower 12' 'Gyp-Outcome: done' '"outcome":"done"' \
    'run_ms=500 juice' '"lease_ms"' '"stop":\[\]' '"serving"' \
    'gyp_requests_total' '"voter":true' '"outcome":"not_run"'; do
	grep -q "$want" "$dir/out" || fail "no $want among the answers"
done
echo "api: done"
