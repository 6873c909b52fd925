#!/usr/bin/env bash
# Formatter, layer check and linter over every source that git knows or would add.
source "$(dirname "$0")/common.sh"
mapfile -t sources < <(git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.')
clang-format --dry-run -Werror "${sources[@]}"
meta/check_layers.sh
# clang-tidy cannot read the compiler's precompiled header, so its own tree has none.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON > /dev/null
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 3 clang-tidy -p build-lint --quiet 2> /dev/null
echo "lint: ok"
