#!/usr/bin/env bash
# Starts three replicas, two entries and four endpoints on loopback, runs one
# booking and one gang job, prints the full answers and stops all processes.
# Usage: demo.sh BIN
set -eu
bin=$1
name=demo
# shellcheck source=tools/small_cell.sh
. "$(dirname "${BASH_SOURCE[0]}")/small_cell.sh"
entries=127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12))

start_cells
start_entry 1
start_entry 2
for n in 1 2 3 4; do
	start "endpoint$n" "$bin/gyp-endpoint" --name "vm-$n" \
	    --listen 127.0.0.1:$((base + 20 + n)) --entries "$entries" \
	    --rack "rack-$((n % 2))" --data-centre "dc-$n"
done

url1=http://127.0.0.1:$((base + 11))
url2=http://127.0.0.1:$((base + 12))

wait_for "$url1/v1/admin/status" '"endpoints":4'
wait_for "$url2/v1/admin/status" '"endpoints":4'
voters='"voter":true.*"voter":true.*"voter":true'
wait_for "$url1/v1/admin/members" "$voters"

echo "== one booking, answered through the first entry"
curl -s --max-time 30 -i -X POST "$url1/v1/jobs?wait_ms=20000" \
    -H 'Idempotency-Key: booking-1' \
    -d '{"kind":"request","class":"booking","team":"rota","cpu_milli":500,
"memory_bytes":268435456,"payload":"slot 7 for grower 12"}' |
    tee "$dir/booking.txt"
grep -q '^Gyp-Outcome: done' "$dir/booking.txt" || fail "booking not done"
grep -q 'slot 7 for grower 12' "$dir/booking.txt" || fail "answer incomplete"

echo "== the same booking, resent through the second entry"
curl -s --max-time 30 -X POST "$url2/v1/jobs?wait_ms=20000" \
    -H 'Idempotency-Key: booking-1' \
    -d '{"kind":"request","class":"booking","team":"rota","cpu_milli":500,
"memory_bytes":268435456,"payload":"slot 7 for grower 12"}' |
    tee "$dir/again.txt"
tail -n 1 "$dir/booking.txt" | cmp - "$dir/again.txt" ||
    fail "the second answer differs"

echo "== one gang job of three tasks"
curl -s --max-time 30 -X POST "$url2/v1/jobs?wait_ms=20000" \
    -H 'Idempotency-Key: gang-1' \
    -d '{"kind":"gang","tasks":3,"class":"juicing","team":"press",
"cpu_milli":16000,"memory_bytes":1073741824,"payload":"run_ms=200 juice"}' |
    tee "$dir/gang.txt"
grep -q '^{"job":"[0-9a-f]*","outcome":"done"' "$dir/gang.txt" ||
    fail "gang not done"
job=$(sed 's/^{"job":"\([0-9a-f]*\)".*/\1/' "$dir/gang.txt")
for task in 0 1 2; do
	curl -s --max-time 5 "$url1/v1/jobs/$job/tasks/$task/answer" |
	    tee "$dir/task.txt"
	grep -q 'run_ms=200 juice' "$dir/task.txt" || fail "wrong answer of task $task"
done

echo "== stopping"
for pid in "${pids[@]}"; do
	kill "$pid"
done
code=0
for pid in "${pids[@]}"; do
	wait "$pid" || code=$?
done
[ "$code" -eq 0 ] || fail "a process ended with code $code"
pids=()
echo "demo: ok, all processes have ended"
