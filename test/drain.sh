#!/usr/bin/env bash
# Tests answers at the size limit, refused keys, draining an entry with a
# request in progress and a slow reader, and endpoints that leave.
set -eu
bin=$1
# shellcheck source=test/cluster.sh
. "$(dirname "$0")/cluster.sh"

url1=http://$(entry_address 1)
url2=http://$(entry_address 2)

start_cell 1 --init
start_entry 1
start_entry 2
start_endpoint 1 "$(entry_address 1),$(entry_address 2)"
start_endpoint 2 "$(entry_address 2),$(entry_address 1)"

has() {
	curl -s --max-time 5 "$1" | grep -q "$2"
}

until_true has "$url1/v1/admin/status" '"endpoints":2'
until_true has "$url2/v1/admin/status" '"endpoints":2'

# submit URL KEY PAYLOAD CURL-OPTIONS...: submits a request and waits for it.
submit() {
	local url=$1 key=$2 payload=$3
	shift 3
	curl -s --max-time 60 "$@" -X POST "$url/v1/jobs?wait_ms=30000" \
	    -H "Idempotency-Key: $key" \
	    -d "{\"class\":\"booking\",\"cpu_milli\":100,\"payload\":\"$payload\"}"
}

echo "== answers at the size limit"
submit "$url1" large "size=65536" -o "$dir/large" -D "$dir/large.head"
grep -q '^HTTP/1.1 200' "$dir/large.head" || fail "largest answer refused"
[ "$(wc -c <"$dir/large")" -eq 65536 ] || fail "largest answer truncated"
submit "$url1" larger "size=65537" -o "$dir/larger" -D "$dir/larger.head"
grep -q '^HTTP/1.1 413' "$dir/larger.head" || fail "too large: no 413"
grep -q '^Gyp-Outcome: done' "$dir/larger.head" || fail "too large: outcome"
grep -q xxx "$dir/larger" && fail "too large: contains part of the answer"

echo "== a refused key"
curl -s -X DELETE "$url2/v1/keys/never?team=default" | tee "$dir/key"
grep -q '"outcome":"not_run"' "$dir/key" || fail "key not refused"
submit "$url1" never "x" -o "$dir/never" -D "$dir/never.head"
grep -q '^HTTP/1.1 410' "$dir/never.head" || fail "refused key: no 410"
grep -q '^Gyp-Outcome: not_run' "$dir/never.head" || fail "refused key: outcome"

echo "== an entry drains with a request in progress"
submit "$url1" slow "run_ms=3000 size=60000" --limit-rate 30k \
    -o "$dir/slow" -D "$dir/slow.head" &
slow=$!
until_true has "$url2/v1/admin/endpoints" '"attempts":1'
kill -TERM "${pids[entry1]}"
draining() {
	curl -s --max-time 5 "$url1/v1/health" | grep -q draining
}
until_true draining
submit "$url1" late "x" -o "$dir/late" -D "$dir/late.head"
grep -q '^HTTP/1.1 503' "$dir/late.head" || fail "draining: no 503"
grep -q '^Gyp-Outcome: unknown' "$dir/late.head" ||
    fail "draining: outcome of a resent key"
curl -s -o "$dir/fresh" -D "$dir/fresh.head" "$url1/v1/jobs" -d '{}'
grep -q '^Gyp-Outcome: not_run' "$dir/fresh.head" ||
    fail "draining: outcome without a key"
wait "$slow" || fail "the request in progress was cut off"
grep -q '^HTTP/1.1 200' "$dir/slow.head" || fail "the request failed"
[ "$(wc -c <"$dir/slow")" -eq 60000 ] ||
    fail "the answer to the request was truncated"
code=0
wait "${pids[entry1]}" || code=$?
unset "pids[entry1]"
[ "$code" -eq 0 ] || fail "the drained entry exited with $code"
submit "$url2" late "x" -o "$dir/late" -D "$dir/late.head"
grep -q '^Gyp-Outcome: done' "$dir/late.head" ||
    fail "a key answered with 503 did not run elsewhere"

echo "== endpoints leave with a request in progress"
submit "$url2" last "run_ms=2000 bye" -o "$dir/last" -D "$dir/last.head" &
last=$!
until_true has "$url2/v1/admin/endpoints" '"attempts":1'
kill -USR1 "${pids[endpoint1]}" "${pids[endpoint2]}"
wait "$last" || fail "the request was cut off"
grep -q 'bye' "$dir/last" || fail "the answer to the request was truncated"
for n in 1 2; do
	code=0
	wait "${pids[endpoint$n]}" || code=$?
	unset "pids[endpoint$n]"
	[ "$code" -eq 0 ] || fail "endpoint $n exited with $code"
done
until_true has "$url2/v1/admin/status" '"endpoints":0'

echo "== counters"
curl -s "$url2/metrics" | tee "$dir/metrics" | grep gyp_requests_total
grep -q 'gyp_requests_total{class="booking",outcome="done"} 2' \
    "$dir/metrics" || fail "wrong count of requests"
# First starts in this class: large, larger, slow, late and last.
curl -s "http://$(metrics_address 1)/metrics" >"$dir/metrics"
for want in 'gyp_wait_seconds_bucket{class="booking",le="+Inf"} 5' \
    'gyp_wait_seconds_count{class="booking"} 5' 'gyp_leading 1' \
    'gyp_starts_total{class="booking"} 5' 'direction="out"'; do
	grep -q "$want" "$dir/metrics" || fail "no $want in the metrics of the leader"
done
echo "drain: done"
