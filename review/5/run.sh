#!/usr/bin/env bash
# Workers that leave orders unanswered drain. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/common.sh
. "$here/../common.sh" "$here/../bin/case5"
start_deployment
run_case "$here/../bin/case5" "$here/record.txt"
