#!/bin/sh
# usage: run_random_faults.sh FIRST COUNT SECONDS [BUILD]
# Run tests/failure/random_faults.sh for COUNT seeds from FIRST on, RANDOM_JOBS
# (2) at a time.  Logs of all stay in BUILD/random, with the files of those that
# failed.  The last lines sum up what callers were told.
build=${4:-build}
logs=$build/random
mkdir -p "$logs"

if [ "$1" = --one ]; then
	# One seed, for xargs below.
	SEED=$2 SECONDS_OF_FAULTS=$3 DH_KEEP=1 timeout 240 \
	    sh tests/failure/random_faults.sh "$build" >"$logs/$2.log" 2>&1
	status=$?
	folder=$(sed -n 's/^kept: //p' "$logs/$2.log")
	rm -rf "${logs:?}/$2.files"
	if [ "$status" -eq 0 ]; then
		echo "seed $2: passed"
		rm -rf "$folder"
	else
		echo "seed $2: FAILED: $(grep -aE 'broken [1-9]|^FAILED' \
		    "$logs/$2.log" | tr -s ' ' | paste -sd';' - | cut -c1-200)"
		[ ! -d "$folder" ] || mv "$folder" "$logs/$2.files"
	fi
	exit 0
fi

seq "$1" "$(($1 + $2 - 1))" |
    xargs -P "${RANDOM_JOBS:-2}" -I{} sh "$0" --one {} "$3" "$build" |
    tee "$logs/summary"
failed=$(grep -c FAILED "$logs/summary")
for n in $(seq "$1" "$(($1 + $2 - 1))"); do
	cat "$logs/$n.log"
done | tr -d ',' | awk '/^sent / {
	sent += $2; done_ += $4; not_run += $7; unknown += $9
}
END {
	printf "requests %d, done %d, answers not run %d, unknown %d\n", sent,
	    done_, not_run, unknown
}'
echo "$(($2 - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
