# Starts processes on loopback for a demo or a measurement, and stops them when
# the shell exits. To be sourced after setting bin (directory of the programs)
# and name (of the calling script, for messages); sets dir, pids, base and
# cells.
# shellcheck shell=bash
dir=$(mktemp -d)
pids=()

stop_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap stop_all EXIT

fail() {
	echo "$name: $*" >&2
	tail -n 20 "$dir"/*.log >&2
	exit 1
}

# shellcheck source=test/ports.sh
. "$(dirname "${BASH_SOURCE[0]}")/../test/ports.sh"
cells=127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2)),127.0.0.1:$((base + 3))

# start LOG PROGRAM ARG...: runs it in the background, with output to LOG.log.
start() {
	local log=$1
	shift
	"$@" >"$dir/$log.log" 2>&1 &
	pids+=($!)
}

start_cells() {
	local n init
	for n in 1 2 3; do
		cat >"$dir/cell$n.ini" <<-INI
			[cell]
			listen = 127.0.0.1:$((base + n))
			join = $cells
			data_folder = $dir/cell$n
			data_centre = dc-$n
			name = cell-$n
		INI
		init=
		[ "$n" -eq 1 ] && init=--init
		start "cell$n" "$bin/gyp-cell" --config "$dir/cell$n.ini" $init
	done
}

# start_entry N: starts entry N on port base + 10 + N.
start_entry() {
	cat >"$dir/entry$1.ini" <<-INI
		[entry]
		listen = 127.0.0.1:$((base + 10 + $1))
		cells = $cells
		data_centre = dc-$1
		name = entry-$1
	INI
	start "entry$1" "$bin/gyp-entry" --config "$dir/entry$1.ini"
}

# wait_for URL PATTERN: polls until the answer matches, for about 30 s.
wait_for() {
	local i
	for i in $(seq 1 300); do
		if curl -s --max-time 5 "$1" | grep -q "$2"; then
			return 0
		fi
		sleep 0.1
	done
	fail "no $2 at $1"
}
