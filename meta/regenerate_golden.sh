#!/usr/bin/env bash
# Regenerates the transcripts of the golden sessions; review the difference before committing it.
source "$(dirname "$0")/common.sh"
build_tree build golden_test
LOVAGECLEAT_REGENERATE_GOLDEN=1 build/tests/golden/golden_test
git diff --stat -- tests/golden
