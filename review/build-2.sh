#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, with no network. Run it after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/programs-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --locked --offline
