#!/usr/bin/env bash
# Updates the measured tables of a page (docs/MEASURES.md): all policies on the
# same traces, for both workloads of gyp-load (--firm press and strikeline) at
# loads of 1, 2 and 4 times the capacity; then the cost of a decision in
# instructions; then the decisions for workspaces. With SECTION, writes only
# that one of the sections "tables" and "shares".
# usage: measure.sh BIN RULES_DIR PAGE [SECTION]
set -eu
bin=$1
rules=$2
page=$3
section=${4:-all}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
policies="weighted best-fit first-fit least-loaded random"

# replay FIRM TRACE POLICY [ARG...]
replay() {
	local firm=$1 trace=$2 policy=$3
	shift 3
	if [ "$policy" = weighted ]; then
		set -- --rules "$rules/$firm.rules" "$@"
	fi
	"$bin/gyp-replay" --policy "$policy" "$@" "$trace"
}

# summary_row POLICY: prints the policy's row of packing and counts.
summary_row() {
	awk -v policy="$1" '
	{
		for (i = 1; i <= NF; i++) {
			eq = index($i, "=")
			if (eq > 0)
				v[substr($i, 1, eq - 1)] = substr($i, eq + 1)
		}
	}
	END {
		printf "| %s | %.3f | %.3f | %.2f | %d | %d | %d | %d | %d | %.3f |\n",
		    policy, v["cpu"], v["memory"], v["empty"], v["done"],
		    v["failed"], v["not_run"], v["retries"],
		    v["evictions"], v["fairness"]
	}' "$dir/$1.txt"
}

# class_rows POLICY: prints a row of waiting times per class.
class_rows() {
	awk -v policy="$1" '
	/^class=/ {
		for (i = 1; i <= NF; i++) {
			eq = index($i, "=")
			v[substr($i, 1, eq - 1)] = substr($i, eq + 1)
		}
		printf "| %s | %s | %d | %d | %d | %d | %d | %d |\n",
		    v["class"], policy, v["started"], v["not_started"],
		    v["median"], v["p99"], v["p999"], v["worst"]
	}' "$dir/$1.txt"
}

# firm_tables FIRM SCALE SEED BAD_ENDPOINTS: prints the tables of one trace.
firm_tables() {
	local firm=$1 scale=$2 seed=$3 policy
	"$bin/gyp-load" --firm "$firm" --scale "$scale" --seed "$seed" \
	    --seconds $((240 / scale)) --bad-endpoints "$4" >"$dir/trace"
	for policy in $policies; do
		replay "$firm" "$dir/trace" "$policy" --finish-ms 600000 \
		    >"$dir/$policy.txt"
	done
	echo
	echo "### $firm, $scale times what fits, seed $seed, $4 bad endpoints"
	echo
	echo "| policy | packing cpu | packing memory | empty endpoints |" \
	    "done | failed | not run | retries | evictions | fairness |"
	echo "|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|"
	for policy in $policies; do
		summary_row "$policy"
	done
	echo
	echo "| class | policy | tasks started | never started |" \
	    "median ms | p99 | p99.9 | worst |"
	echo "|---|---|---:|---:|---:|---:|---:|---:|"
	for policy in $policies; do
		class_rows "$policy"
	done | sort -t '|' -k 2,2 -s
}

# instructions SEARCH: prints the instructions that callgrind counts in all
# decisions of a replay.
instructions() {
	rm -f "$dir/callgrind.out"
	valgrind --tool=callgrind --callgrind-out-file="$dir/callgrind.out" \
	    "$bin/gyp-replay" --rules "$rules/press.rules" --search "$1" \
	    --finish-ms 0 --counters "$dir/trace" >"$dir/cost.txt" 2>/dev/null
	callgrind_annotate --inclusive=yes "$dir/callgrind.out" |
	    awk '/:gyp_policy_decide / { gsub(",", "", $1); print $1; exit }'
}

cost_table() {
	local n search total
	echo
	echo "### What a decision costs"
	echo
	echo "| endpoints | search | placements | instructions a placement |" \
	    "endpoints looked at for each | packing cpu | worst p99 ms |"
	echo "|---:|---|---:|---:|---:|---:|---:|"
	for n in 48 960 4800; do
		"$bin/gyp-load" --firm press --endpoints "$n" --watchers 48 \
		    --seconds $((n > 100 ? 1 : 24)) \
		    --scale "$(awk -v n="$n" \
			'BEGIN { print (n > 1000 ? 0.25 : 1) }')" >"$dir/trace"
		for search in index linear sample; do
			total=$(instructions "$search")
			awk -v n="$n" -v search="$search" -v total="$total" '
			{
				for (i = 1; i <= NF; i++) {
					eq = index($i, "=")
					if (eq > 0)
						v[substr($i, 1, eq - 1)] = \
						    substr($i, eq + 1)
				}
				if (v["p99"] > worst)
					worst = v["p99"]
			}
			END {
				printf "| %d | %s | %d | %d | %.1f | %.3f | %d |\n",
				    n, search, v["placed"], total / v["placed"],
				    v["looked_at"] / v["placed"], v["cpu"], worst
			}' "$dir/cost.txt"
		done
	done
}

# policy_tables: prints the tables of the policies and of the cost.
policy_tables() {
	local firm scale
	for firm in press strikeline; do
		for scale in 1 2 4; do
			firm_tables "$firm" "$scale" 1 0
		done
		firm_tables "$firm" 1 2 2
	done
	cost_table
}

# write_section NAME COMMAND...: replaces the lines between the marks of the
# section in the page by the output of the command.
write_section() {
	local name=$1
	shift
	if [ "$section" != all ] && [ "$section" != "$name" ]; then
		return
	fi
	{
		"$@"
		echo
	} >"$dir/section.md"
	awk -v file="$dir/section.md" -v name="$name" '
		$0 == "<!-- end of measured " name " -->" { skip = 0 }
		!skip { print }
		$0 == "<!-- measured " name " -->" {
			while ((getline line < file) > 0)
				print line
			skip = 1
		}' "$page" >"$dir/page.md"
	cp "$dir/page.md" "$page"
}

# shares_table: prints the table of the decisions for workspaces.
shares_table() {
	echo
	"$bin/bench-shares"
}

case $section in
all | tables | shares) ;;
*)
	echo "measure.sh: no section $section" >&2
	exit 2
	;;
esac
write_section tables policy_tables
write_section shares shares_table
