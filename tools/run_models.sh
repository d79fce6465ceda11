#!/bin/sh
# usage: run_models.sh [--large]
# Check the models with spin: every configuration must hold, every goal must
# be reached, and every guard, removed alone, must break an assertion.
# At most MODEL_JOBS (4) run at once.
set -eu
cd "$(dirname "$0")/.."
root=$PWD

# search_for SECONDS OPTIMISATION: build and run pan in this folder
search_for() {
	# shellcheck disable=SC2086 # search and args are lists
	gcc "$2" -w -DSAFETY -DVECTORSZ=2048 $search -o pan pan.c >log 2>&1 ||
	    return 0
	# shellcheck disable=SC2086
	timeout -s INT "$1" ./pan -m200000 $args >>log 2>&1 || :
}

# check MODEL EXPECT CONFIGURATION LABEL FLAGS...: one run, one row
check() {
	model=$1 expect=$2 conf=$3 label=$4
	shift 4
	dir=$work/$model-$conf-$label
	mkdir -p "$dir"
	cd "$dir"
	search="-DCOLLAPSE -DMEMLIM=${MODEL_MB:-1900}" args=
	case $conf in deep*) search="-DBITSTATE" args=-w32 ;; esac
	: >log
	spin "$@" -a "$root/models/$model.pml" >spin.log 2>&1 || :
	# Most removed guards break an assertion at once: optimising the build
	# would then take more time than it saves.
	[ "$label" = - ] || search_for 4 -O0
	grep -q 'assertion violated' log ||
	    search_for "${MODEL_SECONDS:-200}" -O2
	# A search stopped by its time, memory or depth limit is not a proof: its
	# verdict is "partial".
	if grep -q 'assertion violated' log; then
		verdict=broken
	elif ! grep -q 'errors: 0' log; then
		verdict=error
	elif grep -Eiq 'MEMLIM|out of memory|depth too small|interrupted' log
	then
		verdict=partial
	else
		verdict=holds
	fi
	result=failed
	[ "$verdict" != "$expect" ] || result=passed
	case $expect-$verdict-$conf in holds-partial-deep*) result=partial ;; esac
	states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' log)
	depth=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' log)
	took=$(sed -n 's/.*elapsed time \([0-9.]*\) .*/\1/p' log)
	printf '%-7s %-12s %-18s %10s %7s %7s  %-10s %s\n' "$model" "$conf" \
	    "$label" "${states:--}" "${depth:--}" "${took:--}" "$verdict" \
	    "$result" >"$rows/$model-$conf-$label"
	rm -f pan pan.*
}

if [ "${1:-}" = --check ]; then
	shift
	check "$@"
	exit 0
fi

work=$(mktemp -d)
rows=$work/rows
mkdir "$rows"
export work rows
trap 'rm -rf "$work"' EXIT

none='-DVM_CRASHES=0 -DRESTARTS=0 -DNAMES=0 -DDELAYS=0'
# flags CONFIGURATION: prints its flags; of two -D options for the same macro
# the last one takes effect.
flags() {
	case $1 in
	group.late) echo "$none -DDELAYS=1" ;;
	group.late2) echo "$none -DDELAYS=1 -DOUTAGE=2" ;;
	group.late-u) echo "$none -DDELAYS=1 -DCHECKS=0" ;;
	group.crash) echo "$none -DVM_CRASHES=1" ;;
	group.crash-u) echo "$none -DVM_CRASHES=1 -DCHECKS=0" ;;
	group.restart) echo "$none -DRESTARTS=1 -DOUTAGE=2 -DLATE_ACKS=0" ;;
	group.restart-u) echo "$none -DRESTARTS=1 -DCHECKS=0 -DOUTAGE=2" ;;
	group.names) echo "$none -DNAMES=1 -DOUTAGE=2 -DMOVES=0 \
-DLATE_ACKS=0" ;;
	group.names-u) echo "$none -DNAMES=1 -DOUTAGE=2 -DMOVES=0 \
-DLATE_ACKS=0 -DCHECKS=0" ;;
	group.names-late) echo "$none -DNAMES=1 -DDELAYS=1 -DOUTAGE=2 \
-DMOVES=0 -DLATE_ACKS=0" ;;
	group.names-all) echo "$none -DNAMES=1" ;;
	group.three) echo "$none -DNB=3" ;;
	group.zone) echo "$none -DZONE_A=2" ;;
	group.two-faults) echo "$none -DDELAYS=1 -DVM_CRASHES=1" ;;
	group.two-faults-u) echo "$none -DRESTARTS=1 -DVM_CRASHES=1 -DCHECKS=0" ;;
	group.moves) echo "$none -DMAXVER=2" ;;
	group.deep-terms) echo "$none -DMAXTERM=3 -DMAXVER=2 -DNAMES=2" ;;
	group.deep-all) echo "-DSOLO=2 -DOUTAGE=4 -DNAMES=2 -DDELAYS=2" ;;
	group.deep-all-u) echo "-DCHECKS=0 -DSOLO=2 -DOUTAGE=4 -DNAMES=2" ;;
	permit.calls) echo "-DCALLS=3 -DMAXTERM=1 -DVM_CRASHES=0 -DNAMES=0" ;;
	permit.takeover) echo "-DCALLS=2 -DEND=4 -DVM_CRASHES=1" ;;
	permit.takeover-u)
		echo "-DCALLS=2 -DEND=4 -DVM_CRASHES=1 -DCHECKS=0" ;;
	permit.names) echo "-DCALLS=2 -DVM_CRASHES=1 -DNAMES=2 -DSKEW=0 \
-DWORST_SKEW=1 -DEND=3" ;;
	permit.outage) echo "-DCALLS=2 -DVM_CRASHES=0 -DNAMES=1 -DSKEW=0 \
-DWORST_SKEW=1 -DEND=5 -DOUTAGE=3" ;;
	permit.outage-u) echo "-DCALLS=2 -DVM_CRASHES=0 -DNAMES=1 -DSKEW=0 \
-DWORST_SKEW=1 -DEND=5 -DOUTAGE=2 -DCHECKS=0" ;;
	permit.crashes) echo "-DCALLS=2 -DVM_CRASHES=2 -DNAMES=2 -DEND=5" ;;
	permit.deep-all) echo "-DCALLS=3 -DVM_CRASHES=2 -DNAMES=2 -DOUTAGE=2 \
-DEND=7 -DMAXTERM=3" ;;
	esac
}

