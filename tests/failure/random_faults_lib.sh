# Functions that inject and end the faults of random_faults.sh.  Sourced.
. "$(dirname "$0")/schedule_lib.sh"

VMS=5
BACKENDS=7
WIRED="2 4 7" # backend servers that are reached over the wire
UNCHECKED="${UNCHECKED_BACKENDS-3 4 7}" # those that check no fences

# Each as KIND:TARGETS; a target is drawn from the list.  VMs are drawn by
# name, or as the leader or deputy of feed/0 at that moment.
ALL_KINDS="kill_vm:v1,v2,v3,v4,v5,leader,deputy
kill_backend:b1,b2,b3,b4,b5,b6,b7
pause_vm:v1,v2,v3,v4,v5,leader,deputy,leader,deputy
pause_backend:b1,b2,b3,b4,b5,b6,b7
stop_vm:v1,v2,v3,v4,v5,leader,deputy
cut_pair:v1-v2,v1-v3,v1-v4,v1-v5,v2-v3,v2-v4,v2-v5,v3-v4,v3-v5,v4-v5
cut_store:v1,v2,v3,v4,v5,leader,deputy
cut_all:v1,v2,v3,v4,v5,leader,deputy
cut_regions:r2
cut_backend:b2,b4,b7
silence:v1,v2,v3,v4,v5,b2,b4,b7,store
store_down:refuse,close,silent
store_slow:100,500
store_lose_reply:close,silent
store_stale_read:1,3
store_stale_watch:1
edit:b1,b2,b3,b6"

checks_fence() {
	! has "$UNCHECKED" "$1"
}

# team_server NUMBER SERVICE: its entry in a team's object.
team_server() {
	port=$(backend_port "$1")
	! has "$WIRED" "$1" || port=$((base + 450 + $1))
	checks=true
	checks_fence "$1" || checks=false
	cat <<EOT
 "b$1": {"service": "$2", "address": "127.0.0.1", "port": $port,
  "zone": "$(zone "$1")", "region": "$(region "$1")", "slots": 6,
  "connections": 130, "checks_fence": $checks}$3
EOT
}

# Team t: feed (keyed) on b1 to b4 and web (any) on b5; team u: album (keyed)
# on b6 and b7.
write_teams() {
	cat >"$dir/t.json" <<EOT
{"services": {
  "feed": {"service_kind": "keyed", "hash_slots": 32, "deadline_ms": 2000,
    "queue_ms": 1500},
  "web": {"service_kind": "any", "deadline_ms": 2000}},
 "backend_servers": {
$(team_server 1 feed ,) $(team_server 2 feed ,) $(team_server 3 feed ,)
$(team_server 4 feed ,) $(team_server 5 web)}}
EOT
	cat >"$dir/u.json" <<EOT
{"services": {
  "album": {"service_kind": "keyed", "hash_slots": 16, "deadline_ms": 2000,
    "queue_ms": 1500}},
 "backend_servers": {
$(team_server 6 album ,) $(team_server 7 album)}}
EOT
}

launch_backend() {
	options=
	checks_fence "$1" || options=-u
	# shellcheck disable=SC2086
	start_backend "$1" $options
}

# state_NAME is up, down or stopping; paused_NAME is set while it is stopped.
set_state() {
	eval "state_$1=$2"
}

state_is() {
	eval "[ \"\$state_$1\" = $2 ]"
}

start_two_teams() {
	for j in $WIRED; do
		wire_maps="${wire_maps:-} any,b$j,$((base + 450 + j)),$(backend_port "$j")"
	done
	start_wire "$VMS"
	start_store
	j=1
	while [ "$j" -le "$BACKENDS" ]; do
		launch_backend "$j"
		set_state "b$j" up
		j=$((j + 1))
	done
	write_teams
	put_object teams/t "$dir/t.json"
	put_object teams/u "$dir/u.json"
	event accept ',"revision":2'
	j=1
	while [ "$j" -le "$VMS" ]; do
		start_vm "$j"
		set_state "v$j" up
		j=$((j + 1))
	done
	for n in $vms; do
		wait_for 30 "owner of every slot of feed at v$n" all_owned "$n"
		wait_for 30 "owner of every slot of album at v$n" \
		    all_owned "$n" album/0
		wait_for 10 "answer through v$n" serves "$n" key
	done
}

