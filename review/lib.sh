# Functions of the review's scripts.  A script sets here to its own folder and
# sources this file.

root=$(cd "$here/../.." && pwd)
bin=$root/review/bin
dir=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX")
pids=
gateways="1 2 3"

# Ends each process that the script started, by its pid.
cleanup() {
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
		wait "$p" 2>/dev/null
	done
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

cannot_run() {
	echo "could not run: $*"
	exit 2
}

# start_standin PROGRAM: starts it as PROGRAM BASE RECORD TROUBLE, on a block of
# ports that is free.  It exits at once with 2 if one of its ports is taken.
start_standin() {
	[ -x "$bin/$1" ] || cannot_run "review/build.sh has not run"
	[ -x "$root/target/dogwoodhub" ] || cannot_run "no target/dogwoodhub"
	k=0
	while [ "$k" -lt 20 ]; do
		base=$((20000 + ($$ + k * 7) % 110 * 100))
		"$bin/$1" "$base" "$here/record.txt" "${TROUBLE:-1}" \
		    >"$dir/standin.log" 2>&1 &
		standin=$!
		sleep 0.5
		if kill -0 "$standin" 2>/dev/null; then
			pids="$pids $standin"
			return
		fi
		k=$((k + 1))
	done
	cat "$dir/standin.log"
	cannot_run "no free block of ports"
}

# Ports by which gateway N reaches the store and the other gateways.  A script
# replaces these functions where its stand-in is the network in between.
store_port() {
	echo "$base"
}

peer_port() {
	echo $((base + 12))
}

# start_gateway N: as the deploy file says, with the settings that
# platform/settings.template renders to on a machine of a small deployment.
start_gateway() {
	cat >"$dir/gw$1.json" <<END
{
	"vm": "front-z1-$1",
	"zone": "z1",
	"region": "r1",
	"zones": "z1=r1",
	"listen_url": "http://127.0.0.$((10 + $1)):$((base + 10))",
	"ready_url": "http://127.0.0.$((10 + $1)):$((base + 11))",
	"store_url": "http://127.0.0.1:$(store_port "$1")",
	"core_share": 0.2,
	"memory_mb": 260,
	"peer_port": $(peer_port "$1"),
	"metrics_port": 0,
	"forward_port": $((base + 13)),
	"drain_s": 2,
	"grace_s": 6,
	"hold_max_s": 10,
	"retry_share": 0.2,
	"retry_window_s": 10,
	"retry_slack": 62
}
END
	(
		cd "$root" || exit 2
		DOGWOODHUB_SETTINGS="$dir/gw$1.json" \
		    exec target/dogwoodhub --gateway
	) >"$dir/gw$1.log" 2>&1 &
	eval "gw$1=$!"
	pids="$pids $!"
}

# finish: waits for the stand-in, which judges, and exits with its status.
finish() {
	wait "$standin"
	status=$?
	cat "$dir/standin.log"
	for g in $gateways; do
		eval "p=\$gw$g"
		kill -0 "$p" 2>/dev/null || echo "gateway $g has ended by itself"
		[ -z "${KEEP_LOGS:-}" ] || cp "$dir/gw$g.log" "$KEEP_LOGS/"
	done
	case $status in
	0 | 1) exit "$status" ;;
	*) cannot_run "the stand-in ended with $status" ;;
	esac
}
