#!/usr/bin/env bash
# Runs the formatter, the layer check and the linter over every source that git tracks or would add.
source "$(dirname "$0")/common.sh"
mapfile -t sources < <(git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.')
clang-format --dry-run -Werror "${sources[@]}"
meta/check_layers.sh
# clang-tidy cannot read GCC's precompiled header, so it uses a build tree without one.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON > /dev/null
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
meta/tidy.py build-lint "${units[@]}"
echo "lint: ok"
