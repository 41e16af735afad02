#!/usr/bin/env bash
# Checks that no program but gyp-burn, whose samples have dates, reads the wall
# clock, so that setting the clock changes no decision: wall_clock.sh SRC
set -u
src=$1
calls='gettimeofday|g_get_real_time|g_date_time_new_now|CLOCK_REALTIME'
calls="$calls|[^_a-z]time\(NULL|ev_now\(|ev_time\(|ev_timer|ev_periodic"
if grep -nE "$calls" "$src"/*.c "$src"/*.h | grep -v '/gyp_burn\.c:'; then
	echo "FAIL: the wall clock is read" >&2
	exit 1
fi
echo "wall_clock: ok"
