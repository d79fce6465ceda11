# Functions of the scripts in review/11 to review/15: a small deployment on
# loopback addresses, with one process for the store, each upstream, each client
# and each gateway.  A script sets $here, its folder, $record, the file of what was
# sent, answered and run, and $trouble, and sources this file.

root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
bin=target/review-3
dir=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX") || exit 2
pids=

cannot_run() {
	echo "cannot run: $*"
	exit 2
}

# Ends all processes that the script started, by their ids.
cleanup() {
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	for p in $pids; do
		wait "$p" 2>/dev/null
	done
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

for f in target/dogwoodhub target/standin/wire $bin/store $bin/upstream \
    $bin/client $bin/relay $bin/judge; do
	[ -x "$f" ] || cannot_run "$f is not built"
done
# A block of 100 ports below the ephemeral ones.
base=$((20000 + $$ % 120 * 100))
store_port=$base
upstream_port=$((base + 20))
front_port=$((base + 60))
ready_port=$((base + 61))
: >"$record" || cannot_run "cannot write $record"

now() {
	cut -d' ' -f1 /proc/uptime | tr -d .
}

note() {
	echo "script: $*" >>"$record"
}

# start NAME COMMAND...: runs a command in the background; its pid is in $NAME.
start() {
	name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	eval "$name=$!"
	pids="$pids $!"
}

start_store() {
	start store $bin/store "$store_port" "$record" "$1"
}

# start_upstream I SERVICE SLOTS KEYED [ADVERTISED_PORT ZONE]
start_upstream() {
	i=$1 service=$2 slots=$3 keyed=$4
	shift 4
	start "up$i" $bin/upstream "i-$i" "$service" $((upstream_port + i)) \
	    "$store_port" "$slots" "$keyed" "$record" "$@"
}

# The address at which gateway $1 reaches the store, and its port for peers.
store_port_of() { echo "$store_port"; }
peer_port_of() { echo $((base + 64)); }

# Starts gateway $1 with what platform/settings.template renders to.
start_gateway() {
	cat >"$dir/gw$1.json" <<END
{
	"vm": "front-z1-$1",
	"zone": "z1",
	"region": "r1",
	"zones": "z1=r1,z2=r2",
	"listen_url": "http://127.0.0.$((10 + $1)):$front_port",
	"ready_url": "http://127.0.0.$((10 + $1)):$ready_port",
	"store_url": "http://127.0.0.1:$(store_port_of "$1")",
	"core_share": 0.2,
	"link_mbps": 1000.0,
	"memory_mb": 260,
	"peer_port": $(peer_port_of "$1"),
	"forward_port": $((base + 66)),
	"drain_s": 2,
	"grace_s": 6,
	"hold_max_s": 10,
	"retry_share": 0.2,
	"retry_window_s": 10,
	"retry_slack": 60
}
END
	start "gw$1" target/dogwoodhub --gateway --config "$dir/gw$1.json"
}

# client NAME GATEWAY AFTER_MS COUNT GAP_MS METHOD PATH KEY BYTES DEADLINE_MS
client() {
	n=$1 g=$2
	shift 2
	$bin/client "$n" "127.0.0.$((10 + g))" "$front_port" "$record" "$@" &
	clients="$clients $!"
	pids="$pids $!"
}
clients=

wait_clients() {
	for c in $clients; do
		wait "$c"
	done
	clients=
}

# wait_ready SECONDS GATEWAYS...: until each says that it is ready.
wait_ready() {
	end=$(($(date +%s) + $1))
	shift
	for g in "$@"; do
		until [ "$(curl -s -o /dev/null -m 1 -w '%{http_code}' \
		    "http://127.0.0.$((10 + g)):$ready_port/dogwoodhub/readiness")" = 200 ]; do
			[ "$(date +%s)" -lt "$end" ] ||
				cannot_run "gateway $g is not ready"
			sleep 0.1
		done
	done
}

# wait_served SECONDS GATEWAY METHOD PATH KEYS...: until it serves each key.
wait_served() {
	end=$(($(date +%s) + $1)) g=$2 m=$3 p=$4
	shift 4
	for k in "$@"; do
		i=0
		until [ "$(curl -s -o /dev/null -m 2 -w '%{http_code}' -X "$m" \
		    -H 'Host: h.example' -H 'X-Dogwoodhub-Deadline-Ms: 1000' \
		    -H "X-Dogwoodhub-Request-Id: warm-$g-$k-$i-$$" \
		    -H "X-Dogwoodhub-Shard-Key: $k" \
		    "http://127.0.0.$((10 + g)):$front_port$p")" = 200 ]; do
			i=$((i + 1))
			[ "$(date +%s)" -lt "$end" ] ||
				cannot_run "gateway $g does not serve key $k"
			sleep 0.1
		done
	done
}

# The leader: the gateway that logged the highest term.
leader() {
	best= top=0
	for g in "$@"; do
		t=$(sed -n 's/.*"ev":"leader.elected","term":\([0-9]*\).*/\1/p' \
		    "$dir/gw$g.log" | tail -n 1)
		if [ "${t:-0}" -gt "$top" ]; then
			top=$t best=$g
		fi
	done
	echo "$best"
}

# Appends what the gateways' logs say of some events to the record.
keep_log() {
	for g in $2; do
		grep -E "$1" "$dir/gw$g.log" | cut -c1-400 |
			sed "s/^/gateway $g: /" >>"$record"
	done
}
