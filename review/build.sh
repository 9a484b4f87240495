#!/bin/sh
# Builds the project's stand-ins that the scripts of the cases start, into build-review/bin/.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build build-review -j8 --target standin_store standin_backend standin_relay
