#!/bin/sh
# usage: vm_cost.sh BUILD [VMS [RATE]]
# Measures processor time and memory of a VM's process by thread: idle for IDLE_S
# seconds, then under RATE requests a second through v1 for LOAD_S seconds.
vm_count=${2:-3}
rate=${3:-2000}
IDLE_S=15
LOAD_S=15
. "$(dirname "$0")/../tests/failure/lib.sh"

# ticks PID WHICH: clock ticks of the control thread (the first) or the others.
ticks() {
	for t in /proc/"$1"/task/*; do
		tid=${t##*/}
		if [ "$2" = control ]; then
			[ "$tid" = "$1" ] || continue
		else
			[ "$tid" != "$1" ] || continue
		fi
		sed 's/.*) //' "$t/stat"
	done | awk '{ n += $12 + $13 } END { print n + 0 }'
}

rss_kb() {
	sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$1/status"
}

# mark VM: saves the resource use of the VM's process.
mark() {
	pid=$(pid_of "v$1")
	echo "$(ticks "$pid" control) $(ticks "$pid" lanes) $(now_ms)" \
	    >"$dir/mark.v$1"
}

role() {
	case v$1 in
	"$(leader_of feed/0 "$1")") echo leader ;;
	"$(deputy_of feed/0 "$1")") echo deputy ;;
	*) echo none ;;
	esac
}

# since VM LABEL REQUESTS: prints the VM's resource use since the mark.
since() {
	pid=$(pid_of "v$1")
	read -r control_0 lanes_0 begun_ms <"$dir/mark.v$1"
	awk -v label="$2" -v vms="$vm_count" -v hz="$(getconf CLK_TCK)" \
	    -v role="$(role "$1")" \
	    -v c="$(($(ticks "$pid" control) - control_0))" \
	    -v l="$(($(ticks "$pid" lanes) - lanes_0))" \
	    -v t0="$begun_ms" -v t1="$(now_ms)" -v n="$3" \
	    -v rss="$(rss_kb "$pid")" 'BEGIN {
		s = (t1 - t0) / 1000
		printf "| %d | %s | %s | %.2f | %.2f | %s | %.1f |\n", vms,
		    role, label, 100 * c / hz / s, 100 * l / hz / s,
		    (n > 0 ? sprintf("%.0f", 1e6 * l / hz / n) : "-"),
		    rss / 1024
	}'
}

backend_options=${backend_options:-"--service-ms 1 --slots 64"}
start_cluster "$vm_count" 8
sleep 3
for n in $vms; do
	mark "$n"
done
sleep "$IDLE_S"
for n in $vms; do
	since "$n" idle 0
done

all=$vms vms=1
start_load load --rate "$rate" --concurrency 200 \
    --duration-ms $((LOAD_S * 1000))
mark 1
wait "$load_pid"
since 1 "$rate requests/s" $((rate * LOAD_S))
vms=$all
cat "$dir/load.out"
