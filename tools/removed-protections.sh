#!/bin/sh
# Takes one protection against second runs at a time out of a scratch copy of
# HEAD, and prints a table: of how many simulated days a task has two runs at
# the same time then, and which unit tests fail that pass otherwise. Each
# protection is a patch in tools/removed/, whose first line names it. Mixes and
# seeds are fixed. By hand, not in CI.
#
# The exit status is 1 if a patch does not apply or its copy does not build:
# change the patch with the code.
# usage: tools/removed-protections.sh [-d days] [-j copies] [NAME ..]
set -eu
cd "$(dirname "$0")/.."
days=100
copies=2
while getopts d:j: option; do
	case $option in
	d) days=$OPTARG ;;
	j) copies=$OPTARG ;;
	*) exit 2 ;;
	esac
done
shift $((OPTIND - 1))

# One line for each mix: the options of berylrail-sim.
mixes='--mix ABmw
--resend 1000
--resend 1000 --deadline-ms 1500 --task-ms 3600 --mix t
--mix XvdXkAf
--stored 500 --mix ABfsiocB
--resend 1000 --mix exABsAxfv'
tests=$(cd tests && ls test_scheduler*.c test_cells.c test_row_source.c \
    test_pending.c test_job_store.c test_job_gateway.c test_holder_lease.c \
    test_job_service.c 2>/dev/null | sed 's/\.c$//')
all=$(cd tools/removed && ls ./*.patch | sed 's/^\.\///; s/\.patch$//')
names="none ${*:-$all}"
patches=$PWD/tools/removed
commit=$(git rev-parse --short HEAD)

dir=$(mktemp -d)
workers=
finish() {
	for pid in $workers; do
		kill "$pid" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap finish EXIT
trap 'exit 1' INT TERM
mkdir "$dir/results"
export GIT_CEILING_DIRECTORIES="$dir"

# Prints "N" or "N+M": days with two runs, and those that broke another rule.
play() {
	# shellcheck disable=SC2086 # options
	build/berylrail-sim --seed 1 --days "$days" $1 >sim.out 2>&1 || true
	awk -v days="$days" '
	/^seed .* has two runs at the same time/ { twice++ }
	/^days / { played = $2; failed = $4 }
	END {
		if (played != days)
			print "crash"
		else
			print twice + 0 (failed > twice ? "+" failed - twice : "")
	}' sim.out
}

# Prints the cases that fail.
run_unit_test() {
	status=0
	BERYLRAIL_BIN_DIR=build timeout 200 "build/tests/$1" --jobs 1 \
	    >unit.out 2>&1 || status=$?
	sed -n "s/^\[FAIL\] [^ ]*::\([^ :]*\):.*/$1 \1/p" unit.out
	if [ "$status" -ne 0 ] && ! grep -q '^\[FAIL\]' unit.out; then
		echo "$1 (status $status)"
	fi
}

# Builds the copy, and writes what it shows to the results.
measure() {
	result=$dir/results/$1
	# shellcheck disable=SC2086 # names
	if ! cmake --build build -j 1 --target berylrail-sim $tests \
	    >build.out 2>&1; then
		echo "does not build" >"$result.error"
		tail -n 20 build.out >&2
		return
	fi
	printf '%s\n' "$mixes" | while read -r mix; do
		play "$mix"
	done >"$result.days"
	for test in $tests; do
		run_unit_test "$test"
	done | sort -u >"$result.units"
}

# Takes its share of the protections out of a copy of its own.
work() {
	mkdir "$dir/copy$1"
	git archive "$commit" | tar -x -C "$dir/copy$1"
	cd "$dir/copy$1"
	cmake -S . -B build >build.out 2>&1
	n=0
	for name in $names; do
		n=$((n + 1))
		[ $((n % copies + 1)) -eq "$1" ] || continue
		echo "$name" >&2
		if [ "$name" = none ]; then
			measure "$name"
		elif git apply "$patches/$name.patch"; then
			measure "$name"
			git apply -R "$patches/$name.patch"
		else
			echo "the patch does not apply" >"$dir/results/$name.error"
		fi
	done
}

# The cells of a row: days of each mix, and unit tests.
cells() {
	result=$dir/results/$1
	tr '\n' '|' <"$result.days" | sed 's/|/ | /g'
	if [ "$1" = none ]; then
		cat "$result.units" >"$dir/cases"
	else
		comm -23 "$result.units" "$dir/results/none.units" >"$dir/cases"
	fi
	awk '{
		if (NR <= 3)
			text = text (NR > 1 ? ", " : "") "`" $1 "` " $2
	}
	END { print NR == 0 ? "none |" : NR ": " text (NR > 3 ? ", .." : "") " |" }
	' "$dir/cases"
}

for i in $(seq "$copies"); do
	work "$i" &
	workers="$workers $!"
done
for pid in $workers; do
	wait "$pid" || echo "a copy has failed" >&2
done
workers=

status=0
echo "commit $commit, $days days of each mix from seed 1 on:"
echo
printf '| taken out |'
printf '%s\n' "$mixes" | sed 's/.*/ `&` |/' | tr -d '\n'
echo ' unit tests that fail |'
printf '|---|'
printf '%s\n' "$mixes" | sed 's/.*/---|/' | tr -d '\n'
echo '---|'
for name in $names; do
	title=none
	[ "$name" = none ] || title="$(sed q "$patches/$name.patch") (\`$name\`)"
	printf '| %s | ' "$title"
	if [ -f "$dir/results/$name.units" ]; then
		cells "$name"
	else
		echo "$(cat "$dir/results/$name.error" 2>/dev/null || echo "not run") |"
		status=1
	fi
done
exit $status
