#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/support-3.rs
