#!/bin/sh
# All VMs that run a group's state machine, its leader and deputy among them,
# are killed at once.  The next VMs in hash order take over the group, the other
# VMs learn this by relay, and every key is served again.  The number of VMs
# that run the state machine stays bounded before and after, also once the
# killed VMs are back.
. "$(dirname "$0")/lib.sh"

CANDIDATES=6
# Former leaders and deputies go on running their state machines.
HOSTS_MAX=$((CANDIDATES + 3))

# hosts: numbers of the running VMs that run the state machine of feed/0.
hosts() {
	for n in $alive; do
		curl -sf -m 2 "$(admin_url "$n")/status" |
		    grep -q '"group":"feed/0"[^}]*"hosted":true' && echo "$n"
	done
}

hosts_bounded() {
	count=$(hosts | wc -l)
	[ "$count" -ge "$CANDIDATES" ] && [ "$count" -le "$HOSTS_MAX" ]
}

all_know_leader() {
	for n in $alive; do
		leader_in "$n" && all_owned "$n" || return 1
	done
}

all_serve() {
	for n in $alive; do
		all_owned "$n" || return 1
		serves "$n" key || return 1
		leader_in "$n" || return 1
	done
}

# leader_in VM: succeeds if the leader that VM knows is running.
leader_in() {
	l=$(leader_of feed/0 "$1")
	case "$alive " in
	*" ${l#v} "*) ;;
	*) return 1 ;;
	esac
}

# after WHAT: prints the time since the variable begun was set.
after() {
	awk -v what="$1" -v s="$begun" -v e="$(now_ms)" 'BEGIN {
		printf "%s after %d ms at most\n", what, e - s
	}'
}

start_cluster 14 4
alive=$vms
wait_for 10 "bounded number of hosts" hosts_bounded
lost=$(echo $(hosts))
alive=
for n in $vms; do
	case " $lost " in
	*" $n "*) ;;
	*) alive="$alive $n" ;;
	esac
done
echo "lost: $lost; left:$alive"

all_vms=$vms
vms=$alive
start_load load --rate 100 --concurrency 300 --duration-ms 8000 --retries 3
sleep 1
for n in $lost; do
	kill -STOP "$(pid_of "v$n")"
done
for n in $lost; do
	kill_now "v$n"
done
begun=$(now_ms)
wait_for 20 "leader at every VM left" all_know_leader
after "leader and owners known to every VM"
wait_for 20 "answer through every VM left" all_serve
after "served again through every VM"
end_load
wait_for 10 "bounded number of hosts after the loss" hosts_bounded

for n in $lost; do
	start_vm "$n"
done
vms=$all_vms
alive=$all_vms
wait_for 20 "owner and leader at every VM" all_serve
wait_for 10 "bounded number of hosts after the return" hosts_bounded
check_history
