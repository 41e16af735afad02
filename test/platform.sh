#!/usr/bin/env bash
# Tests the real programs with the stand-in of the users' platform: three
# replicas that start together, two entries, jobs of which some have times, and
# endpoints that fail tasks and leave calls unanswered. Under load, the leader is killed, and then the entry
# that makes its calls.
# Usage: platform.sh BIN
set -eu
bin=$1
dir=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null; rm -rf "$dir"' EXIT

# shellcheck source=test/pf_cluster.sh
. "$(dirname "$0")/pf_cluster.sh"
set_addresses 0
start_cell() {
	"$bin/gyp-cell" --config "$dir/cell-$1.ini" >>"$dir/cell-$1.log" 2>&1 &
	pids+=($!)
	eval "cell_$1=$!"
}
for i in 0 1 2; do
	write_cell "$i" yes
	start_cell "$i"
done
write_entry 0 no
write_entry 1 yes
start_entry() {
	"$bin/gyp-entry" --config "$dir/entry-$1.ini" >>"$dir/entry-$1.log" 2>&1 &
	pids+=($!)
	eval "entry_$1=$!"
}
start_entry 0
start_entry 1

"$bin/gyp-standin" --control "$control" --fronts "$fronts" \
	--port $((base + 35)) --endpoints 6 --jobs 60 --rate 10 --tasks 3 \
	--task-ms 200 --fail 30 --silent 20 --timed 200 --admission --seed 7 \
	>"$dir/standin.out" 2>&1 &
standin=$!
pids+=("$standin")

# A preview lists the endpoints in the order of the placer.
echo '{"queue":"q","steps":[{"count":2,"cpu_milli":500},
	{"label":"no such label"}]}' >"$dir/flow"
for _ in $(seq 100); do
	"$bin/gypctl" --entry "127.0.0.2:$((base + 30))" preview "$dir/flow" \
		>"$dir/preview" 2>&1 || true
	grep -q '^step 0: .* score [0-9]' "$dir/preview" && break
	sleep 0.1
done
grep -Eq '^0 +2 .* admission query$' "$dir/preview" &&
	grep -Eq '^1 +1 .* an endpoint that suits$' "$dir/preview" || {
	cat "$dir/preview"
	exit 1
}

# Kills the leader once it has accepted 15 flows.
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

# Then kills the carrier; the new leader makes its calls itself.
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
