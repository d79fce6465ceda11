# Writes the demo's sheet with two teams, in the form that planners export.
# Sourced by demo.sh.

# sheet_backend TEAM SERVICE NUMBER SLOTS
sheet_backend() {
	echo "$1,backend_server,b$3,,,,$2,127.0.0.1,$(backend_port "$3"),$(zone "$3"),$(region "$3"),$4,130,true"
}

write_sheet() {
	cat <<'EOF'
revisions,tetradio=0,lantern=0
team,kind,name,service_kind,hash_slots,deadline_ms,service,address,port,zone,region,slots,connections,checks_fence
tetradio,service,feed,keyed,64,2000,,,,,,,,
lantern,service,web,any,,2000,,,,,,,,
EOF
	for i in 1 2 3 4; do
		sheet_backend tetradio feed "$i" 6
	done
	for i in 5 6; do
		sheet_backend lantern web "$i" 3
	done
}
