#!/bin/sh
# A backend server is stopped under load and resumed after its lease has
# expired: its slots were reassigned meanwhile, and it must run no request for
# them.
. "$(dirname "$0")/lib.sh"
start_cluster 3 4
start_load load --rate 300 --concurrency 300 --duration-ms 6000 \
    --unrepeatable 20 --retries 2
sleep 1
freeze b2
sleep 2
thaw b2
end_load
for n in $vms; do
	wait_for 20 "owner of every slot at v$n" all_owned "$n"
done
check_history
