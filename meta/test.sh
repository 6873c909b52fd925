#!/usr/bin/env bash
# Installs, builds, checks format and lint, runs all tests. This is what CI runs.
source "$(dirname "$0")/common.sh"
install_packages
build_tree build all
meta/lint.sh
build_tree build-sanitize unit_tests -DLOVAGECLEAT_SANITIZE=ON
ctest --test-dir build-sanitize -L unit --output-on-failure -j "$(nproc)" --no-tests=error | tail -n 60
ctest --test-dir build --output-on-failure -j 4 --no-tests=error
echo "test: ok"
