#!/usr/bin/env bash
# Installs, builds, checks format and lint, runs all tests. This is what CI runs.
source "$(dirname "$0")/common.sh"
install_packages
build_tree build all
meta/lint.sh
build_tree build-sanitize unit_tests -DLOVAGECLEAT_SANITIZE=ON
ctest --test-dir build-sanitize -L unit --output-on-failure -j "$(nproc)" --no-tests=error | tail -n 60
# Faults that are known and not yet mended: their tests are named, not run.
known_red=""
[ ! -f KNOWN-RED.txt ] || known_red=$(sed -n "s/^test: //p" KNOWN-RED.txt | paste -sd "|")
if [ -n "$known_red" ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
fi
ctest --test-dir build ${known_red:+-E "^($known_red)\$"} --output-on-failure -j 4 --no-tests=error
echo "test: ok"
