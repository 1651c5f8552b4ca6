#!/bin/sh
# Builds the stand-in that review/3/run.sh starts: one source file, the standard library only, no package.
set -eu
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd)
mkdir -p "$root/target/review"
rustc --edition 2021 -O -o "$root/target/review/surplus-failure" "$root/review/3/surplus_failure.rs"
