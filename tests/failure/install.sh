#!/bin/sh
# The project is installed into an empty folder; the example compiles with
# pkg-config against only the installed files and runs; the programs start.
. "$(dirname "$0")/lib.sh"
build_name=$(basename "$build")
san=
case $build_name in
build-*) san=$(echo "${build_name#build-}" | tr - ,) ;;
esac
prefix=$dir/usr
make -s install PREFIX="$prefix" SAN="$san" >"$dir/install.out" 2>&1 ||
    fail "make install: $(cat "$dir/install.out")"

PKG_CONFIG_PATH=$prefix/lib/pkgconfig
export PKG_CONFIG_PATH
flags=$(pkg-config --cflags --libs dogwoodhub-core) || fail "pkg-config"
[ "$(pkg-config --modversion dogwoodhub-core)" ] || fail "no version"
cp "$prefix/share/doc/dogwoodhub/examples/embed.c" "$dir"
# shellcheck disable=SC2086
(cd "$dir" && "${CC:-cc}" -std=gnu11 -Wall -Werror ${san:+-fsanitize=$san} \
    -o embed embed.c $flags) || fail "the example does not compile"
"$dir/embed" >"$dir/embed.out" || fail "the example: $(cat "$dir/embed.out")"
grep -q 'VM 2 leads term 2' "$dir/embed.out" || fail "no second term"

# Each installed header compiles by itself.
for h in "$prefix"/include/dogwoodhub/*.h; do
	echo "#include <dogwoodhub/${h##*/}>" >"$dir/alone.c"
	# shellcheck disable=SC2086
	"${CC:-cc}" -std=gnu11 -Wall -Werror -c -o "$dir/alone.o" \
	    "$dir/alone.c" $flags || fail "header ${h##*/}"
done
for program in dogwoodhub dogwoodctl; do
	"$prefix/bin/$program" --help >/dev/null || fail "$program"
done
