#!/usr/bin/env bash
# Builds the stand-ins of the second review. They need no packages and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --offline --release --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-standin-2
