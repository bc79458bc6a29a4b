#!/usr/bin/env bash
# Builds what the scripts of the cases start, into target/review/. Run it after the build of the deploy file; it needs the same packages.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/stage/stage.cpp -o "$out/stage.o"
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "$out/stage.o" -o "$out/case-$number"
done