# role leader|deputy: the VM with this role, as reported by the first VM that
# answers.
role() {
	for n in $vms; do
		! state_is "v$n" up || eval "[ \"\${paused_v$n:-}\" ]" ||
		    holder=$(curl_s=0.3 group_field feed/0 "$n" "$1")
		[ -z "${holder:-}" ] || break
	done
	echo "${holder:-}"
}

# resolve NUMBER TARGET: sets target, and records it for the end of the fault.
resolve() {
	target=$2
	case $2 in
	leader | deputy) target=$(role "$2") ;;
	esac
	eval "target_$1=$target"
}

ended() {
	! grep -q '^State:[[:space:]]*[^ZX]' "/proc/$1/status" 2>/dev/null
}

# running NAME: fails the scenario if the process has exited by itself.
running() {
	! ended "$(pid_of "$1")" || fail "$1 ended by itself"
}

all_running() {
	for x in v1 v2 v3 v4 v5 b1 b2 b3 b4 b5 b6 b7; do
		running "$x"
	done
}

kill_one() {
	state_is "$1" down && return
	state_is "$1" stopping || running "$1"
	resume "$1"
	kill_now "$1"
	set_state "$1" down
}

restart_one() {
	state_is "$1" down || return
	wait "$(pid_of "$1")" 2>/dev/null
	case $1 in
	v*) start_vm "${1#v}" ;;
	b*) launch_backend "${1#b}" ;;
	esac
	set_state "$1" up
}

pause() {
	state_is "$1" down && return
	eval "[ \"\${paused_$1:-}\" ]" && return
	state_is "$1" stopping || running "$1"
	freeze "$1"
	eval "paused_$1=1"
}

resume() {
	eval "[ \"\${paused_$1:-}\" ]" || return
	thaw "$1"
	eval "paused_$1="
}

begin_stop() {
	state_is "$1" up || return
	running "$1"
	event stop ",\"vm\":\"$1\""
	kill -TERM "$(pid_of "$1")"
	set_state "$1" stopping
}

# end_stop VM: once its process has ended, a new one takes its place.
end_stop() {
	state_is "$1" stopping && ended "$(pid_of "$1")" || return
	wait "$(pid_of "$1")"
	status=$?
	event stopped ",\"vm\":\"$1\",\"status\":$status"
	[ "$status" -eq 0 ] || fail "$1 ended with $status"
	set_state "$1" down
	restart_one "$1"
}

# pairs_of KIND TARGET: the connections that a cut blocks, as JSON pairs.
pairs_of() {
	case $1 in
	cut_pair) echo "[\"${2%-*}\",\"${2#*-}\"]" ;;
	cut_store) echo "[\"$2\",\"store\"]" ;;
	cut_backend) echo "[\"any\",\"$2\"]" ;;
	cut_regions)
		echo '["v3","store"],["v4","store"]'
		for x in v1 v2 v5; do
			echo ",[\"$x\",\"v3\"],[\"$x\",\"v4\"]"
		done
		;;
	cut_all)
		echo "[\"$2\",\"store\"]"
		for n in $vms; do
			[ "v$n" = "$2" ] || echo ",[\"$2\",\"v$n\"]"
		done
		;;
	esac | tr -d '\n'
}

# Active cuts, each as NUMBER:PAIRS.
cuts=

apply_cuts() {
	all=
	for c in $cuts; do
		all="$all${all:+,}${c#*:}"
	done
	send_wire_command "{\"cut\": [$all]}"
}

begin_cut() {
	event fault ',"kind":"partition","on":true'
	cuts="$cuts $1:$(pairs_of "$2" "$3")"
	apply_cuts
}

end_cut() {
	kept= gone=
	for c in $cuts; do
		if [ "${c%%:*}" = "$1" ]; then
			gone=1
		else
			kept="$kept $c"
		fi
	done
	[ "$gone" ] || return
	cuts=$kept
	apply_cuts
	event fault ',"kind":"partition","on":false'
}

# begin_silence NAME: the current connections of NAME drop all data from now on.
begin_silence() {
	case $1 in
	b*) pairs="[\"any\",\"$1\"]" ;;
	store) pairs='["v1","store"],["v2","store"],["v3","store"]' ;;
	*) pairs=$(pairs_of cut_all "$1") ;;
	esac
	send_wire_command "{\"silence\": [$pairs]}"
}

