#!/bin/sh
# usage: in_force.sh BUILD
# Measures the time from the acceptance of a configuration change until it is
# in force on every VM, for five changes each with 3, 6 and 11 VMs.
for count in 3 6 11; do
	(
		. "$(dirname "$0")/../tests/failure/lib.sh"
		start_cluster "$count" 4 >/dev/null
		change=1
		while [ "$change" -le 5 ]; do
			revision=$((change + 1))
			verb=drain
			[ $((change % 2)) -eq 1 ] || verb=undrain
			ctl "$verb" b1 >/dev/null || fail "$verb"
			accepted=$(now_ms)
			for n in $vms; do
				wait_for 20 "revision $revision at v$n" \
				    in_force "$n" "$revision"
			done
			last=$(cat "$dir"/v*.hist |
			    grep "\"force\",\"revision\":$revision}" |
			    sed 's/{"t":\([0-9.]*\),.*/\1/' | sort -n | tail -n 1)
			echo "$count VMs, change $change: in force everywhere $(echo \
			    "$last $accepted" | awk '{ printf "%.1f", $1 - $2 }') ms after the command ended"
			change=$((change + 1))
		done
	)
done
