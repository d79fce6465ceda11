#!/bin/sh
# dogwoodctl report and status over running VMs: the counts of every VM are in
# the report, as text, JSON and one page of HTML.
. "$(dirname "$0")/lib.sh"
start_cluster 2 4
start_load load --rate 200 --concurrency 200 --duration-ms 3000
ctl report --rounds 2 --interval-s 1 >"$dir/report.txt" ||
    fail "report: $(cat "$dir/report.txt")"
grep -q feed "$dir/report.txt" || fail "no feed: $(cat "$dir/report.txt")"
ctl --json report --rounds 2 --interval-s 1 >"$dir/report.json" ||
    fail "json report"
grep -q '"name":"feed".*"total":[1-9]' "$dir/report.json" ||
    fail "json: $(cat "$dir/report.json")"
ctl report --rounds 2 --interval-s 1 --html >"$dir/report.html" ||
    fail "html report"
grep -q '<svg' "$dir/report.html" || fail "no plot"
end_load
ctl --json status >"$dir/status.json" || fail "status"
cat "$dir/report.txt"
check_history
