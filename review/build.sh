#!/bin/sh
# Builds the test program of each case, which contains the stand-ins, with rustc and the standard library alone.
# The project's own programs come from the `build` command of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*; do
    rustc --edition 2021 -O -o "bin/case-$case" "$case/case.rs"
done
