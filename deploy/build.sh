#!/bin/sh
# Installs the pinned libraries and this package under target/deps, where the platform looks.
# Nothing is touched that is up to date, so that a build beside a running day does no harm.
set -eu
deps=target/deps
stamp=target/requirements.txt
mkdir -p target
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --no-deps --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
if ! diff -rq -x __pycache__ src/wasabiwick "$deps/wasabiwick" >/dev/null 2>&1; then
    rm -rf "$deps/wasabiwick"
    cp -R src/wasabiwick "$deps/wasabiwick"
fi
