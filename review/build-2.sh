#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later, with nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/rig review/harness-2/main.rs