# MODEL EXPECT CONFIGURATION [GUARD or GOAL]
small='
group holds restart
group holds names
group holds late
group holds late-u
group holds crash
group holds crash-u
group holds restart-u
group holds names-u
group holds three
permit holds calls
permit holds takeover
permit holds takeover-u
permit holds names
permit holds outage
permit holds outage-u
group broken crash GOAL=1
group broken crash GOAL=2
group broken crash GOAL=3
permit broken takeover GOAL=1
permit broken calls GOAL=2
group broken late2 G_FENCE
group broken late2 G_HELLO_FENCES
group broken late2 G_HELLO_FIRST
group broken names-late G_HELLO_CUT
group broken late2 G_LEASE_CLOCK
group broken late2 G_VM_CLOCK
group broken late2 G_ORDER_EXPIRY
group broken late-u G_ORDER_EXPIRY
group broken restart G_INCARNATION
group broken restart G_NEW_INCARNATION
group broken crash G_VM_INCARNATION
group broken late2 G_REVOKE
group broken late2 G_REVOKE_LAST
group broken names G_REPLACE_WAIT
group broken names G_FORMER_DEPUTY
group broken late2 G_LAPSE
group broken late2 G_OWN_ZONE
group broken late-u G_SOLO_CHECKED
group broken late2 G_SOLO_LIMIT
group broken late2 G_SOLO_RENEW
group broken late G_OUTAGE_LIMIT
group broken late G_ACK_AGE
group broken late2 G_CONFIRM_WRITE
group broken late2 G_CONDITIONAL
group broken late2 G_READ_BACK
group broken late2 G_TAKE_STOPS_ACKS
group broken late2 G_TAKE_WAIT
group broken late-u G_TAKE_WAIT
group broken late2 G_WAIT_FROM_EFFECT
group broken late G_THIRD_LIMIT
group broken late-u G_THIRD_LIMIT
group broken crash G_DEATH_LEASE
group broken late2 G_ASK_STANDBY
group broken three G_STANDBY_ONLY
group broken three G_SAME_TARGET
group broken late2 G_TAKE_NEWER
group broken late2 G_THIRD_ASKS
group broken late2 G_ASK_AFTER
group broken crash G_ANSWER_HOLDS
group broken late2 G_ANSWER_DROPS
group broken names-u G_NAME_RECORDS
group broken names G_DEPUTY_ACTIVE
group broken late2 G_RECORD
group broken late2 G_RELEASE
group broken late-u G_RELEASE_LAPSE
group broken late2 G_RELEASE_RAISES
permit broken takeover G_BOTH
permit broken names G_SYNC
permit broken takeover G_HELD_UNKNOWN
permit broken takeover G_ASK_TO_REFUSE
permit broken takeover G_CLOSE
permit broken takeover G_CLOSE_BOTH
permit broken calls G_CLOSE_RENEWS
permit broken calls G_RELEASE_HOLDER
permit broken outage G_CLOSE_FIRST
permit broken outage G_REFUSE_STORE
permit broken takeover G_PERMIT_EXPIRY
permit broken takeover G_AGE
permit broken takeover G_SINCE
permit broken outage G_SINCE_FENCE
permit broken outage-u G_SINCE_FENCE
permit broken takeover G_SKEW
permit broken takeover G_FUTURE
permit broken names G_LEADS
permit broken takeover G_FRESH
'
large='
group holds zone
group holds moves
group holds names-late
group holds names-all
group holds two-faults
group holds two-faults-u
group holds deep-terms
group holds deep-all
group holds deep-all-u
permit holds crashes
permit holds deep-all
'
runs=$small
[ "${1:-}" != --large ] || runs=$large

echo "$runs" | while read -r model expect conf guard; do
	[ -n "$model" ] || continue
	case $guard in
	G_*) extra="-D$guard=0" ;;
	GOAL=*) extra="-D$guard" ;;
	*) extra= ;;
	esac
	echo "$model $expect $conf ${guard:--} $(flags "$model.$conf")${extra:+ $extra}"
done >"$work/list"
xargs -P "${MODEL_JOBS:-4}" -L 1 tools/run_models.sh --check <"$work/list" || :

printf '%-7s %-12s %-18s %10s %7s %7s  %-10s %s\n' model configuration \
    guard states depth seconds verdict result
sort "$rows"/* | tee "$work/table"
passed=$(grep -c 'passed$' "$work/table" || :)
partial=$(grep -c 'partial$' "$work/table" || :)
# A run that wrote no row counts as failed.
failed=$(($(wc -l <"$work/list") - passed - partial))
[ "$partial" -eq 0 ] || echo "$partial partial: no error found, not exhaustive"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
