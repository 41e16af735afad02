#!/usr/bin/env bash
# Shows that test_cell catches each deliberate fault of src/mutant.h.
# mutants.sh BIN: tries the recorded seed first and then seeds 1 to 50, as a
# change of the core may move the moment; mutants.sh BIN --search LAST: finds
# the first catching seed of 1 to LAST for each.
set -u
bin=$1

# Number in src/mutant.h, catching seed, fault.
mutants="
1 1 starts go out before the commit
2 567 a lease is over without the clock bound
3 12 a lost disk keeps the name and the vote
4 3 a restart forgets the newest rules
5 1 a call without an answer was not run
6 1 the tasks of a gang are placed one by one
7 3 an acknowledgement goes out before the sync
8 27 an entry obeys a deposed leader
9 1 a second attempt of what is not idempotent
10 7 cancelled work goes on
11 4 an order counts for the next life of an endpoint
"

# caught MUTANT SEED: runs it; prints what was seen when it fails as it should.
caught() {
	local out
	out=$(GYP_MUTANT=$1 GYP_SEED=$2 "$bin/test_cell_mutants" 2>&1) &&
		return 1
	echo "$out" | grep -E 'invariant:|assertion failed' | head -n 1
}

first_seed() {
	local seed
	for seed in $(seq 1 "$2"); do
		if seen=$(caught "$1" "$seed"); then
			echo "$1 seed $seed: $seen"
			return 0
		fi
	done
	echo "$1: NOT CAUGHT by seeds 1 to $2"
	return 1
}

code=0
while read -r mutant seed fault; do
	[ -n "$mutant" ] || continue
	if [ "${2:-}" = --search ]; then
		first_seed "$mutant" "$3" || code=1
	elif seen=$(caught "$mutant" "$seed"); then
		echo "$fault (seed $seed): ${seen:-no message}"
	else
		echo "$fault: no longer caught by seed $seed"
		first_seed "$mutant" 50 || code=1
	fi
done <<<"$mutants"
exit "$code"
