#!/usr/bin/env bash
# Checks that test_cell, or the /flows/terms of test_flows, detects each
# deliberate fault of src/mutant.h.
# mutants.sh BIN: tries the recorded seed first, then seeds 1 to 50, as a change
# of the code may require another seed.
# mutants.sh BIN --search LAST: finds the first seed of 1 to LAST that detects
# each fault.
set -u
bin=$1

# Number in src/mutant.h, seed that detects it, fault. Those from here on are
# faults of leases that are bounded in the tables.
bounds=12
mutants="
1 4 a start is sent before its commit
2 567 a lease expires without the bound on clock rates
3 36 a replica with a lost disk keeps its id and its vote
4 3 a restart loses the newest rules
5 1 a call without an answer is reported as not_run
6 1 the tasks of a gang are placed one by one
7 43 an acknowledgement is sent before the sync
8 1 an entry carries out orders of a deposed leader
9 1 a second attempt of a job that is not idempotent
10 7 cancelled runs continue
11 10 an order is valid for the next incarnation of an endpoint
12 1 a lease that is bounded in the tables is extended
13 2 a bound stays valid over a leader of a version without bounds
"

# detected MUTANT SEED: succeeds if the run fails; prints the failed check.
detected() {
	local out test=(test_cell_mutants)
	[ "$1" -lt "$bounds" ] || test=(test_flows_mutants -p /flows/terms)
	out=$(GYP_MUTANT=$1 GYP_SEED=$2 "$bin/${test[0]}" "${test[@]:1}" 2>&1) &&
		return 1
	echo "$out" | grep -E 'invariant:|assertion failed|FATAL-ERROR' | head -n 1
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
