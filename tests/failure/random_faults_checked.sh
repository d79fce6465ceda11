#!/bin/sh
# random_faults.sh where all backend servers check fences.
SEED=102
UNCHECKED_BACKENDS=
. "$(dirname "$0")/random_faults.sh"
