#!/bin/sh
# A VM starts while the store is down: it learns of the others from the
# platform's list, and has configuration and assignments from them.
. "$(dirname "$0")/lib.sh"
vm_settings=", \"vm_list_url\": \"http://127.0.0.1:$((base + 90))\""
cat >"$dir/vms.json" <<EOF
{"version": 1, "vms": [
 {"name": "v1", "address": "127.0.0.1", "state": "live",
  "peer_port": $(($(vm_port 1) + 2))},
 {"name": "v2", "address": "127.0.0.1", "state": "live",
  "peer_port": $(($(vm_port 2) + 2))}]}
EOF
"$build/standin/vmlist" $((base + 90)) "$dir/vms.json" &
pids="$pids $!"
start_cluster 2 4
event fault ',"kind":"store","on":true'
store_fault '{"kind": "down", "mode": "silent"}'
start_vm 3
wait_for 20 "owner of every slot at v3" all_owned 3
wait_for 10 "answer through v3" serves 3 key
store_fault '{"kind": "clear"}'
event fault ',"kind":"store","on":false'
check_history
