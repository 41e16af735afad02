#!/usr/bin/env bash
# Tests answers that are lost when the entry that waits for them is killed, and
# resends through another entry; then disks that are lost one after the other.
set -eu
bin=$1
# shellcheck source=test/proc_lib.sh
. "$(dirname "$0")/proc_lib.sh"

start_all 4

echo "== an entry is killed, and answers to starts and submits are lost"
callers=()
for n in $(seq 1 16); do
	idempotent=true
	[ $((n % 2)) -eq 0 ] && idempotent=false
	caller 1 "k$n" "$idempotent" "run_ms=600 key=k$n;" &
	callers+=($!)
done
until_true started_at_least "key=k" 8
kill_one entry1 KILL
start_entry 1
wait "${callers[@]}"
check_guarantees

echo "== the same keys are resent through the other entry"
cp "$dir/outcomes" "$dir/outcomes.before"
while read -r key idempotent expected; do
	cp "$dir/body.$key" "$dir/body.before"
	n=${key#k}
	submit_once 2 "$key" "$idempotent" "run_ms=600 key=$key;" 5000
	again=$(outcome "$key")
	[ "$again" = "$expected" ] || fail "$key: reported $expected and then $again"
	[ "$expected" != done ] || cmp "$dir/body.before" "$dir/body.$key" ||
		fail "$key: two different answers"
done <"$dir/outcomes.before"

# member_id CELL ENTRY: prints the id of the voter at the address of CELL.
member_id() {
	ctl "$2" members | awk -v a="127.0.0.1:$((base + ${1#cell}))" '
	    $2 == a && $3 == "yes" {print $1}'
}

# replaced CELL OLD: succeeds once CELL is a voter under an id other than OLD.
replaced() {
	local id
	id=$(member_id "$1" 2)
	[ -n "$id" ] && [ "$id" != "$2" ] && three_voters 2
}

# lose_disk CELL: kills CELL and starts it again without its data directory.
lose_disk() {
	kill_one "$1" KILL
	rm -rf "${dir:?}/$1"
	start_cell "${1#cell}"
}

echo "== each disk is lost as soon as the previous one is replaced"
for name in cell2 cell3 cell1; do
	old=$(member_id "$name" 2)
	[ -n "$old" ] || fail "$name is not a voter"
	lose_disk "$name"
	until_true replaced "$name" "$old"
	caller 2 "after-$name" true "run_ms=50 key=after-$name;"
done
check_guarantees
grep -q "after-cell1 true done" "$dir/outcomes" ||
	fail "no request ran after the last loss: $(grep after "$dir/outcomes"; cat "$dir"/body.after*)"

echo "== outcomes reported before the disks were lost still hold"
key=k1
expected=$(awk '$1 == "k1" {print $3}' "$dir/outcomes.before")
submit_once 1 k1 true "run_ms=600 key=k1;" 5000
[ "$(outcome k1)" = "$expected" ] ||
	fail "k1: reported $expected, then $(outcome k1)"
check_guarantees
