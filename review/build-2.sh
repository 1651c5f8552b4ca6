#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use none of the project's own.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
