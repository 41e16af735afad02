#!/usr/bin/env bash
# Starts three replicas, two entries and four endpoints on loopback, runs one
# booking and one all-at-once job, prints the whole answers and stops it all.
set -eu
bin=$1
dir=$(mktemp -d)
pids=()

stop_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap stop_all EXIT

fail() {
	echo "demo: $*" >&2
	tail -n 20 "$dir"/*.log >&2
	exit 1
}

# shellcheck source=test/ports.sh
. "$(dirname "${BASH_SOURCE[0]}")/../test/ports.sh"
cells=127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2)),127.0.0.1:$((base + 3))
entries=127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12))

start() {
	local log=$1
	shift
	"$@" >"$dir/$log.log" 2>&1 &
	pids+=($!)
}

for n in 1 2 3; do
	cat >"$dir/cell$n.ini" <<INI
[cell]
listen = 127.0.0.1:$((base + n))
join = $cells
data_folder = $dir/cell$n
data_centre = dc-$n
name = cell-$n
INI
	init=
	[ "$n" -eq 1 ] && init=--init
	start "cell$n" "$bin/gyp-cell" --config "$dir/cell$n.ini" $init
done
for n in 1 2; do
	cat >"$dir/entry$n.ini" <<INI
[entry]
listen = 127.0.0.1:$((base + 10 + n))
cells = $cells
data_centre = dc-$n
name = entry-$n
INI
	start "entry$n" "$bin/gyp-entry" --config "$dir/entry$n.ini"
done
for n in 1 2 3 4; do
	start "endpoint$n" "$bin/gyp-endpoint" --name "vm-$n" \
	    --listen 127.0.0.1:$((base + 20 + n)) --entries "$entries" \
	    --rack "rack-$((n % 2))" --data-centre "dc-$n"
done

url1=http://127.0.0.1:$((base + 11))
url2=http://127.0.0.1:$((base + 12))

# wait_for URL PATTERN: polls until the answer matches.
wait_for() {
	local i
	for i in $(seq 1 300); do
		if curl -s --max-time 5 "$1" | grep -q "$2"; then
			return 0
		fi
		sleep 0.1
	done
	fail "no $2 at $1"
}

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
grep -q 'slot 7 for grower 12' "$dir/booking.txt" || fail "answer not whole"

echo "== the same booking, sent again through the second entry"
curl -s --max-time 30 -X POST "$url2/v1/jobs?wait_ms=20000" \
    -H 'Idempotency-Key: booking-1' \
    -d '{"kind":"request","class":"booking","team":"rota","cpu_milli":500,
"memory_bytes":268435456,"payload":"slot 7 for grower 12"}' |
    tee "$dir/again.txt"
tail -n 1 "$dir/booking.txt" | cmp - "$dir/again.txt" ||
    fail "the second answer differs"

echo "== one all-at-once job of three tasks"
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
	grep -q 'run_ms=200 juice' "$dir/task.txt" || fail "task $task"
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
echo "demo: done, nothing left running"
