#!/usr/bin/env bash
# Tests a leader that is stopped under load (SIGSTOP) for longer than every
# lease, while its successor places the same tasks again; then an entry; then
# both once more.
set -eu
bin=$1
# shellcheck source=test/proc_lib.sh
. "$(dirname "$0")/proc_lib.sh"

CALLERS=24

start_all 4

# frozen_for_leases SINCE: succeeds once every lease has expired since SINCE.
frozen_for_leases() {
	[ $(($(date +%s%3N) - $1)) -ge "$LEASES_MS" ]
}

# freeze_under_load ROUND NAME: submits requests, stops process NAME once a task
# has started, and continues it after every lease has expired.
freeze_under_load() {
	local callers=() n idempotent since
	for n in $(seq 1 "$CALLERS"); do
		idempotent=true
		[ $((n % 2)) -eq 0 ] && idempotent=false
		caller $((n % 2 + 1)) "r$1-$n" "$idempotent" \
		    "run_ms=400 key=r$1-$n;" &
		callers+=($!)
	done
	until_true started_at_least "key=r$1-" 1
	kill -STOP "${pids[$2]}"
	since=$(date +%s%3N)
	until_true frozen_for_leases "$since"
	kill -CONT "${pids[$2]}"
	wait "${callers[@]}"
	check_guarantees
}

for round in 1 2; do
	old=$(leader 1)
	echo "== round $round: the leader is frozen"
	freeze_under_load "a$round" "$old"
	until_true three_voters 1
	echo "== round $round: an entry is frozen"
	freeze_under_load "b$round" entry1
	until_true has_endpoints 2 4
done
