#!/bin/sh
# A change is accepted, then the store goes down; a VM that did not watch and
# one that is restarted hold the change all the same, and none goes back.
. "$(dirname "$0")/lib.sh"
start_vmlist 3
start_cluster 3 4
ctl drain b2 >/dev/null || fail drain
event accept ',"revision":2'
event drain ',"backend":"b2"'
for n in $vms; do
	wait_for 20 "revision 2 at v$n" in_force "$n" 2
done
store_fault '{"kind": "down", "mode": "silent"}'
event fault ',"kind":"store","on":true'
kill_now v3
start_vm 3
wait_for 30 "revision 2 at v3 again" in_force 3 2
wait_for 10 "answer through v3" serves 3 key
store_fault '{"kind": "clear"}'
event fault ',"kind":"store","on":false'
check_history
