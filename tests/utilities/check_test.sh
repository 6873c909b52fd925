#!/usr/bin/env bash
# Runs lovagecleat-check (first argument) on every case file of the readers (second argument: their folder) and compares
# its exit code and output with the golden files.
set -uo pipefail
check="$1" cases="$2"
failures=0
fail() {
  echo "failed: $*"
  failures=$((failures + 1))
}
for kind in settings configuration; do
  cd "$cases/$kind" || exit 1
  for file in *.json; do
    expected="${file%.json}.expected"
    output=$("$check" "$kind" "$file")
    code=$?
    if [ -s "$expected" ]; then
      [ $code -eq 1 ] || fail "$kind $file: exit code $code, expected 1"
      [ "$output" = "$(cat "$expected")" ] || fail "$kind $file: printed $output"
    else
      [ $code -eq 0 ] || fail "$kind $file: exit code $code, expected 0"
      [ "$output" = "$file: valid" ] || fail "$kind $file: printed $output"
    fi
    valid=$([ -s "$expected" ] && echo false || echo true)
    document=$("$check" "$kind" "$file" --json)
    [[ "$document" == *"\"valid\":$valid"* ]] || fail "$kind $file --json: printed $document"
  done
done
"$check" settings /nonexistent 2> /dev/null
[ $? -eq 2 ] || fail "unreadable file: expected exit code 2"
"$check" colours valid.json 2> /dev/null
[ $? -eq 2 ] || fail "unknown kind of file: expected exit code 2"
"$check" 2> /dev/null
[ $? -eq 2 ] || fail "no operands: expected exit code 2"
"$check" --help > /dev/null || fail "--help: expected exit code 0"
"$check" --version | grep -q '^lovagecleat-check [0-9]' || fail "--version: expected the program and its version"
[ $failures -eq 0 ] && echo "check: ok"
exit $((failures > 0))
