#!/usr/bin/env bash
# Runs lovagecleat-check (first argument) over every case of the readers (folder in the second), and compares its
# exit code and what it prints with the golden files.
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
[ $? -eq 2 ] || fail "a file that cannot be read"
"$check" colours valid.json 2> /dev/null
[ $? -eq 2 ] || fail "an unknown kind"
"$check" 2> /dev/null
[ $? -eq 2 ] || fail "no operands"
"$check" --help > /dev/null || fail "--help"
"$check" --version | grep -q '^lovagecleat-check [0-9]' || fail "--version"
[ $failures -eq 0 ] && echo "check: ok"
exit $((failures > 0))
