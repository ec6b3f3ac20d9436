#!/bin/sh
# Tests which failures tools/check.sh ignores: it is given recorded outputs by a
# stand-in for ctest.
# usage: tests/shell/test_check.sh
set -eu
source=$(cd "$(dirname "$0")/../.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir "$dir/tools" "$dir/bin"
cp "$source/tools/check.sh" "$dir/tools"
log=$dir/build/Testing/Temporary/LastTest.log
failures=0

cat >"$dir/bin/ctest" <<'EOF'
#!/bin/sh
dir=$(dirname "$0")/../build/Testing/Temporary
[ -f "$dir/failed" ] || exit 0
mv "$dir/failed" "$dir/LastTestsFailed.log"
exit 8
EOF
chmod +x "$dir/bin/ctest"
PATH=$dir/bin:$PATH

# A new run of ctest, with the entries of the standard input.
begin() {
	rm -rf "$dir/build"
	mkdir -p "$dir/build/Testing/Temporary"
	cat >"$dir/KNOWN-RED.txt"
}

# Adds a failed test with the output of the standard input.
failed() {
	{
		echo "1/1 Testing: $1"
		echo "1/1 Test: $1"
		echo "Output:"
		cat
		echo "<end of output>"
		echo "Test time =  36.01 sec"
		echo "----------------------------------------------------------"
		echo "Test Failed."
	} >>"$log"
	echo "1:$1" >>"$(dirname "$log")/failed"
}

# Checks the exit status: 0 if all failures are to be ignored.
expect() {
	status=0
	output=$(sh "$dir/tools/check.sh" 2>&1) || status=$?
	if [ "$status" -ne "$1" ]; then
		echo "FAILED: $2: status $status, expected $1"
		printf '%s\n' "$output" | sed 's/^/	/'
		failures=$((failures + 1))
	fi
}

entries() {
	cat <<'EOF'
soak_seed_10 | berylrail-soak --seed 10 | a task was started 3 times; known violations: starts-after-crashes | issue 23
soak_seed_1 | berylrail-soak --seed 1 | a task was started 3 times; known violations: starts-after-crashes | issue 23
soak_seed_1 (seen once; not passed over by CI) | berylrail-soak --seed 1 | "h3 does not have version 9"; known violations: config-behind | issue 18
soak_seed_3 | berylrail-soak --seed 3 | a task was started 3 times | issue 23
soak_seed_30 | berylrail-soak --seed 30 | two runs; known violations: starts-after-crashes, two-runs | issue 23
soak_seed_37 | berylrail-soak --seed 37 | known violations: no-recovery | issue 23
soak_seed_37 | berylrail-soak --seed 37 | known violations: starts-after-crashes | issue 23
test_cells cells::a | no seed | red | issue 1
EOF
}

crashes="1204.118 VIOLATION starts-after-crashes: f000000000000007.0.0 was started 3 times after it had crashed 3 servers (2 at the servers)"
two_runs="1204.118 VIOLATION two-runs: 0000000000000051.0.0 has two runs at the same time (1 at the servers)"
jobs="1204.120 395 jobs: 301 completed, 81 stored, 9 refused, 4 unknown; 21 faults; 1 violations; logs in /tmp/soak-abcdef"
others="start-after-end 0 invalid-spec 0"

known_soak() {
	echo "$crashes"
	echo "$jobs"
	echo "violations by kind: two-runs 0 starts-after-crashes 2 $others"
}

entries | begin
expect 0 "no test fails"

entries | begin
known_soak | failed soak_seed_1
expect 0 "the known kind alone"
[ "${output##*known failure, ignored: soak_seed_1}" != "$output" ] || {
	echo "FAILED: the ignored test is not named"
	failures=$((failures + 1))
}

entries | begin
{
	echo "$two_runs"
	echo "$crashes"
	echo "$jobs"
	echo "violations by kind: two-runs 1 starts-after-crashes 2 $others"
} | failed soak_seed_1
expect 1 "two runs beside the known kind"

entries | begin
{
	echo "$crashes"
	echo "$jobs"
	echo "violations by kind: two-runs 1 starts-after-crashes 2 $others"
} | failed soak_seed_1
expect 1 "two runs that are only counted"

entries | begin
{
	echo "$two_runs"
	known_soak
} | failed soak_seed_1
expect 1 "two runs that are only printed"

entries | begin
{
	echo "$two_runs"
	echo "$jobs"
	echo "violations by kind: two-runs 1 starts-after-crashes 0 $others"
} | failed soak_seed_30
expect 1 "two runs that an entry names"

entries | begin
{
	echo "1180.500 VIOLATION config-behind: h3 does not have version 9"
	echo "$crashes"
	echo "$jobs"
	echo "violations by kind: config-behind 1 two-runs 0 starts-after-crashes 2 $others"
} | failed soak_seed_1
expect 1 "another kind, of an entry that is not ignored"

entries | begin
{
	echo "1180.500 VIOLATION no-recovery: 29 of 40 jobs answered with 200 after the last fault"
	echo "$crashes"
	echo "$jobs"
	echo "violations by kind: no-recovery 1 two-runs 0 starts-after-crashes 2 $others"
} | failed soak_seed_37
expect 0 "two kinds, of two entries"

entries | begin
{
	echo "$crashes"
	echo "$jobs"
	echo "violations by kind: starts-after-crashes 2"
} | failed soak_seed_1
expect 1 "two runs were not counted"

entries | begin
{
	echo "1204.118 VIOLATION at the servers: f000000000000007.0.0 was started 3 times after it had crashed 3 servers (2, 0 of two runs)"
	echo "$jobs"
} | failed soak_seed_1
expect 1 "no kinds were printed"

entries | begin
{
	echo "$crashes"
	echo "$jobs"
} | failed soak_seed_1
expect 1 "it crashed before its last line"

entries | begin
{
	known_soak
	echo "Segmentation fault"
} | failed soak_seed_1
expect 1 "it crashed after its last line"

entries | begin
printf '' | failed soak_seed_1
expect 1 "it printed nothing"

entries | begin
echo "violations by kind: two-runs 0 starts-after-crashes 0 $others" |
    failed soak_seed_1
expect 1 "it failed without a violation"

entries | begin
{
	echo "1180.500 VIOLATION host-ended: h3 has ended by itself, status 134"
	echo "violations by kind: host-ended 1"
} | failed soak_seed_1
expect 1 "a host crashed"

entries | begin
{
	echo "$crashes"
	echo "$jobs"
	echo "1204.130 h3: ==71==ERROR: AddressSanitizer: heap-use-after-free on address 0x6020"
	echo "violations by kind: two-runs 0 starts-after-crashes 2 $others"
} | failed soak_seed_1
expect 1 "a sanitizer reported an error of a host"

entries | begin
{
	known_soak
	echo "==71==ERROR: LeakSanitizer: detected memory leaks"
} | failed soak_seed_1
expect 1 "a sanitizer reported an error of the test"

entries | begin
known_soak | failed soak_seed_3
expect 1 "an entry that names no kind"

entries | begin
known_soak | failed soak_seed_6
expect 1 "a test that is not listed"

entries | begin
known_soak | failed soak_seed_1
known_soak | failed soak_seed_6
expect 1 "a listed test beside one that is not"

entries | begin
known_soak | failed soak_seed_10
known_soak | failed soak_seed_1
expect 0 "two listed tests"

# A program of which some cases are listed.
cases() {
	for case in "$@"; do
		echo "[FAIL] cells::$case: (0.01s)"
	done
}
synthesis() {
	echo "[====] Synthesis: Tested: 9 | Passing: 8 | Failing: 1 | Crashing: $1"
}

entries | begin
{
	cases a
	synthesis 0
} | failed test_cells
expect 0 "the listed case alone"

entries | begin
{
	cases a b
	synthesis 0
} | failed test_cells
expect 1 "another case beside the listed one"

entries | begin
{
	cases a
	synthesis 1
} | failed test_cells
expect 1 "a crash beside the listed case"

entries | begin
{
	cases a
	echo "core/a.c:1:2: runtime error: signed integer overflow"
	synthesis 0
} | failed test_cells
expect 1 "a sanitizer reported an error of the program"

[ "$failures" -eq 0 ] || exit 1
echo "all passed"
