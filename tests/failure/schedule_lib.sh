# Functions that draw a schedule of faults from a seed and run it.  Sourced by
# the libraries that inject the faults, which set ALL_KINDS and define
# begin and end.

clock_ms() {
	now=$(now_ms)
	echo "${now%.*}"
}

has() {
	case " $1 " in
	*" $2 "*) return 0 ;;
	esac
	return 1
}

# draw_schedule SEED MS: lines "MS begin|end NUMBER KIND TARGET", by time.
draw_schedule() {
	echo "$ALL_KINDS" | awk -v seed="$1" -v end="$2" \
	    -v only=" ${FAULT_KINDS:-} " '
	# The minimal standard generator: the same numbers in every awk.
	function draw(n) {
		state = (state * 16807) % 2147483647
		return int(state / 2147483647 * n)
	}
	{
		split($0, part, ":")
		if (only ~ /^ *$/ || index(only, " " part[1] " ")) {
			kind[kinds++] = part[1]
			targets[part[1]] = part[2]
		}
	}
	END {
		state = (seed * 7919 + 12345) % 2147483646 + 1
		for (i = 0; i < 8; i++)
			draw(2)
		for (t = draw(500); kinds && t < end; t += 50 + draw(900)) {
			k = kind[draw(kinds)]
			count = split(targets[k], target, ",")
			one = target[draw(count) + 1]
			# Most faults are short, some last up to 5 s.
			ms = 100 + (draw(3) ? draw(1400) : draw(4900))
			number++
			print t, "begin", number, k, one
			print t + ms, "end", number, k, one
		}
	}' | sort -n
}

# run_schedule <SCHEDULE: each line at its time.
run_schedule() {
	start=$(clock_ms)
	while read -r at what number kind one; do
		[ "$at" -le "$((fault_s * 1000))" ] || break
		late=$(($(clock_ms) - start))
		[ "$late" -ge "$at" ] ||
		    sleep "$(awk "BEGIN { print ($at - $late) / 1000 }")"
		"$what" "$number" "$kind" "$one"
		echo "$at $(($(clock_ms) - start)) $what $number $kind $target"
	done
}

