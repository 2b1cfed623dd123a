#!/bin/sh
# Builds what the scripts of the second review start beside sedgewalld, which
# the build of the deploy file makes. Their stand-ins are Python programs that
# need nothing but the standard library, so that they are only compiled here.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standin_2 5 6 7 8
