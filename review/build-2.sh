#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need the standard library alone; the program under
# review is the one that the build of the deploy file has left in target/release.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins-2 review/standins-2.rs
rustc --edition 2024 -O -o target/review-2/standins-3 review/standins-3.rs
