#!/usr/bin/env bash
# A randomised soak test of the real programs: three replicas and two entries
# with the stand-in of the platform, behind a proxy that delays, resets and
# blocks connections in one or both directions. Processes are killed, stopped
# and continued, terminated, restarted, and made to reload their settings,
# sometimes two of them in one round. The stand-in checks the actual runs and
# that every job ends. Its callers belong to two workspaces: one sends many times
# its rate and has a small cap, and the keys of both are replaced every 8 s.
# Usage: soak.sh BIN SEED...	(or: soak.sh BIN --seconds N for random seeds)
set -u
bin=$1
shift
here=$(cd "$(dirname "$0")" && pwd)

# Starts the proxy, all programs and the stand-in.
start_all() {
	set_addresses 5
	ports=
	for i in 0 1 2; do
		ports+=" $((base + 5 + i)):$((base + i))"
	done
	# shellcheck disable=SC2086
	"$bin/soak-proxy" "$seed" $ports >"$dir/proxy.log" 2>&1 &
	others+=($!)
	for i in 0 1 2; do start_cell "$i" yes; done
	for i in 0 1; do start_entry "$i"; done
	"$bin/gyp-standin" --control "$control" --fronts "$fronts" \
		--port $((base + 35)) --endpoints 6 --jobs 120 --rate 5 \
		--tasks 3 --task-ms 300 --fail 30 --silent 20 --admission \
		--workspaces --cpu 8000 --seed "$seed" >"$dir/standin.out" 2>&1 &
	standin=$!
}
start_cell() {
	write_cell "$1" "$2" "announce = 127.0.0.1:$((base + 5 + $1))"
	"$bin/gyp-cell" --config "$dir/cell-$1.ini" >>"$dir/cell-$1.log" 2>&1 &
	processes[$1]=$!
}
# Both entries are carriers.
start_entry() {
	write_entry "$1" yes
	"$bin/gyp-entry" --config "$dir/entry-$1.ini" >>"$dir/entry-$1.log" 2>&1 &
	processes[3 + $1]=$!
}
restart() {
	if [ "$1" -lt 3 ]; then start_cell "$1" no; else start_entry $(($1 - 3)); fi
}
# inject_fault PROCESS: kills, terminates, reloads or stops a process.
inject_fault() {
	local pid=${processes[$1]}
	case $((RANDOM % 5)) in
	0) kill -KILL "$pid" 2>/dev/null ;;
	1) kill -TERM "$pid" 2>/dev/null ;;
	2) kill -HUP "$pid" 2>/dev/null ;;
	*)
		kill -STOP "$pid" 2>/dev/null
		sleep "$((RANDOM % 4)).$((RANDOM % 10))"
		kill -CONT "$pid" 2>/dev/null
		;;
	esac
}
# Restarts processes that have exited; some replicas lose their disk, one at a
# time.
restart_exited() {
	for i in 0 1 2 3 4; do
		kill -0 "${processes[$i]}" 2>/dev/null && continue
		wait "${processes[$i]}" 2>/dev/null
		code=$?
		case $code in 0 | 137 | 143) ;; *)
			echo "seed $seed: process $i exited with code $code"
			failed=1
			;;
		esac
		if [ "$i" -lt 3 ] && [ $((RANDOM % 4)) -eq 0 ] && [ "$disk_lost_at" -eq 0 ]; then
			rm -rf "$dir/data-$i"
			disk_lost_at=$(date +%s)
		fi
		restart "$i"
		sleep 0.3 # until gyp_program_start() has made it ignore SIGHUP
	done
	# The next disk may be lost after ten seconds, in which the lost replica
	# is to be replaced.
	if [ "$disk_lost_at" -ne 0 ] && [ $(($(date +%s) - disk_lost_at)) -gt 10 ]; then
		disk_lost_at=0
	fi
}
run_seed() {
	seed=$1 RANDOM=$1 failed=0 disk_lost_at=0
	dir=$(mktemp -d)
	processes=() others=()
	source "$here/pf_cluster.sh"
	RANDOM=$seed
	start_all
	sleep 3
	faults_left=$((10 + RANDOM % 10))
	while [ "$faults_left" -gt 0 ] && kill -0 "$standin" 2>/dev/null; do
		faults_left=$((faults_left - 1))
		inject_fault $((RANDOM % 5))
		[ $((RANDOM % 3)) -eq 0 ] && inject_fault $((RANDOM % 5))
		sleep "$((RANDOM % 2)).$((RANDOM % 10))"
		restart_exited
	done
	for _ in $(seq 200); do
		kill -0 "$standin" 2>/dev/null || break
		restart_exited
		sleep 0.5
	done
	wait "$standin" || failed=1
	kill -KILL "${processes[@]}" "${others[@]}" "$standin" 2>/dev/null
	wait 2>/dev/null
	echo "seed $seed: $(tr '\n' ' ' <"$dir/standin.out")"
	if [ "$failed" -ne 0 ]; then
		echo "seed $seed: FAILED, logs in $dir"
		exit_code=1
	else
		rm -rf "$dir"
	fi
}
exit_code=0
if [ "${1:-}" = --seconds ]; then
	end=$(($(date +%s) + $2))
	while [ "$(date +%s)" -lt "$end" ]; do run_seed $((RANDOM * 32768 + RANDOM)); done
else
	for s in "$@"; do run_seed "$s"; done
fi
[ "$exit_code" -eq 0 ] && echo "soak: ok"
exit "$exit_code"
