#!/bin/sh
# The stand-ins are Python files that run with the libraries of the deploy file's build. This checks
# that they and what they import can be loaded.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || sh deploy/build.sh
PYTHONPATH=target/deps:. python3 -B -c 'import review.lab, tests._platform'
