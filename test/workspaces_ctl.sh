#!/usr/bin/env bash
# Guards, with the real programs, against reports, metrics and log lines that
# disagree with what was decided on workspaces or show a key, against previews that
# submit something, and against commands in docs/OPERATIONS.md that don't work.
# Usage: workspaces_ctl.sh BIN
set -eu
bin=$1
dir=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null; rm -rf "$dir"' EXIT
# shellcheck source=test/ports.sh
. "$(dirname "$0")/ports.sh"
control=127.0.0.1:$((base + 1))
entry=127.0.0.1:$((base + 2))
front=127.0.0.1:$((base + 3))
cat >"$dir/cell.ini" <<INI
[cell]
listen = 127.0.0.1:$base
join = 127.0.0.1:$base
data_folder = $dir/data
data_centre = here
name = cell-1
voters = 1
[platform]
control = $control
INI
cat >"$dir/entry.ini" <<INI
[entry]
listen = $entry
cells = 127.0.0.1:$base
data_centre = here
name = entry-1
[platform]
front = $front
readiness = 127.0.0.1:$((base + 4))
admission = 127.0.0.1:$((base + 5))
INI
cat >"$dir/manifest" <<'JSON'
{"version":1,"backends":[{"name":"pool"}],
 "routes":[{"name":"r-1","host":"press.example","path_prefix":"/j/",
  "backend":"pool","timeout_ms":5000,"target_latency_ms":500,
  "max_attempts":3}],
 "tenants":[
  {"name":"orchard","api_keys":["secret-1"],"weight":2,
   "cap":{"cpu":4000,"mem_mb":2048}},
  {"name":"rota","api_keys":["secret-2"],"weight":0}]}
JSON
fail() {
	echo "FAIL: $*" >&2
	exit 1
}
ctl() {
	"$bin/gypctl" --entry "$entry" "$@"
}
# await PATTERN COMMAND...: waits until the output of COMMAND matches.
await() {
	local pattern=$1
	shift
	for _ in $(seq 200); do
		"$@" >"$dir/shown" 2>&1 || true
		grep -Eq -- "$pattern" "$dir/shown" && return 0
		sleep 0.1
	done
	fail "expected $pattern of $*: $(cat "$dir/shown")"
}
# submit ID KEY: prints the status of the answer.
submit() {
	curl -s -o "$dir/answer" -w '%{http_code}' -X POST \
	    -H 'Host: press.example' -H "Authorization: Bearer $2" \
	    "http://$front/j/$1" -d "$job"
}
job='{"steps":[{"count":3,"cpu":1000,"mem_mb":256},
	{"count":1,"cpu":1000,"mem_mb":256,"depends_on":[0]}]}'

