#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network: all packages are those of the project's
# Cargo.lock.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --offline --locked --target-dir ../../target/review
