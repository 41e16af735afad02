#!/usr/bin/env bash
# Tests changes of a settings file while the programs run: after SIGHUP, or
# after a change of the file alone, the settings are applied or refused with a
# log line, and the process keeps running.
# Usage: reload.sh BIN
set -eu
bin=$1
source "$(dirname "$0")/ports.sh"
dir=$(mktemp -d)
cell= entry=
trap 'kill $cell $entry 2>/dev/null || true; wait; rm -rf "$dir"' EXIT
cell_port=$base entry_port=$((base + 1)) unused_port=$((base + 2))

write_cell() {
	printf '[cell]\nlisten = 127.0.0.1:%s\ndata_folder = %s\n' "$cell_port" "$dir/data"
	printf 'data_centre = here\nname = cell-1\nvoters = %s\n' "$1"
	printf 'join = 127.0.0.1:%s\n' "$2"
}
write_entry() {
	printf '[entry]\nlisten = 127.0.0.1:%s\ncells = %s\n' "$entry_port" "$1"
	printf 'data_centre = here\nname = entry-1\n'
}
# expect FILE PATTERN: waits until a line of FILE matches PATTERN.
expect() {
	for _ in $(seq 300); do
		grep -q -- "$2" "$1" && return 0
		sleep 0.1
	done
	echo "no line matches '$2' in $1:"
	cat "$1"
	exit 1
}
write_cell 3 "$cell_port" >"$dir/cell.ini"
write_entry "127.0.0.1:$cell_port" >"$dir/entry.ini"
"$bin/gyp-cell" --config "$dir/cell.ini" --init >"$dir/cell.log" 2>&1 &
cell=$!
"$bin/gyp-entry" --config "$dir/entry.ini" >"$dir/entry.log" 2>&1 &
entry=$!
expect "$dir/cell.log" 'started'
expect "$dir/entry.log" 'started'

kill -HUP "$cell" "$entry"
expect "$dir/cell.log" 'reloaded cause=signal'
expect "$dir/entry.log" 'reloaded cause=signal'

write_cell 5 "$unused_port" >"$dir/new" && mv "$dir/new" "$dir/cell.ini"
expect "$dir/cell.log" 'reloaded cause=file'
expect "$dir/cell.log" 'setting-waits section=cell key=voters'
expect "$dir/cell.log" 'setting-changed section=cell key=join'

write_entry "127.0.0.1:$cell_port, 127.0.0.1:$unused_port" >"$dir/new"
mv "$dir/new" "$dir/entry.ini"
expect "$dir/entry.log" 'setting-changed section=entry key=cells'

echo 'nonsense' >"$dir/new" && mv "$dir/new" "$dir/entry.ini"
expect "$dir/entry.log" 'reload-refused cause=file'
kill -0 "$cell" && kill -0 "$entry"
kill -TERM "$entry"
wait "$entry"
entry=
echo "reload: ok"
