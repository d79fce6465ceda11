# Functions that inject and end the faults of gateway_soak.sh.  Sourced after
# gateway_lib.sh.
. "$(dirname "$0")/schedule_lib.sh"

gateways=${SOAK_GATEWAYS:-1 2 3 4}
BACKENDS=6

# Each as KIND:TARGETS; a target is drawn from the list.  Gateways are drawn by
# number, or as the leader at that moment.
g="$(echo "$gateways" | tr ' ' ',')"
ALL_KINDS="kill_gateway:$g,leader,leader
pause_gateway:$g,leader,leader
stop_gateway:$g,leader
kill_all:all
kill_backend:0,1,2,3,4,5
freeze_backend:0,1,2,3,4,5
drain_backend:0,1,2,3,4,5
cut_store:$g,leader,leader
cut_to_store:$g,leader
cut_from_store:$g,leader
cut_backend:0,1,2,3,4,5
cut_to_backend:0,1,2,3,4,5
cut_from_backend:0,1,2,3,4,5
slow_backend:0,1,2,3,4,5
slow_store:$g,leader
silence_store:$g,leader
silence_backend:0,1,2,3,4,5
reset_store:$g,leader
reset_backend:0,1,2,3,4,5
store:busy,silent,lost,slow,late
config:next"
# Drawn only if FAULT_KINDS names it, so that existing seeds keep their
# schedules.
case " ${FAULT_KINDS:-} " in
*" store_back "*) ALL_KINDS="$ALL_KINDS
store_back:500,1500,3000,5000" ;;
esac
# Another writer's entry with the address of a backend server.
case " ${FAULT_KINDS:-} " in
*" foreign "*) ALL_KINDS="$ALL_KINDS
foreign:0,1,2,3,4,5" ;;
esac

# Backend servers that send answers twice, the second time late.  Drawn by
# themselves, with numbers of their own, so that existing seeds keep their
# schedules; if FAULT_KINDS names kinds, only if it names this one.
draw_stutters() {
	case " ${FAULT_KINDS:-stutter_backend} " in
	*" stutter_backend "*) ;;
	*) return ;;
	esac
	(ALL_KINDS="stutter_backend:0,1,2,3,4,5" FAULT_KINDS=
	draw_schedule "$(($1 + 100000))" "$2") | sed 's/\(begin\|end\) /&s/'
}

# Gateways that lose the store and the other gateways and get them back in parts,
# also while they are paused, and a store that goes down at a write that it has
# carried out.
if [ "${SOAK_PARTS:-}" ]; then
	ALL_KINDS="$ALL_KINDS
isolate_gateway:leader,leader,$g
pause_isolated:leader,leader,$g
isolate_leader:leader
pause_isolated_leader:leader
store_dies:dies
lose_backends:all
restart_backend:0,1,2,3,4,5"
	peer_port_of() {
		echo $((base + 450 + $1))
	}
fi

store_port_of() {
	echo $((base + 400 + $1))
}

start_soak_wire() {
	wire=$((base + 95))
	maps=
	for n in $gateways; do
		maps="$maps g$n,store,$(store_port_of "$n"),$store_port"
		[ -z "${SOAK_PARTS:-}" ] ||
			maps="$maps datagrams,g$n,127.0.0.$((10 + n)),$(peer_port_of "$n")"
	done
	n=0
	while [ "$n" -lt "$BACKENDS" ]; do
		maps="$maps any,b$n,$((base + 430 + n)),$((backend_base + n))"
		n=$((n + 1))
	done
	# shellcheck disable=SC2086
	run_wire $maps
}

gateway_address() {
	echo "127.0.0.$((10 + $1)):$((base + 10))"
}

pid_of_gateway() {
	eval "echo \$gw$1"
}

# Callers read from a file for each gateway when a fault affects it: a line
# "SINCE UNTIL" in wall-clock ms, where UNTIL is 0 while the fault lasts.
wall_ms() {
	date +%s%3N
}

note_hit() {
	since=$(wall_ms)
	echo "$since 0" >"$dir/excuses/$1.new"
	mv "$dir/excuses/$1.new" "$dir/excuses/$1"
}

note_healed() {
	read -r since _ <"$dir/excuses/$1"
	echo "$since $(wall_ms)" >"$dir/excuses/$1.new"
	mv "$dir/excuses/$1.new" "$dir/excuses/$1"
}

