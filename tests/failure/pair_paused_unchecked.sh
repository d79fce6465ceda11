#!/bin/sh
# Leader and deputy are both paused until a third VM has become leader, then
# resumed; no backend server checks fences.
. "$(dirname "$0")/lib.sh"
checks_fence=false
backend_options=-u
start_cluster 4 4
leader=$(leader_of feed/0 1)
deputy=$(deputy_of feed/0 1)
for n in $vms; do
	case v$n in
	"$leader" | "$deputy") ;;
	*) other=$n ;;
	esac
done
freeze "$leader"
freeze "$deputy"
wait_for 20 "successor to $leader" leader_is_not feed/0 "$other" "$leader"
thaw "$leader"
thaw "$deputy"
wait_for 30 "answer to every request" all_done feed
check_history
