#!/bin/sh
# A team's object is overwritten by one that violates the schema: the team's
# previous configuration stays in force, also on a VM that starts afterwards.
. "$(dirname "$0")/lib.sh"
start_cluster 2 4
curl -sf -X PUT -H 'If-Match: "1"' -H 'X-Writer: script' -d '{"services": 7}' \
    "$(store_url)/v1/objects/teams/t" >/dev/null || fail "cannot overwrite"
sleep 1
start_vm 3
served_again 20
check_history
