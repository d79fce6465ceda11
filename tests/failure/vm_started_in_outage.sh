#!/bin/sh
# A VM starts while the store is down: it learns of the others from the
# platform's list, and gets configuration and assignments from them.
. "$(dirname "$0")/lib.sh"
start_vmlist 2
start_cluster 2 4
event fault ',"kind":"store","on":true'
store_fault '{"kind": "down", "mode": "silent"}'
start_vm 3
wait_for 20 "owner of every slot at v3" all_owned 3
wait_for 10 "answer through v3" serves 3 key
store_fault '{"kind": "clear"}'
event fault ',"kind":"store","on":false'
check_history
