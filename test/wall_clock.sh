#!/usr/bin/env bash
# Checks that setting the wall clock changes no decision but that flows with
# times are due. gyp-burn, whose samples have dates, reads it; besides, only
# gyp_unix_ms() does, which a cell calls at one place, for
# gyp_replica_set_wall_clock(); and what that sets is not known to the parts that
# agree, count leases and call endpoints: wall_clock.sh SRC
set -u
src=$1
calls='gettimeofday|g_get_real_time|g_date_time_new_now|CLOCK_REALTIME'
calls="$calls|[^_a-z]time\(NULL|ev_now\(|ev_time\(|ev_timer|ev_periodic"
failed=0
fail() {
	echo "FAIL: $*" >&2
	failed=1
}
files=("$src"/*.c "$src"/*.h "$src"/../platform/*.c)
readers=$(grep -nE "$calls" "${files[@]}" | grep -v '/gyp_burn\.c:')
echo "$readers"
[ "$(echo "$readers" | wc -l)" -eq 1 ] &&
	[[ $readers == */timer.c:*CLOCK_REALTIME* ]] ||
	fail "the wall clock is read elsewhere than in gyp_unix_ms()"
callers=$(grep -nE 'gyp_unix_ms\(' "${files[@]}" | grep -vE '/timer\.[ch]:')
echo "$callers"
[ "$(echo "$callers" | wc -l)" -eq 1 ] && [[ $callers == */gyp_cell.c:* ]] ||
	fail "gyp_unix_ms() is called elsewhere than at one place of the cell"
grep -lE 'wall_ms|wall_clock' "$src"/{raft,store,link,lease,fleet,entry,carriers,health,timer}*.c &&
	fail "a part that must not depend on the wall clock knows of it"
[ "$failed" -eq 0 ] && echo "wall_clock: ok"
exit "$failed"