# state_N of a gateway is up, paused, stopping or down.
gateway_is() {
	eval "[ \"\${state_$1:-up}\" = $2 ]"
}

gateway_alive() {
	kill -0 "$(pid_of_gateway "$1")" 2>/dev/null ||
	    fail "gateway $1 has ended by itself"
}

kill_gateway() {
	gateway_is "$1" down && return
	gateway_is "$1" stopping || gateway_alive "$1"
	note_hit "$1"
	kill -KILL "$(pid_of_gateway "$1")"
	wait "$(pid_of_gateway "$1")" 2>/dev/null
	eval "state_$1=down"
}

start_again() {
	gateway_is "$1" down || return
	start_gateway "$1"
	eval "state_$1=up"
	note_healed "$1"
}

pause_gateway() {
	gateway_is "$1" up || return
	gateway_alive "$1"
	note_hit "$1"
	kill -STOP "$(pid_of_gateway "$1")"
	eval "state_$1=paused"
}

resume_gateway() {
	gateway_is "$1" paused || return
	kill -CONT "$(pid_of_gateway "$1")"
	eval "state_$1=up"
	note_healed "$1"
}

stop_gateway() {
	gateway_is "$1" up || return
	gateway_alive "$1"
	kill -TERM "$(pid_of_gateway "$1")"
	eval "state_$1=stopping stopped_$1=$(wall_ms)"
}

# A gateway that has exited in time is started again.
end_stop_gateway() {
	gateway_is "$1" stopping || return
	eval "at=\$stopped_$1"
	if kill -0 "$(pid_of_gateway "$1")" 2>/dev/null; then
		[ $(($(wall_ms) - at)) -le $((GRACE_S * 1000)) ] ||
		    fail "gateway $1 has not ended within $GRACE_S s"
		return
	fi
	wait "$(pid_of_gateway "$1")"
	status=$?
	[ "$status" -eq 0 ] || fail "gateway $1 ended with $status"
	eval "state_$1=down"
	start_again "$1"
}

# Active faults on connections of the wire proxy, each as NUMBER:PAIR.
cuts= cuts_to= slows=

apply_pairs() {
	all=
	for c in $2; do
		all="$all${all:+,}${c#*:}"
	done
	send_wire_command "{\"$1\": [$all], \"slow_ms\": 150}"
}

without() {
	for c in $2; do
		[ "${c%%:*}" = "$1" ] || printf ' %s' "$c"
	done
}

# The two endpoints of the connection that a fault affects: A and B.
set_endpoints() {
	case $1 in
	*_store) endpoint_a=g$2 endpoint_b=store ;;
	*) endpoint_a=any endpoint_b=b$2 ;;
	esac
}

begin_pair() {
	set_endpoints "$2" "$3"
	case $2 in
	cut_to_*) cuts_to="$cuts_to $1:[\"$endpoint_a\",\"$endpoint_b\"]" ;;
	cut_from_*) cuts_to="$cuts_to $1:[\"$endpoint_b\",\"$endpoint_a\"]" ;;
	cut_*) cuts="$cuts $1:[\"$endpoint_a\",\"$endpoint_b\"]" ;;
	slow_*) slows="$slows $1:[\"$endpoint_a\",\"$endpoint_b\"]" ;;
	silence_*)
		send_wire_command "{\"silence\": [[\"$endpoint_a\",\"$endpoint_b\"]]}"
		;;
	reset_*)
		send_wire_command "{\"reset\": [[\"$endpoint_a\",\"$endpoint_b\"]]}"
		;;
	esac
	apply_all
}

apply_all() {
	apply_pairs cut "$cuts"
	apply_pairs cut_to "$cuts_to"
	apply_pairs slow "$slows"
}

end_pair() {
	cuts=$(without "$1" "$cuts")
	cuts_to=$(without "$1" "$cuts_to")
	slows=$(without "$1" "$slows")
	apply_all
}

# Cuts gateway $2 off from the store and, under another number, from the other
# gateways.
isolate() {
	cuts="$cuts $1s:[\"g$2\",\"store\"]"
	for n in $gateways; do
		[ "$n" = "$2" ] || cuts="$cuts $1p:[\"g$2\",\"g$n\"]"
	done
	apply_all
}

