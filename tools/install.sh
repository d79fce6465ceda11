#!/bin/sh
# usage: install.sh BUILD PREFIX
# Install the two programs, the library of the decisions (core) with its
# headers and pkg-config file, and the documents.
set -eu
build=$1
prefix=$2
version=$(sed -n 's/^## \([0-9.]*\).*/\1/p' docs/NEWS.md | head -n 1)

install -d "$prefix/bin" "$prefix/lib/pkgconfig" \
    "$prefix/include/dogwoodhub" "$prefix/share/doc/dogwoodhub/examples"
install -m 755 "$build/dogwoodhub" "$build/dogwoodctl" "$prefix/bin"
install -m 644 "$build/libdogwoodhub-core.a" "$prefix/lib"
install -m 644 include/dogwoodhub/*.h "$prefix/include/dogwoodhub"
install -m 644 README.md docs/*.md "$prefix/share/doc/dogwoodhub"
install -m 644 examples/*.c examples/demo/*.json \
    "$prefix/share/doc/dogwoodhub/examples"
# Relative to the file itself: the tree may be moved, or made under DESTDIR.
cat >"$prefix/lib/pkgconfig/dogwoodhub-core.pc" <<EOT
prefix=\${pcfiledir}/../..
Name: dogwoodhub-core
Description: Coordination parts of dogwoodhub, without I/O
Version: $version
Cflags: -I\${prefix}/include
Libs: -L\${prefix}/lib -ldogwoodhub-core -lm
EOT
chmod 644 "$prefix/lib/pkgconfig/dogwoodhub-core.pc"
