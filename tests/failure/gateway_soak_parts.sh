# As gateway_soak.sh, with more of the faults after which a leader that has been
# replaced does not know it: cuts that heal in parts, also of paused gateways,
# backend servers that restart meanwhile, and writes without an answer.
SOAK_PARTS=1
FAULT_KINDS="isolate_gateway pause_isolated isolate_leader \
pause_isolated_leader lose_backends restart_backend store_dies kill_gateway \
pause_gateway cut_store cut_backend reset_store reset_backend store \
drain_backend stutter_backend"
export SOAK_PARTS FAULT_KINDS
exec sh "$(dirname "$0")/gateway_soak.sh" "$@"
