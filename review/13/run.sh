#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 plays it without the change of the cap. Exit code: 1 if
# the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
# shellcheck source=review/common-3.sh
. "$(dirname "$0")/../common-3.sh"
log_events='workspace|run-ended'
start_system
run_case quota
exit "$code"
