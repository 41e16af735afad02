#!/usr/bin/env bash
# The real programs against the stand-in for the users' platform: three
# replicas that start together, two entries, endpoints that fail tasks and
# leave calls unanswered; the leader is killed under way, and then the entry
# that makes its calls.
# Usage: platform.sh BIN
set -eu
bin=$1
source "$(dirname "$0")/ports.sh"
dir=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null; rm -rf "$dir"' EXIT

# Replica i: links at base + i, control at base + 10 + i.
cells="127.0.0.1:$base,127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2))"
control="127.0.0.1:$((base + 10)),127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12))"
fronts="127.0.0.1:$((base + 20)),127.0.0.1:$((base + 21))"
write_cell() {
	cat >"$dir/cell-$1.ini" <<-INI
		[cell]
		listen = 127.0.0.1:$((base + $1))
		join = $cells
		first_start = $2
		data_folder = $dir/data-$1
		data_centre = dc-$1
		name = cell-$1
		voters = 3
		election = 300ms
		heartbeat = 60ms
		[platform]
		control = 127.0.0.1:$((base + 10 + $1))
		run_lease = 6000ms
		stop_grace = 400ms
	INI
}
start_cell() {
	"$bin/gyp-cell" --config "$dir/cell-$1.ini" >>"$dir/cell-$1.log" 2>&1 &
	pids+=($!)
	eval "cell_$1=$!"
}
for i in 0 1 2; do
	write_cell "$i" yes
	start_cell "$i"
done
for i in 0 1; do
	cat >"$dir/entry-$i.ini" <<-INI
		[entry]
		listen = 127.0.0.$((i + 1)):$((base + 30 + i))
		cells = $cells
		data_centre = dc-$i
		name = entry-$i
		[platform]
		front = 127.0.0.1:$((base + 20 + i))
		readiness = 127.0.0.1:$((base + 25 + i))
		admission = 127.0.1.1:$((base + 35))
		linger = 500ms
		carry = $([ "$i" = 1 ] && echo yes || echo no)
	INI
done
start_entry() {
	"$bin/gyp-entry" --config "$dir/entry-$1.ini" >>"$dir/entry-$1.log" 2>&1 &
	pids+=($!)
	eval "entry_$1=$!"
}
start_entry 0
start_entry 1

"$bin/gyp-standin" --control "$control" --fronts "$fronts" \
	--port $((base + 35)) --endpoints 6 --jobs 60 --rate 10 --tasks 3 \
	--task-ms 200 --fail 30 --silent 20 --admission --seed 7 \
	>"$dir/standin.out" 2>&1 &
standin=$!
pids+=("$standin")

# Kills the replica that leads once some flows were accepted.
for _ in $(seq 300); do
	leader=$(grep -l 'flow-accepted' "$dir"/cell-*.log | head -n 1 || true)
	if [ -n "$leader" ] && [ "$(grep -c flow-accepted "$leader")" -ge 15 ]; then
		break
	fi
	sleep 0.1
done
n=${leader##*cell-}
n=${n%.log}
eval "kill -9 \$cell_$n"
write_cell "$n" no
start_cell "$n"

# Then the carrier goes, and the new leader makes its calls itself.
for _ in $(seq 300); do
	if [ "$(cat "$dir"/cell-*.log | grep -c flow-accepted)" -ge 30 ]; then
		break
	fi
	sleep 0.1
done
kill -9 "$entry_1"
start_entry 1

if ! wait "$standin"; then
	cat "$dir/standin.out"
	tail -n 20 "$dir"/cell-*.log
	exit 1
fi
cat "$dir/standin.out"
grep -q 'jobs=60 ended=60' "$dir/standin.out"
grep -q 'violations=0' "$dir/standin.out"
[ "$(cat "$dir"/cell-*.log | grep -c ' leading ')" -ge 2 ]
echo "platform: ok"
