#!/bin/sh
# Builds the stand-ins of cases 11 to 15. Run it from the root of the checkout, after the build of the deploy file.
set -e
mkdir -p target
c++ -std=c++20 -O2 -pthread review/stage-3/main.cpp -o target/review-stage-3
