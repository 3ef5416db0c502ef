#!/bin/sh
# Builds the stand-ins of the third review. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-3
