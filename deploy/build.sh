#!/bin/sh
# Installs the pinned libraries and this package under target/deps, where the platform looks.
set -eu
deps=target/deps
stamp=target/requirements.txt
mkdir -p target
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --no-deps --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps/wasabiwick"
cp -R src/wasabiwick "$deps/wasabiwick"