store_faults=

begin_store() {
	event fault ',"kind":"store","on":true'
	store_faults="$store_faults $1"
	case $2 in
	store_down) f="\"down\", \"mode\": \"$3\"" ;;
	store_slow) f="\"slow\", \"amount\": $3" ;;
	store_lose_reply) f="\"lose-reply\", \"mode\": \"$3\"" ;;
	store_stale_read) f="\"stale-read\", \"amount\": $3" ;;
	store_stale_watch) f='"stale-watch"' ;;
	esac
	store_fault "{\"kind\": $f}"
}

# The stand-in can only end all its faults at once: when the last one ends.
end_store() {
	has "$store_faults" "$1" || return
	left=
	for f in $store_faults; do
		[ "$f" = "$1" ] || left="$left $f"
	done
	store_faults=$left
	[ "$left" ] || store_fault '{"kind": "clear"}'
	event fault ',"kind":"store","on":false'
}

# revision: the sum of the versions of all teams in the store.
revision() {
	sum=0
	for team in t u; do
		v=$(curl -sf -m 1 -o /dev/null -D - \
		    "$(store_url)/v1/objects/teams/$team" | tr -d '\r"' |
		    sed -n 's/^ETag: //p')
		sum=$((sum + ${v:-0}))
	done
	echo "$sum"
}

edit_once() {
	ctl "$@" >/dev/null 2>&1 || return
	at=$(revision)
	event accept ",\"revision\":$at"
}

# Two operators at once each drain and undrain a backend server; the backend
# servers left drained are recorded in the history once all faults have ended.
edit_pids=
begin_edit() {
	for who in 1 2; do
		(
			trap - EXIT TERM
			event_file=operator-$1-$who
			edit_once drain "$2"
			sleep "0.$who"
			edit_once undrain "$2"
			[ "$(($1 % 3))" -ne 0 ] || edit_once drain "$2"
		) &
		edit_pids="$edit_pids $!"
	done
}

# begin|end NUMBER KIND TARGET
begin() {
	resolve "$1" "$3"
	[ "$target" ] || return
	case $2 in
	kill_*) kill_one "$target" ;;
	pause_*) pause "$target" ;;
	stop_vm) begin_stop "$target" ;;
	cut_*) begin_cut "$1" "$2" "$target" ;;
	silence) begin_silence "$target" ;;
	store_*) begin_store "$1" "$2" "$target" ;;
	edit) begin_edit "$1" "$target" ;;
	esac
}

end() {
	eval "target=\$target_$1"
	[ "$target" ] || return
	case $2 in
	kill_*) restart_one "$target" ;;
	pause_*) resume "$target" ;;
	stop_vm) end_stop "$target" ;;
	cut_*) end_cut "$1" ;;
	store_*) end_store "$1" ;;
	esac
}

heal_all() {
	for f in $store_faults; do
		end_store "$f"
	done
	for c in $cuts; do
		end_cut "${c%%:*}"
	done
	for x in b1 b2 b3 b4 b5 b6 b7 v1 v2 v3 v4 v5; do
		resume "$x"
		restart_one "$x"
	done
	for e in $edit_pids; do
		wait "$e"
	done
	for x in v1 v2 v3 v4 v5; do
		! state_is "$x" stopping ||
		    wait_for "$SERVED_AGAIN_S" "end of $x" ended "$(pid_of "$x")"
		end_stop "$x"
	done
	event accept ",\"revision\":$(revision)"
	for team in t u; do
		for x in $(ctl get "$team" | tr -d '\n' | tr '{' '\n' |
		    awk -F'"' '/"drain": *true/ { print last }
			NF > 1 { last = $(NF - 1) }'); do
			echo "left drained: $x"
			event drain ",\"backend\":\"$x\""
		done
	done
}

# The status that each VM reports, for the analysis of a failure.
save_state() {
	for n in $vms; do
		curl -s -m 1 "$(admin_url "$n")/status" >"$dir/v$n.status"
		curl -s -m 1 "$(admin_url "$n")/counters" >"$dir/v$n.counters"
	done
}

all_served() {
	save_state
	all_done feed && all_done album && all_done web
}
