#!/usr/bin/env bash
# A worker that has restarted is lost, and then the leader. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
# TROUBLE=0: the same without the disruption; the driver reads it.
export TROUBLE="${TROUBLE:-1}"
case $TROUBLE in 0 | 1) ;; *)
	echo "TROUBLE must be 0 or 1" >&2
	exit 2
	;;
esac
# shellcheck source=review/common.sh
. "$here/../common.sh" "$here/../bin/case5"
start_deployment
# Starts a replica that was killed again, once.
restart_killed() {
	local n pid
	while sleep 0.1; do
		for n in 0 1 2 3 4; do
			pid=CORE_$n
			kill -0 "${!pid}" 2>/dev/null && continue
			sleep 0.2
			"target/bin/gyp-cell" --config "$dir/cell-$n.ini" \
				>>"$dir/cell-$n.log" 2>&1 &
			echo $! >"$dir/restarted"
			echo "run.sh: replica $n is started again" >>"$here/record.txt"
			return
		done
	done
}
restart_killed &
pids+=($!)
trap '[ -f "$dir/restarted" ] && kill -KILL "$(cat "$dir/restarted")"; cleanup' EXIT
run_case "$here/../bin/case5" "$here/record.txt"
