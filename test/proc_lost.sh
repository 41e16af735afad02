#!/usr/bin/env bash
# Answers lost by the death of the entry that waits for them; resends through
# another; then one disk lost, repaired, and a second one lost.
set -eu
bin=$1
# shellcheck source=test/proc_lib.sh
. "$(dirname "$0")/proc_lib.sh"

start_all 4

echo "== the answers to starts and to submits lost with their entry"
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
check_promises

echo "== the same keys again through the other entry"
cp "$dir/told" "$dir/told.before"
while read -r key idempotent told; do
	cp "$dir/body.$key" "$dir/body.before"
	n=${key#k}
	submit_once 2 "$key" "$idempotent" "run_ms=600 key=$key;" 5000
	again=$(outcome "$key")
	[ "$again" = "$told" ] || fail "$key: told $told and then $again"
	[ "$told" != done ] || cmp "$dir/body.before" "$dir/body.$key" ||
		fail "$key: two answers"
done <"$dir/told.before"

# member_id CELL ENTRY: the id of the voter at its address.
member_id() {
	ctl "$2" members | awk -v a="127.0.0.1:$((base + ${1#cell}))" '
	    $2 == a && $3 == "yes" {print $1}'
}

# replaced CELL OLD: the new disk's id has the vote, the old one is gone.
replaced() {
	local id
	id=$(member_id "$1" 2)
	[ -n "$id" ] && [ "$id" != "$2" ] && three_voters 2
}

lose_disk() {
	kill_one "$1" KILL
	rm -rf "${dir:?}/$1"
	start_cell "${1#cell}"
}

echo "== a disk lost, repaired, and a second one lost at once"
for name in cell2 cell3 cell1; do
	old=$(member_id "$name" 2)
	[ -n "$old" ] || fail "$name is no voter"
	lose_disk "$name"
	until_true replaced "$name" "$old"
	caller 2 "after-$name" true "run_ms=50 key=after-$name;"
done
check_promises
grep -q "after-cell1 true done" "$dir/told" ||
	fail "no work after the repair: $(grep after "$dir/told"; cat "$dir"/body.after*)"

echo "== what was told before the disks were lost still holds"
key=k1
told=$(awk '$1 == "k1" {print $3}' "$dir/told.before")
submit_once 1 k1 true "run_ms=600 key=k1;" 5000
[ "$(outcome k1)" = "$told" ] || fail "k1: told $told, then $(outcome k1)"
check_promises
