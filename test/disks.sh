#!/usr/bin/env bash
# Data folders of the real programs: lost, shared, torn, damaged; and removal
# of a member by an operator.
set -eu
bin=$1
# shellcheck source=test/cluster.sh
. "$(dirname "$0")/cluster.sh"

# voters N: the cell has that many voters and each of them answers.
voters() {
	[ "$(ctl 1 members | awk '$3 == "yes" && $5 == "yes"' | wc -l)" -eq "$1" ]
}

id_of() {
	ctl 1 members | awk -v a="127.0.0.1:$((base + $1))" '$2 == a {print $1}'
}

# ends_with NAME CODE TEXT: the process ends by itself and says why.
ends_with() {
	local code=0
	wait "${pids[$1]}" || code=$?
	unset "pids[$1]"
	[ "$code" -eq "$2" ] || fail "$1 ended with $code, not $2"
	tail -n 3 "$dir/$1.log" | grep -q "$3" || fail "$1 did not say $3"
}

# flip FILE OFFSET: inverts all bits of one byte.
flip() {
	local byte
	[ "$(stat -c %s "$1")" -gt "$2" ] || fail "$1 ends before byte $2"
	byte=$(od -An -tu1 -j "$2" -N 1 "$1" | tr -d ' ')
	printf "\\x$(printf '%02x' $((byte ^ 255)))" |
	    dd of="$1" bs=1 seek="$2" conv=notrunc status=none
}

newest_log() {
	ls -v "$dir/cell$1"/log.* | tail -n 1
}

# Offset of the byte to damage, in the first record of a segment.
damaged=60

# The newest segment of cell 3 is of its present process, and the byte to
# damage is below the synced length in its header: the leader may count a
# replica as answering for a moment after its end.
damageable() {
	local length
	grep -q "gyp-cell\[${pids[cell3]}\]: started " "$dir/cell3.log" ||
		return 1
	length=$(od -An -tu8 --endian=big -j 32 -N 8 "$(newest_log 3)")
	[ "${length:-0}" -gt "$damaged" ]
}

echo "== --init begins a cell where nothing is stored, and only there"
start_cell 1
until_true test -s "$dir/cell1/log.1"
kill_one cell1 KILL
start_cell 1 --init
start_entry 1
until_true ctl 1 status
kill_one cell1 KILL
start second "$bin/gyp-cell" --config "$dir/cell1.ini" --init
ends_with second 75 'holds a cell already'

start_cell 1
start_cell 2
start_cell 3
until_true voters 3

echo "== different leases are reported by both sides"
kill_one cell3 TERM
cell_settings='endpoint_lease = 6s' start_cell 3
mismatch_of() {
	grep -q "lease-mismatch name=$2 " "$dir/$1.log"
}
until_true mismatch_of cell1 cell-3
until_true mismatch_of cell3 cell-1
kill_one cell3 TERM
start_cell 3
until_true voters 3

echo "== a second process is kept off the folder"
start second "$bin/gyp-cell" --config "$dir/cell3.ini"
ends_with second 75 'another process uses this folder'

echo "== a lost disk comes back as a new member, a second loss right after"
old=$(id_of 2)
kill_one cell2 KILL
rm -r "$dir/cell2"
start_cell 2
new_member() {
	[ -n "$(id_of 2)" ] && [ "$(id_of 2)" != "$old" ] && voters 3
}
until_true new_member
ctl 1 members | grep -q "$old" && fail "$old is still a member"
kill_one cell3 KILL
rm -r "$dir/cell3"
echo 'share press 1 # Asha: test' >"$dir/rules"
apply() {
	ctl 1 rules apply "$dir/rules" --base 0 --request r1 --author t --wait 0
}
until_true apply

echo "== an operator removes the lost member"
gone=$(id_of 3)
until_true ctl 1 members remove "$gone"
ctl 1 members | grep -q "$gone" && fail "$gone is still a member"
start_cell 3
until_true voters 3

echo "== a torn tail is cut"
kill_one cell3 KILL
head -c 20 /dev/urandom >>"$(newest_log 3)"
start_cell 3
until_true damageable
until_true voters 3

echo "== a flipped byte is refused, the file and the offset are named"
kill_one cell3 KILL
log=$(newest_log 3)
flip "$log" "$damaged"
start_cell 3
ends_with cell3 65 "$(basename "$log"): bad record at byte"
flip "$log" "$damaged"

echo "== an identity without its log, a log without its identity"
mv "$dir/cell3/identity" "$dir/kept"
start_cell 3
ends_with cell3 65 'holds a log but no identity'
mv "$dir/kept" "$dir/cell3/identity"
mkdir "$dir/logs"
mv "$dir/cell3"/log.* "$dir/logs"
start_cell 3
ends_with cell3 65 'is missing'
mv "$dir/logs"/* "$dir/cell3"
start_cell 3
until_true voters 3

echo "== a leader that is told to stop hands over"
for n in 1 2 3; do
	kill -TERM "${pids[cell$n]}"
	ends_with "cell$n" 0 ''
	grep -q no-successor "$dir/cell$n.log" && fail "cell$n had no successor"
	start_cell "$n"
	until_true voters 3
done
echo "disks: done"
