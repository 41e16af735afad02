#!/usr/bin/env bash
# Checks that src/ contains no names of the users' platform, which belong to
# platform/: names.sh TOP
set -eu
cd "$1"
words='/api/(run-|hold|pace|advise|machine|instances|wave-)|task_spec|last_acked|X-Fencing-Token|X-Expected-Instance|heartbeat_url|cloud_api|may_miss|admission_check'
if grep -rnE "$words" src --include='*.c' --include='*.h' --include='*.proto' |
	grep -v '\.pb-c\.'; then
	echo "these belong to platform/"
	exit 1
fi
echo "names: ok"
