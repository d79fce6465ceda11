#!/bin/sh
# ROUTE: a team adds a service and its route and takes them away again, in quick
# succession, and an upstream crashes.  TROUBLE=0: neither of both.
# Writes what was sent, answered and run to record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
start_standin route
for g in $gateways; do
	start_gateway "$g"
done
finish
