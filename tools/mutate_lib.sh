# What the mutation scripts share; sourced with dir set to their scratch folder.
missed=0 caught=0
rm -rf "$dir"
mkdir -p "$dir/obj"

# compile FILE OBJECT
compile() {
	${CC:-gcc} -std=gnu11 -O2 -w -D_GNU_SOURCE -DXXH_INLINE_ALL -I. \
	    -Iinclude -c -o "$2" "$1"
}

# edit NAME FILE SED: the mutant of FILE of core in dir; false when the edit
# changes nothing, which counts as missed.  Ends the script when the mutant can't
# be made: set -e does not reach a function whose status is asked for.
edit() {
	sed -E "$3" "core/$2" >"$dir/$2" || exit 1
	if cmp -s "core/$2" "$dir/$2"; then
		echo "$1: the edit changes nothing in core/$2"
		missed=$((missed + 1))
		return 1
	fi
	rm -rf "$dir/mutant"
	cp -r "$dir/obj" "$dir/mutant" || exit 1
	compile "$dir/$2" "$dir/mutant/${2%.c}.o" || exit 1
}

# run TEST OTHER ARGS...: whether TEST, linked with the mutant and without
# OTHER's main(), notices it.
run() {
	test=$1 other=$2
	shift 2
	rm -rf "$dir/link"
	cp -r "$dir/mutant" "$dir/link"
	rm "$dir/link/$other.o"
	${CC:-gcc} -o "$dir/$test" "$dir"/link/*.o -lcunit -lm
	! timeout 300 "$dir/$test" "$@" >"$dir/$test.log" 2>&1
}

# summary: fails when something was missed.
summary() {
	echo "$caught caught, $missed missed"
	[ "$missed" -eq 0 ]
}
