#!/usr/bin/env bash
# Tests versions of the rules on the real programs: operators apply rules
# concurrently, answers are lost, processes are stopped or killed and miss
# hundreds of changes.
set -eu
bin=$1
# shellcheck source=test/cluster.sh
. "$(dirname "$0")/cluster.sh"

rule() {
	echo "share $1 $2 # Asha: test"
}

# apply N FILE BASE REQUEST [WAIT_S]: applies rules through entry N; returns the
# exit code of gypctl.
apply() {
	ctl "$1" rules apply "$2" --base "$3" --request "$4" --author test \
	    --wait "${5:-0}"
}

version() {
	ctl "$1" rules show --format=json | sed 's/.*"version":\([0-9]*\).*/\1/'
}

# accepted CODE: exit code 3 means accepted, but not yet in force everywhere.
accepted() {
	[ "$1" -eq 0 ] || [ "$1" -eq 3 ]
}

three_voters() {
	[ "$(ctl "$1" members | awk '$3 == "yes" && $5 == "yes"' | wc -l)" -eq 3 ]
}

in_force() {
	ctl "$1" rules status | grep -q ', in force everywhere'
}

leader() {
	local port
	port=$(ctl "$1" members | awk '$4 == "yes" {sub(".*:", "", $2); print $2}')
	echo "cell$((port - base))"
}

now_ms() {
	date +%s%3N
}

start_cell 1 --init
start_cell 2
start_cell 3
start_entry 1
start_entry 2
until_true three_voters 1
until_true three_voters 2
until_true in_force 1

echo "== two operators apply on the same base version"
rule press 1 >"$dir/a"
rule rota 2 >"$dir/b"
operator() {
	local code=0
	apply "$1" "$dir/$2" 0 "op-$2" >"$dir/$2.out" 2>&1 || code=$?
	echo "$code" >"$dir/$2.rc"
}
operator 1 a &
first=$!
operator 2 b &
wait "$first" $!
winner=a loser=b
accepted "$(cat "$dir/a.rc")" || { winner=b loser=a; }
accepted "$(cat "$dir/$winner.rc")" || fail "neither request was accepted"
[ "$(cat "$dir/$loser.rc")" -eq 1 ] || fail "both requests were accepted"
grep -q "^-$(cat "$dir/$winner")" "$dir/$loser.out" || fail "no diff shown"
grep -q "^+$(cat "$dir/$loser")" "$dir/$loser.out" || fail "no diff shown"
[ "$(version 1)" -eq 1 ] || fail "expected version 1"

# lost_answer ENTRY REQUEST FILE BASE: disconnects before the answer arrives.
lost_answer() {
	curl -s --max-time 0.005 -o /dev/null -X POST -H "Gyp-Request: $2" \
	    --data-binary "@$3" \
	    "http://$(entry_address "$1")/v1/admin/rules?base=$4" || true
}

# resent N FILE BASE REQUEST VERSION: succeeds if VERSION was accepted.
resent() {
	local code=0
	apply "$1" "$2" "$3" "$4" >"$dir/resent" 2>&1 || code=$?
	accepted "$code" && grep -q "^version $5 accepted" "$dir/resent"
}

echo "== a request whose answer was lost is resent after another change"
lost_answer 1 lost "$dir/a" 1
until_true resent 2 "$dir/a" 1 lost 2
code=0
apply 1 "$dir/b" 2 other >/dev/null || code=$?
accepted "$code" || fail "the other request was not accepted"
resent 1 "$dir/a" 1 lost 2 || fail "the resend received another answer"
resent 2 "$dir/a" 1 lost 2 || fail "the resend received another answer"
[ "$(version 2)" -eq 3 ] || fail "the resend was applied again"

echo "== a resend after a change of leader"
old=$(leader 1)
kill_one "$old" KILL
until_true resent 2 "$dir/a" 1 lost 2
[ "$(version 2)" -eq 3 ] || fail "the version changed with the leader"
start_cell "${old#cell}"
until_true three_voters 2

echo "== a killed replica and a stopped entry miss 300 changes"
old=$(leader 1)
follower=cell1
[ "$old" = cell1 ] && follower=cell2
kill_one "$follower" KILL
kill -STOP "${pids[entry2]}"
v=3
while [ "$v" -lt 303 ]; do
	rule press $((v % 9 + 1)) >"$dir/c"
	curl -sf -o /dev/null -X POST -H "Gyp-Request: c$v" \
	    --data-binary "@$dir/c" \
	    "http://$(entry_address 1)/v1/admin/rules?base=$v" ||
	    fail "change $v was refused"
	v=$((v + 1))
done
# The stopped entry no longer counts once its lease has expired.
until_true in_force 1
kill -CONT "${pids[entry2]}"
start_cell "${follower#cell}"
has_all() {
	[ "$(ctl 1 rules status | awk '$1 == "entry" && $4 == 303' |
	    wc -l)" -eq 2 ] && in_force 1 && in_force 2 &&
	    [ "$(ctl 2 rules status |
		awk '$1 == "cell" && $3 == "yes" && $4 == "yes"' |
		wc -l)" -eq 3 ]
}
until_true has_all
# The first request is older than the versions that are kept, so the answer must
# not report it as applied or refused.
code=0
apply 1 "$dir/$winner" 0 "op-$winner" >"$dir/old" 2>&1 || code=$?
[ "$code" -eq 1 ] ||
    fail "a request older than the kept versions: exit code $code"
grep -q 'no longer kept' "$dir/old" ||
    fail "a request older than the kept versions: no message"

echo "== every replica is killed and restarted"
for n in 1 2 3; do
	kill_one "cell$n" KILL
done
for n in 1 2 3; do
	start_cell "$n"
done
until_true has_all
ctl 2 rules show 2>/dev/null | cmp - "$dir/c" || fail "the text changed"

echo "== time until rules are in force everywhere"
rule press 5 >"$dir/d"
since=$(now_ms)
code=0
apply 1 "$dir/d" 303 measured 30 || code=$?
echo "in force after $(($(now_ms) - since)) ms, all processes running"
[ "$code" -eq 0 ] || fail "not in force"
kill -STOP "${pids[entry2]}"
rule press 6 >"$dir/e"
since=$(now_ms)
code=0
apply 1 "$dir/e" 304 measured-2 30 || code=$?
echo "in force after $(($(now_ms) - since)) ms, one entry stopped"
[ "$code" -eq 0 ] || fail "not in force"
kill -CONT "${pids[entry2]}"
old=$(leader 1)
rule press 7 >"$dir/f"
since=$(now_ms)
kill_one "$old" KILL
until_true resent 1 "$dir/f" 305 measured-3 306
until_true in_force 1
echo "in force after $(($(now_ms) - since)) ms, the leader killed"
echo "rules: passed"