# Numbers of cuts that are ended one at a time, at each following end of a fault.
left=

heal_part() {
	[ "$left" ] || return 0
	part=${left%% *}
	left=${left#"$part"}
	left=${left# }
	end_pair "$part"
}

# heal_in_parts NUMBER: the store first, or the other gateways.
heal_in_parts() {
	if [ $(($1 % 2)) -eq 0 ]; then
		left="$left${left:+ }$1s $1p"
	else
		left="$left${left:+ }$1p $1s"
	fi
}

# Cuts all gateways off from all backend servers, in two halves.
lose_backends() {
	n=0
	while [ "$n" -lt "$BACKENDS" ]; do
		half=s
		[ $((n % 2)) -eq 0 ] || half=p
		cuts="$cuts $1$half:[\"any\",\"b$n\"]"
		n=$((n + 1))
	done
	apply_all
}

version=1

begin() {
	target=$3
	[ "$3" != leader ] || target=$(leader)
	[ "$target" ] || return
	eval "target_$1=$target"
	case $2 in
	kill_gateway) kill_gateway "$target" ;;
	pause_gateway) pause_gateway "$target" ;;
	stop_gateway) stop_gateway "$target" ;;
	kill_all) for n in $gateways; do kill_gateway "$n"; done ;;
	kill_backend) platform_control "/_kill?i=$target" >/dev/null ;;
	freeze_backend) platform_control "/_freeze?i=$target" >/dev/null ;;
	drain_backend) platform_control "/_drain?i=$target" >/dev/null ;;
	store | store_dies)
		platform_control "/_store?mode=$target" >/dev/null
		;;
	isolate_gateway | isolate_leader) isolate "$1" "$target" ;;
	pause_isolated | pause_isolated_leader)
		pause_gateway "$target"
		isolate "$1" "$target"
		;;
	lose_backends) lose_backends "$1" ;;
	restart_backend) platform_control "/_kill?i=$target" >/dev/null ;;
	store_back) platform_control "/_back?ms=$target" >/dev/null ;;
	foreign) platform_control "/_foreign?i=$target" >/dev/null ;;
	stutter_backend)
		platform_control "/_stutter?i=$target&seed=$seed${1#s}" \
		    >/dev/null
		;;
	config)
		version=$((version + 1))
		platform_control "/_config?version=$version" >/dev/null
		;;
	*) begin_pair "$1" "$2" "$target" ;;
	esac
}

end() {
	eval "target=\${target_$1:-}"
	[ "$target" ] || return
	heal_part
	case $2 in
	kill_gateway) start_again "$target" ;;
	pause_gateway) resume_gateway "$target" ;;
	stop_gateway) end_stop_gateway "$target" ;;
	kill_all) for n in $gateways; do start_again "$n"; done ;;
	kill_backend | restart_backend)
		platform_control "/_start?i=$target" >/dev/null
		;;
	isolate_gateway | isolate_leader | lose_backends)
		heal_in_parts "$1"
		heal_part
		;;
	pause_isolated | pause_isolated_leader)
		resume_gateway "$target"
		heal_in_parts "$1"
		;;
	freeze_backend) platform_control "/_thaw?i=$target" >/dev/null ;;
	drain_backend)
		platform_control "/_kill?i=$target" >/dev/null
		platform_control "/_start?i=$target" >/dev/null
		;;
	store | store_dies) platform_control "/_store?mode=up" >/dev/null ;;
	stutter_backend) platform_control "/_steady?i=$target" >/dev/null ;;
	config | store_back | foreign) ;;
	*) end_pair "$1" ;;
	esac
}

heal_all() {
	platform_control "/_store?mode=up" >/dev/null
	cuts= cuts_to= slows= left=
	apply_all
	n=0
	while [ "$n" -lt "$BACKENDS" ]; do
		platform_control "/_thaw?i=$n" >/dev/null
		platform_control "/_steady?i=$n" >/dev/null
		platform_control "/_start?i=$n" >/dev/null
		n=$((n + 1))
	done
	for n in $gateways; do
		resume_gateway "$n"
		start_again "$n"
		while gateway_is "$n" stopping; do
			end_stop_gateway "$n"
			sleep 0.1
		done
	done
}

all_addresses() {
	for n in $gateways; do
		gateway_address "$n"
	done
}
