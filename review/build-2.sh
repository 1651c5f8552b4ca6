#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review (cases 5 and 6) start. They use none of the project's own.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/5/stand-ins/Cargo.toml --target-dir target/review-2
