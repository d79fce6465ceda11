#!/bin/sh
# usage: control_bytes.sh BUILD [VMS [BACKENDS [SECONDS]]]
# Measures the control traffic of each VM without client requests, from the
# kernel's counters of its connections: orders to backend servers, messages to
# other VMs and calls to the store.  "wire" adds 52 bytes of IP and TCP headers
# for each segment.  Connections closed during the measurement are not counted.
vm_count=${2:-3}
backends=${3:-10}
seconds=${4:-20}
. "$(dirname "$0")/../tests/failure/lib.sh"

# sockets PID: prints kind, connection, bytes and segments sent, then received.
sockets() {
	ss -tinpH state established | awk -v pid="pid=$1," -v base="$base" '
	function field(name,    m) {
		if (!match($0, "[ \t]" name ":[0-9]+")) return 0
		m = substr($0, RSTART, RLENGTH)
		sub(".*:", "", m)
		return m
	}
	/^[^ \t]/ { own = index($0, pid) > 0; mine = $3; other = $4; next }
	own {
		port = other
		sub(".*:", "", port)
		port -= base
		kind = port == 0 ? "store" : port > 100 && port < 200 ? \
		    "orders" : "VMs"
		print kind, mine "-" other, field("bytes_sent"), \
		    field("segs_out"), field("bytes_received"), \
		    field("segs_in")
	}'
}

role() {
	case v$1 in
	"$(leader_of feed/0 "$1")") echo leader ;;
	"$(deputy_of feed/0 "$1")") echo deputy ;;
	*) echo none ;;
	esac
}

start_cluster "$vm_count" "$backends"
sleep 5
for n in $vms; do
	sockets "$(pid_of "v$n")" >"$dir/before.$n"
	now_ms >"$dir/begun.$n"
done
sleep "$seconds"
echo "| VM | role | to | bytes/s out | in | segments/s out | in | wire B/s out | in |"
for n in $vms; do
	sockets "$(pid_of "v$n")" >"$dir/after.$n"
	awk -v vm="v$n" -v role="$(role "$n")" -v begun="$(cat "$dir/begun.$n")" \
	    -v end="$(now_ms)" '
	NR == FNR { for (i = 3; i <= 6; i++) was[$2, i] = $i; next }
	{ for (i = 3; i <= 6; i++) sum[$1, i] += $i - was[$2, i]; kind[$1] }
	END {
		s = (end - begun) / 1000
		for (k in kind) {
			so = sum[k, 3] / s; go = sum[k, 4] / s
			si = sum[k, 5] / s; gi = sum[k, 6] / s
			printf "| %s | %s | %s | %.0f | %.0f | %.1f | %.1f | %.0f | %.0f |\n",
			    vm, role, k, so, si, go, gi, so + 52 * go, si + 52 * gi
		}
	}' "$dir/before.$n" "$dir/after.$n"
done
