#!/bin/sh
# usage: zone_frozen.sh BUILD [SETTINGS]
# Measures how long keys are unavailable when the availability zone of a group's
# leader stops responding under load without proof of death: the script stops
# the processes of the zone's VM and backend servers with a signal.  SETTINGS
# are extra fields in each VM's settings, such as ', "support_ms": 230'.
vm_settings=${2:-}
. "$(dirname "$0")/../tests/failure/lib.sh"
start_cluster 4 8
leader=$(leader_of feed/0 1)
all=$vms vms=
for n in $all; do
	[ "v$n" = "$leader" ] || vms="$vms $n"
done
start_load load --rate 300 --concurrency 300 --duration-ms 6000 --retries 3
sleep 1
lost=$(zone "${leader#v}")
freeze "$leader"
for n in 1 2 3 4 5 6 7 8; do
	[ "$(zone "$n")" = "$lost" ] && freeze "b$n"
done
end_load
