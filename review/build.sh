#!/bin/sh
# Builds the stand-ins and drivers of all scripts. Needs no network: they have no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --offline --release --manifest-path review/standin/Cargo.toml --target-dir target/review
