#!/usr/bin/env bash
# Checks that test_cell, or test_flows, detects each deliberate fault of
# src/mutant.h.
# mutants.sh BIN: tries the recorded seed first, then seeds 1 to 50, as a change
# of the code may require another seed.
# mutants.sh BIN --search LAST: finds the first seed of 1 to LAST that detects
# each fault.
set -u
bin=$1

# Number in src/mutant.h, seed that detects it, fault.
mutants="
1 4 a start is sent before its commit
2 119 a lease expires without the bound on clock rates
3 16 a replica with a lost disk keeps its id and its vote
4 3 a restart loses the newest rules
5 1 a call without an answer is reported as not_run
6 1 the tasks of a gang are placed one by one
7 65 an acknowledgement is sent before the sync
8 11 an entry carries out orders of a deposed leader
9 1 a second attempt of a job that is not idempotent
10 7 cancelled runs continue
11 3 an order is valid for the next incarnation of an endpoint
12 3 a start that was answered confirms the run for an incarnation
13 14 a run is confirmed although its start was sent again
14 1 a lease that is bounded in the tables is extended
15 2 a bound stays valid over a leader of a version without bounds
16 1 an endpoint that announced its shutdown counts as ended
"

# Runs the group of test_flows that is made for the faults from number 12 on.
run_test() {
	if [ "$1" -ge 16 ]; then
		GYP_MUTANT=$1 GYP_SEED=$2 "$bin/test_flows_mutants" \
			-p /flows/departures
	elif [ "$1" -ge 14 ]; then
		GYP_MUTANT=$1 GYP_SEED=$2 "$bin/test_flows_mutants" \
			-p /flows/terms
	elif [ "$1" -ge 12 ]; then
		GYP_MUTANT=$1 GYP_SEED=$2 "$bin/test_flows_mutants" \
			-p /flows/chains-of-terms
	else
		GYP_MUTANT=$1 GYP_SEED=$2 "$bin/test_cell_mutants"
	fi
}

# detected MUTANT SEED: succeeds if the run fails; prints the failed check.
detected() {
	local out
	out=$(run_test "$1" "$2" 2>&1) && return 1
	echo "$out" | grep -E 'invariant:|assertion failed|FATAL-ERROR|^\*\* .*ERROR' |
		head -n 1
}

first_seed() {
	local seed
	for seed in $(seq 1 "$2"); do
		if seen=$(detected "$1" "$seed"); then
			echo "$1 seed $seed: $seen"
			return 0
		fi
	done
	echo "$1: NOT DETECTED by seeds 1 to $2"
	return 1
}

code=0
while read -r mutant seed fault; do
	[ -n "$mutant" ] || continue
	if [ "${2:-}" = --search ]; then
		first_seed "$mutant" "$3" || code=1
	elif seen=$(detected "$mutant" "$seed"); then
		echo "$fault (seed $seed): ${seen:-no message}"
	else
		echo "$fault: no longer detected by seed $seed"
		first_seed "$mutant" 50 || code=1
	fi
done <<<"$mutants"
exit "$code"
