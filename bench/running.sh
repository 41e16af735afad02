#!/usr/bin/env bash
# Measures the real programs over HTTP on one machine: latency of requests sent
# at a steady rate without waiting for answers (open loop), CPU time of cells
# and entries per start, the same with the leader killed halfway, and the time
# from the loss of an endpoint until its task runs elsewhere.
# usage: running.sh BIN; prints the figures of a section of docs/MEASURES.md.
set -eu
bin=$1
# shellcheck source=test/cluster.sh
. "$(dirname "$0")/../test/cluster.sh"

rate=100   # requests per second
count=1000 # requests per phase
lease_ms=5000
ticks=$(getconf CLK_TCK)

for n in 1 2 3; do
	if [ "$n" -eq 1 ]; then start_cell 1 --init; else start_cell "$n"; fi
done
start_entry 1
start_entry 2
for n in 1 2 3 4 5 6 7 8; do
	start "endpoint$n" "$bin/gyp-endpoint" --name "vm-$n" \
	    --listen "127.0.0.1:$((base + 20 + n))" \
	    --entries "$(entry_address 1),$(entry_address 2)" \
	    --rack "rack-$n" --data-centre "dc-$n" --journal "$dir/journal$n"
done
ready() {
	[ "$(ctl 1 endpoints | grep -c ' active ')" -eq 8 ] &&
	    [ "$(ctl 1 members | awk '$3 == "yes" && $5 == "yes"' | wc -l)" -eq 3 ]
}
until_true ready

# cpu NAME...: total CPU time of the processes so far, in clock ticks.
cpu() {
	local name sum=0 pid
	for name in "$@"; do
		pid=${pids[$name]:-}
		[ -n "$pid" ] || continue
		sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
	done
	echo "$sum"
}

# leader: prints the port of the leader, base + its number.
leader() {
	ctl 1 members | awk '$4 == "yes" {sub(/.*:/, "", $2); print $2}'
}

# send_request PHASE I: sends request I, prints its outcome and time in ms.
send_request() {
	curl -s -o /dev/null -D - -w 'time %{time_total}\n' --max-time 40 \
	    "http://$(entry_address $((1 + $2 % 2)))/v1/jobs?wait_ms=30000" \
	    -H "Idempotency-Key: $1-$2" -d '{"idempotent":true,
"cpu_milli":100,"payload":"run_ms=0"}' | tr -d '\r' |
	    awk '/^Gyp-Outcome/ {o = $2} /^time/ {t = $2} END {print o, t * 1000}'
}

# phase NAME [kill]: sends the requests of a phase and prints a row. With kill,
# the leader is killed halfway.
phase() {
	local i waiters=() name=$1 before after
	before=$(cpu cell1 cell2 cell3 entry1 entry2)
	for i in $(seq 1 "$count"); do
		send_request "$name" "$i" >>"$dir/$name.times" &
		waiters+=($!)
		if [ "${2:-}" = kill ] && [ "$i" -eq $((count / 2)) ]; then
			kill_one "cell$(($(leader) - base))" KILL
		fi
		sleep "$(awk -v r="$rate" 'BEGIN {print 1 / r}')"
	done
	wait "${waiters[@]}"
	after=$(cpu cell1 cell2 cell3 entry1 entry2)
	sort -k2 -n "$dir/$name.times" >"$dir/$name.sorted"
	awk -v name="$name" -v us=$(((after - before) * 1000000 / ticks)) '
	    {t[NR] = $2; done += $1 == "done"}
	    END {printf "| %s | %d | %d | %.0f | %.0f | %.0f | %s |\n", name,
	        NR, done, t[int(NR / 2)], t[int(NR * 0.99)], t[NR],
	        name == "steady" ? sprintf("%.0f", us / NR) : "-"}' \
	    "$dir/$name.sorted"
}

sleep 1
before=$(cpu cell1 cell2 cell3 entry1 entry2)
sleep 10
# Microseconds of CPU time per second; the ticks are those of 10 s.
idle=$((($(cpu cell1 cell2 cell3 entry1 entry2) - before) * 100000 / ticks))
echo "Five processes with nothing but 8 endpoints' heartbeats: $idle us of"
echo "processor time a second together."
echo
echo "| phase | requests | done | median ms | p99 ms | worst ms | control us per start |"
echo "| --- | ---: | ---: | ---: | ---: | ---: | ---: |"
phase steady
phase leader-killed kill
starts=$(cat "$dir"/journal* | grep -c '^start')
echo
echo "Starts at the endpoints: $starts, for $((2 * count)) requests."

submitted=$(curl -s "http://$(entry_address 1)/v1/jobs" -d '{"idempotent":true,
"kind":"batch","cpu_milli":100,"payload":"async run_ms=60000 stays"}')
started() {
	[ "$(cat "$dir"/journal* | grep -c '^start .*stays')" -ge "$1" ]
}
until_true started 1
victim=$(grep -l '^start .*stays' "$dir"/journal* | sed 's/.*journal//')
kill_one "endpoint$victim" KILL
from=$(date +%s%3N)
until_true started 2
took=$(($(date +%s%3N) - from))
[ -n "$submitted" ]
echo "A lost endpoint's task ran elsewhere after $took ms:" \
    "$(awk -v t="$took" -v l="$lease_ms" 'BEGIN {printf "%.2f", t / l}')" \
    "of the lease of $lease_ms ms."
