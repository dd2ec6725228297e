#!/bin/sh
# Builds the stand-ins of the cases. The program itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins.rs
