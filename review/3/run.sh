#!/bin/sh
# OWNER: the store returns from a copy that is some seconds old, while the leader
# is cut off from it and from the other gateways.  TROUBLE=0: neither of both; the
# upstream leaves all the same.
# Writes what was sent, answered and run to record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"

store_port() {
	echo $((base + $1))
}

peer_port() {
	echo $((base + 39 + $1))
}

start_standin drill
for g in $gateways; do
	start_gateway "$g"
done
finish