"$bin/gyp-cell" --config "$dir/cell.ini" --init >"$dir/cell.log" 2>&1 &
pids+=($!)
"$bin/gyp-entry" --config "$dir/entry.ini" >"$dir/entry.log" 2>&1 &
pids+=($!)
await '^term ' ctl status
[ "$(ctl workspaces | wc -l)" = 1 ] || fail "workspaces without a manifest"
[ "$(curl -s -o "$dir/answer" -w '%{http_code}' -X PUT \
    "http://$control/api/config" --data-binary "@$dir/manifest")" = 200 ] ||
    fail "manifest: $(cat "$dir/answer")"
await '^orchard +2 +0/4 +0/2 +0/- .*nothing waits$' ctl workspaces
await '^rota +- +0/- ' ctl workspaces

# There are no endpoints, so jobs beyond the rate of 2 a second are refused.
codes=
for i in 1 2 3 4 5 6; do
	codes="$codes $(submit "000000000000000$i" secret-1)"
done
refused=$(tr ' ' '\n' <<<"$codes" | grep -c 429) || true
[ "$refused" -ge 2 ] || fail "expected refusals: $codes"
accepted=$((6 - refused))
await "^orchard .* 0 +$((3 * accepted)) +$accepted +$accepted +0 +$refused +capacity" \
    ctl workspaces
ctl workspaces --format json | grep -q '"next_waits_for":"capacity"' ||
    fail "no reason in JSON"
curl -s "http://$entry/v1/admin/workspaces" | grep -q '"weight":2.0' ||
    fail "no weight in the API"

label='workspace="orchard"'
await "^gyp_flow_submits_total\{$label,verdict=\"refused\"\} $refused\$" \
    curl -s "http://$control/metrics"
await "^gyp_workspace_waiting_tasks\{$label\} $((3 * accepted))\$" \
    curl -s "http://$control/metrics"
await "^gyp_workspace_cap\{$label,resource=\"cpu_milli\"\} 4000\$" \
    curl -s "http://$control/metrics"
await 'workspaces known=2 .*w1=orchard,cpu_milli=0/4000,.*refused=[1-9]' \
    cat "$dir/cell.log"

echo "== a preview names what is wrong with a flow, and submits nothing"
# refused PATTERN JSON: the preview of a flow must be refused with a message.
refused() {
	local code=0
	ctl preview - <<<"$2" >"$dir/shown" 2>&1 || code=$?
	[ "$code" = 1 ] && grep -q -- "$1" "$dir/shown" ||
	    fail "expected $1, not $code: $(cat "$dir/shown")"
}
refused 'line 2, column' '{"queue":'
refused 'queue: expected a string' '{"queue":1}'
refused 'queue: expected the name' '{"queue":"x","steps":[{}]}'
refused 'workspace: the queue requires one' '{"queue":"r-1","steps":[{}]}'
refused 'workspace: expected the name' \
    '{"queue":"r-1","workspace":"x","steps":[{}]}'
refused 'steps\[1\].after: expected' '{"steps":[{},{"after":[1]}]}'
refused 'steps\[0\].cpu: unknown field' '{"steps":[{"cpu":1}]}'
refused 'steps\[0\].count: expected 0 to 20000' '{"steps":[{"count":-1}]}'
refused 'steps\[0\]: expected an object' '{"steps":[1]}'
refused 'no steps' '{"queue":"r-1","workspace":"rota"}'
refused 'at most 32' "{\"queue\":\"r-1\",\"workspace\":\"rota\",
    \"steps\":[$(printf '{},%.0s' $(seq 32)){}]}"
cat >"$dir/flow" <<'JSON'
{"queue":"r-1","workspace":"rota","steps":[
 {"count":2,"cpu_milli":1000,"memory_bytes":1048576,"estimate_ms":300},
 {"cpu_milli":1000,"after":[0]}]}
JSON
ctl preview "$dir/flow" >"$dir/shown"
grep -Eq '^verdict +accepted$' "$dir/shown" &&
    grep -Eq '^0 +2 +300 +- +0 .* an endpoint that suits$' "$dir/shown" &&
    grep -Eq '^1 +1 .* steps before it$' "$dir/shown" ||
    fail "preview: $(cat "$dir/shown")"
# The example of the page, which api.sh leaves out since it has no manifest.
page=$(dirname "$0")/../docs/API.md
sed -n '/^```sh with-manifest$/,/^```$/p' "$page" | grep -v '^```' >"$dir/lines"
ENTRY=http://$entry bash -euo pipefail "$dir/lines" >"$dir/shown"
grep -q '"steps":\[{.*"verdict":"' "$dir/shown" ||
    fail "example of the page: $(cat "$dir/shown")"
# Of five tasks with one processor each, the cap of the workspace allows four.
ctl preview - --format json >"$dir/shown" <<'JSON'
{"queue":"r-1","workspace":"orchard","steps":[{"count":5,"cpu_milli":1000},
 {"count":2,"cpu_milli":1000,"memory_bytes":2147483649}]}
JSON
[ "$(grep -o '"quota_tasks":[0-9]*' "$dir/shown" | tr '\n' ' ')" = \
    '"quota_tasks":4 "quota_tasks":0 ' ] &&
    grep -q '"step":1,.*"waits_for":"higher quota"' "$dir/shown" ||
    fail "preview with a cap: $(cat "$dir/shown")"
# The workspace spends its rate; then a preview is refused with a time.
sed 's/rota/orchard/' "$dir/flow" >"$dir/flow-2"
id=256
preview_beyond_rate() {
	for _ in 1 2 3; do
		id=$((id + 1))
		submit "$(printf %016x "$id")" secret-1 >/dev/null
	done
	ctl preview "$dir/flow-2" --format json
}
await '"retry_ms":[1-9][0-9]{3,}.*"verdict":"refused"' preview_beyond_rate
await '^rota .* 0 +0 +0 +0 +0 +0 +nothing waits' ctl workspaces

# A removed key is refused from the acknowledgement on, with the commands of
# docs/OPERATIONS.md.
curl -s "http://$control/api/config" | sed 's/"version":1/"version":2/
    s/"secret-1"/"secret-3"/' >"$dir/manifest-2"
[ "$(curl -sL -o "$dir/answer" -w '%{http_code}' -X PUT \
    "http://$control/api/config" --data-binary "@$dir/manifest-2")" = 200 ] ||
    fail "second manifest: $(cat "$dir/answer")"
# read_queue KEY: prints the status of a read of the queue.
read_queue() {
	echo "Authorization: Bearer $1" >"$dir/key"
	curl -s -o "$dir/answer" -w '%{http_code}' -H "@$dir/key" \
	    -H 'Host: press.example' "http://$front/j/"
}
[ "$(read_queue secret-1)" = 401 ] || fail "the removed key is accepted"
[ "$(read_queue secret-3)" = 200 ] || fail "the added key is refused"
await 'request-refused .*code=24' cat "$dir/cell.log"

ctl workspaces --format json >"$dir/report"
curl -s "http://$control/metrics" >"$dir/metrics"
if grep -l 'secret-' "$dir"/*.log "$dir/report" "$dir/metrics"; then
	fail "a key is shown"
fi
echo "workspaces_ctl: ok"
