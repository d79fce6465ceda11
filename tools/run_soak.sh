#!/bin/sh
# usage: run_soak.sh [-s SCENARIO] FIRST COUNT SECONDS [BUILD]
#        run_soak.sh -k [BUILD]
# Run a scenario of tests/failure that draws its faults from a seed,
# gateway_soak or random_faults, for COUNT seeds from FIRST on, SOAK_JOBS (2)
# at a time.  -k runs the seeds that failed before, tests/failure/soak_seeds.
# Logs of all stay in BUILD/soak, with the files of those that failed.
if [ "${1:-}" = --one ]; then
	# One run, for xargs below: SCENARIO SEED SECONDS BUILD [KINDS...].
	name=$2.$3 seconds=$4 build=$5 seed=$3
	logs=$build/soak
	shift 5
	rm -rf "${logs:?}/$name.files"
	SEED=$seed SECONDS_OF_FAULTS=$seconds FAULT_KINDS="$*" DH_KEEP=1 \
	    timeout 240 sh "tests/failure/${name%%.*}.sh" "$build" \
	    >"$logs/$name.log" 2>&1
	status=$?
	folder=$(sed -n 's/^kept: //p' "$logs/$name.log")
	if [ "$status" -eq 0 ]; then
		echo "$name: passed"
		rm -rf "$folder"
	else
		echo "$name: FAILED ($status): $(grep -aE \
		    'broken [1-9]|^FAILED|^BROKEN' "$logs/$name.log" |
		    tr -s ' ' | paste -sd';' - | cut -c1-200)"
		[ ! -d "$folder" ] || mv "$folder" "$logs/$name.files"
	fi
	exit 0
fi

scenario=gateway_soak kept=
while getopts s:k option; do
	case $option in
	s) scenario=$OPTARG ;;
	k) kept=yes ;;
	*) exit 64 ;;
	esac
done
shift $((OPTIND - 1))

if [ "$kept" ]; then
	build=${1:-build}
	runs=$(sed -n '/^[a-z]/s/ *#.*//p' tests/failure/soak_seeds |
	    while read -r s seed seconds kinds; do
		echo "$s $seed $seconds $build $kinds"
	    done)
else
	build=${4:-build}
	runs=$(seq "$1" "$(($1 + $2 - 1))" |
	    sed "s|.*|$scenario & $3 $build ${FAULT_KINDS:-}|")
fi
logs=$build/soak
mkdir -p "$logs"
echo "$runs" | xargs -P "${SOAK_JOBS:-2}" -I{} sh -c "sh $0 --one {}" |
    tee "$logs/summary"
# The total counts of the answers that callers received.
sed 's/:.*//' "$logs/summary" | while read -r name; do
	cat "$logs/$name.log"
done | tr -d ',' | awk '/^sent / {
	done_ += $4; not_run += $7; unknown += $9
}
/^sum done/ {
	done_ += $3; not_run += $5; unknown += $7; lost += $9
}
END {
	printf "done %d, not run %d, unknown %d, lost %d\n", done_, not_run,
	    unknown, lost
}'
failed=$(grep -c FAILED "$logs/summary")
echo "$(($(wc -l <"$logs/summary") - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
