#!/bin/sh
# BUDGET: a request that ends each upstream as soon as it begins to run it.
# TROUBLE=0: it does not come.
# Writes what was sent, answered and run to record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
start_standin poison
for g in $gateways; do
	start_gateway "$g"
done
finish
