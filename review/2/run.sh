#!/bin/sh
# OWNER: another writer's entry has the address of an upstream that holds keys.
# TROUBLE=0: without that entry.
# Writes what was sent, answered and run to record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
start_standin foreign
for g in $gateways; do
	start_gateway "$g"
done
finish
