#!/usr/bin/env bash
# Tests an endpoint and an entry that are drained while requests are in progress
# and a caller reads slowly; then 1000 concurrent cancellations.
set -eu
bin=$1
# shellcheck source=test/proc_lib.sh
. "$(dirname "$0")/proc_lib.sh"

# Time in ms after which a drained endpoint receives no start: the start window.
DRAIN_MS=500

start_all 4

echo "== an endpoint is drained under load"
callers=()
for n in $(seq 1 40); do
	caller $((n % 2 + 1)) "l$n" true "run_ms=300 key=l$n;" &
	callers+=($!)
done
until_true started_at_least "key=l" 4
ctl 2 drain vm-1 >/dev/null || fail "gypctl drain failed"
drained_at=$(awk '{printf "%d", $1 * 1000}' /proc/uptime)
wait "${callers[@]}"
late=$(awk -v t=$((drained_at + DRAIN_MS + 20)) '$1 == "start" && $4 > t' \
    "$dir/journal1")
[ -z "$late" ] || fail "starts after the drain: $late"
check_guarantees

echo "== an entry is drained with requests in progress and a slow reader"
callers=()
for n in $(seq 1 6); do
	caller 1 "d$n" false "run_ms=1500 key=d$n;" &
	callers+=($!)
done
big=$(head -c 40000 /dev/zero | tr '\0' x)
curl -s --limit-rate 20K --max-time 60 -o "$dir/slow" -X POST \
    -H 'Idempotency-Key: slow' \
    -d "{\"kind\":\"request\",\"team\":\"rota\",\"cpu_milli\":500,
\"payload\":\"run_ms=1000 key=slow; $big\"}" \
    "http://$(entry_address 1)/v1/jobs?wait_ms=20000" &
slow=$!
until_true started_at_least "key=slow" 1
until_true started_at_least "key=d" 6
kill -TERM "${pids[entry1]}"
wait "$slow" || fail "the slow reader was cut off"
grep -q "key=slow; $big" "$dir/slow" ||
    fail "the slow reader received another answer"
wait "${callers[@]}"
code=0
wait "${pids[entry1]}" || code=$?
unset "pids[entry1]"
[ "$code" -eq 0 ] || fail "the drained entry exited with $code"
[ "$(grep -c '^d[0-9]* false done' "$dir/outcomes")" -eq 6 ] ||
	fail "a request in progress was cut off: $(grep '^d' "$dir/outcomes")"
check_guarantees

echo "== 1000 concurrent cancellations"
start_entry 1
for n in $(seq 1 1000); do
	echo "url = \"http://$(entry_address $((n % 2 + 1)))/v1/jobs\""
	echo "header = \"Idempotency-Key: c$n\""
	echo "data = \"{\\\"kind\\\":\\\"batch\\\",\\\"team\\\":\\\"press\\\",\\\"cpu_milli\\\":4000,\\\"payload\\\":\\\"async run_ms=2000 key=c$n;\\\"}\""
	echo "output = \"$dir/job.c$n\""
	echo next
done | sed '$d' >"$dir/submits"
curl -sS --no-progress-meter --parallel --parallel-max 40 -K "$dir/submits" ||
    fail "curl failed to submit the jobs"
for n in $(seq 1 1000); do
	job=$(sed -n 's/.*"job":"\([0-9a-f]*\)".*/\1/p' "$dir/job.c$n")
	[ -n "$job" ] || fail "c$n was not accepted: $(cat "$dir/job.c$n")"
	echo "$job" >>"$dir/jobs"
	echo "url = \"http://$(entry_address $((n % 2 + 1)))/v1/jobs/$job\""
	echo 'request = "DELETE"'
	echo "output = \"$dir/cancel.c$n\""
	echo next
done | sed '$d' >"$dir/cancels"
curl -sS --no-progress-meter --parallel --parallel-max 100 -K "$dir/cancels" ||
    fail "curl failed to cancel the jobs"
# ended JOB: succeeds and prints the outcome once the job has ended.
ended() {
	local outcome
	outcome=$(curl -s --max-time 5 "http://$(entry_address 2)/v1/jobs/$1" |
	    sed -n 's/^{"job":"[0-9a-f]*","outcome":"\([a-z_]*\)".*/\1/p')
	case $outcome in
	done | failed | unknown | not_run) echo "$outcome" ;;
	*) return 1 ;;
	esac
}
n=0
while read -r job; do
	n=$((n + 1))
	until_true ended "$job"
	[ "$(cat "$dir/last")" != not_run ] || [ "$(starts "key=c$n;")" -eq 0 ] ||
		fail "c$n: not_run, but it started"
done <"$dir/jobs"
check_guarantees
