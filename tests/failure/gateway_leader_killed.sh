# The leader gateway is killed while requests run: its successor renews all
# leases before they expire, so that the other gateways keep serving.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gateway_lib.sh"

start_all 4
old=$(leader)
others=$(echo "$gateways" | sed "s/$old//")
load load 240 "$others" &
loader=$!
sleep 1
eval "kill -KILL \$gw$old"
wait "$loader"
done=$(grep -c '^200$' "$dir/load")
echo "done $done of 240, leader $old, then $(leader)"
[ "$(leader)" != "$old" ] || { echo "no other gateway took over"; exit 1; }
[ "$done" -ge 236 ] || { sort "$dir/load" | uniq -c; exit 1; }
check_platform
