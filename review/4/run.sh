#!/usr/bin/env bash
# A job that is accepted, and rejected when the edge machine sends it again after
# a cut. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
# TROUBLE=0: the same without the disruption; the driver reads it.
export TROUBLE="${TROUBLE:-1}"
case $TROUBLE in 0 | 1) ;; *)
	echo "TROUBLE must be 0 or 1" >&2
	exit 2
	;;
esac
ANNOUNCE=yes
# shellcheck source=review/common.sh
. "$here/../common.sh" "$here/../bin/case4"
start_deployment
run_case "$here/../bin/case4" "$here/record.txt"
