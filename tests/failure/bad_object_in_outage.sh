#!/bin/sh
# A team's object violates the schema, then the store is down and a VM starts:
# it gets the last valid version from the other VMs.  A VM that was running
# before receives the next valid version when the store is back.
. "$(dirname "$0")/lib.sh"
start_vmlist 2

# overwrite VERSION FILE: replace the team's object.
overwrite() {
	curl -sf -X PUT -H "If-Match: \"$1\"" -H 'X-Writer: script' \
	    --data-binary "@$2" "$(store_url)/v1/objects/teams/t" \
	    >/dev/null || fail "cannot overwrite version $1"
}

start_cluster 2 4
echo '{"services": 7}' >"$dir/bad.json"
overwrite 1 "$dir/bad.json"
sleep 1
event fault ',"kind":"store","on":true'
store_fault '{"kind": "down", "mode": "silent"}'
start_vm 3
wait_for 20 "owner of every slot at v3" all_owned 3
wait_for 10 "answer through v3" serves 3 key
store_fault '{"kind": "clear"}'
event fault ',"kind":"store","on":false'
overwrite 2 "$dir/team.json"
event accept ',"revision":3'
for n in $vms; do
	wait_for 20 "revision 3 at v$n" in_force "$n" 3
done
check_history
