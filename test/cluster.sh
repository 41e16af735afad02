# Functions that start the real programs on loopback. A test script sources
# this file after setting $bin to the directory of the programs. All processes
# are killed on exit.
# shellcheck shell=bash
dir=$(mktemp -d)
# shellcheck source=test/ports.sh
. "$(dirname "${BASH_SOURCE[0]}")/ports.sh"
cells=127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2)),127.0.0.1:$((base + 3))
declare -A pids

# Kills all processes and removes their files; stopped ones are continued first.
stop_all() {
	local name
	for name in "${!pids[@]}"; do
		kill -CONT "${pids[$name]}" 2>/dev/null || true
		kill -KILL "${pids[$name]}" 2>/dev/null || true
		wait "${pids[$name]}" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap stop_all EXIT

fail() {
	echo "FAIL: $*" >&2
	tail -n 15 "$dir"/*.log >&2
	exit 1
}

# start NAME COMMAND...: runs COMMAND in the background; it logs to NAME.log.
start() {
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	pids[$name]=$!
}

# kill_one NAME SIGNAL: sends the signal and waits until the process exits.
kill_one() {
	kill "-$2" "${pids[$1]}"
	wait "${pids[$1]}" 2>/dev/null || true
	unset "pids[$1]"
}

metrics_address() {
	echo "127.0.0.1:$((base + 30 + $1))"
}

# start_cell N OPTION...: starts replica N; $cell_settings may hold more
# settings.
start_cell() {
	local n=$1
	shift
	cat >"$dir/cell$n.ini" <<INI
[cell]
listen = 127.0.0.1:$((base + n))
join = $cells
data_folder = $dir/cell$n
data_centre = dc-$n
name = cell-$n
compact = 64KiB
${cell_settings:-}
metrics = $(metrics_address "$n")
INI
	start "cell$n" "$bin/gyp-cell" --config "$dir/cell$n.ini" "$@"
}

entry_address() {
	echo "127.0.0.1:$((base + 10 + $1))"
}

start_entry() {
	cat >"$dir/entry$1.ini" <<INI
[entry]
listen = $(entry_address "$1")
cells = $cells
data_centre = dc-$1
name = entry-$1
INI
	start "entry$1" "$bin/gyp-entry" --config "$dir/entry$1.ini"
}

# start_endpoint N ENTRIES: starts an endpoint that calls these entries.
start_endpoint() {
	start "endpoint$1" "$bin/gyp-endpoint" --name "vm-$1" \
	    --listen "127.0.0.1:$((base + 20 + $1))" --entries "$2" \
	    --rack "rack-$1" --data-centre "dc-$1"
}

# ctl N ARGUMENTS...: runs gypctl through entry N.
ctl() {
	local n=$1
	shift
	"$bin/gypctl" --entry "$(entry_address "$n")" "$@"
}

# until_true COMMAND...: repeats COMMAND until it succeeds, for at most a
# minute.
until_true() {
	local i
	for i in $(seq 1 600); do
		if "$@" >"$dir/last" 2>&1; then
			return 0
		fi
		sleep 0.1
	done
	fail "did not succeed within a minute: $*: $(cat "$dir/last")"
}
