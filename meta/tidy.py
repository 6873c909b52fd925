#!/usr/bin/env python3
"""Runs clang-tidy over translation units and remembers which of them are clean.

tidy.py TREE UNIT...   lints each unit with the compile commands of the build tree TREE; exits with 1 on findings
LOVAGECLEAT_LINT_JOBS sets how many units are linted at the same time, one for each processor without it.

A clean unit is not linted again while everything that decides the result is the same: the content of the unit and of
each file that it includes, its compile command, .clang-tidy, and the version of clang-tidy, which brings headers of its
own. Results are kept in the folder `lint` of the compiler cache, CCACHE_DIR; without that variable nothing is kept.
"""

import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys
import time

LINTER = "clang-tidy"
CONFIGURATION = ".clang-tidy"
# Results that no run has used for this time are removed.
RETENTION_SECONDS = 30 * 24 * 3600


class LintError(Exception):
    pass


def digest(*parts):
    """Returns a hash of texts or bytes that depends on where each of them ends."""
    result = hashlib.sha256()
    for part in parts:
        data = part if isinstance(part, bytes) else part.encode()
        result.update(f"{len(data)}:".encode())
        result.update(data)
    return result.hexdigest()


@functools.lru_cache(maxsize=None)
def file_digest(path):
    return digest(pathlib.Path(path).read_bytes())


class Linter:
    """Lints units of one build tree."""

    def __init__(self, tree, cache):
        self.tree = tree
        self.cache = cache
        self.root = str(pathlib.Path.cwd())
        commands = json.loads((pathlib.Path(tree) / "compile_commands.json").read_text())
        self.commands = {os.path.relpath(entry["file"], self.root): entry for entry in commands}
        version = subprocess.run([LINTER, "--version"], capture_output=True, text=True, check=True).stdout
        self.shared_key = digest(version, pathlib.Path(CONFIGURATION).read_bytes())

    def without_root(self, text):
        """Lets checkouts in different folders share results."""
        return text.replace(self.root, ".")

    def key_of(self, unit):
        """Returns a name for everything that decides the result of linting the unit; nothing if it can't be told."""
        entry = self.commands[unit]
        command = shlex.split(entry["command"])
        if pathlib.Path(command[0]).name == "ccache":
            command = command[1:]
        preprocess = list(command)
        if "-o" in preprocess:
            at = preprocess.index("-o")
            del preprocess[at:at + 2]
        preprocess = [argument for argument in preprocess if argument != "-c"] + ["-M", "-MT", "unit"]
        result = subprocess.run(preprocess, cwd=entry["directory"], capture_output=True, text=True)
        if result.returncode != 0:
            return None
        files = result.stdout.replace("\\\n", " ").removeprefix("unit:").split()
        included = []
        for name in files:
            path = os.path.realpath(os.path.join(entry["directory"], name))
            included += [self.without_root(path), file_digest(path)]
        return digest(self.shared_key, self.without_root(shlex.join(command)), *included)

    def lint(self, unit):
        """Returns whether the result was known, and what clang-tidy printed about a unit that isn't clean."""
        key = self.key_of(unit) if self.cache else None
        known = self.cache / key if key else None
        if known and known.exists():
            known.touch()
            return True, ""
        result = subprocess.run([LINTER, "-p", self.tree, "--quiet", unit], capture_output=True, text=True)
        if result.returncode != 0:
            return False, result.stdout + result.stderr
        if known:
            known.touch()
        return False, ""


def open_cache():
    folder = os.environ.get("CCACHE_DIR")
    if not folder:
        return None
    cache = pathlib.Path(folder) / "lint"
    cache.mkdir(parents=True, exist_ok=True)
    oldest = time.time() - RETENTION_SECONDS
    for file in cache.iterdir():
        if file.stat().st_mtime < oldest:
            file.unlink(missing_ok=True)
    return cache


def main(arguments):
    if len(arguments) < 2:
        print(__doc__, file=sys.stderr)
        return 2
    tree, units = arguments[0], arguments[1:]
    linter = Linter(tree, open_cache())
    missing = [unit for unit in units if unit not in linter.commands]
    if missing:
        raise LintError(f"{tree} has no compile command for: {', '.join(missing)}")
    jobs = int(os.environ.get("LOVAGECLEAT_LINT_JOBS", os.cpu_count()))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(linter.lint, units))
    findings = [output for _, output in results if output]
    print("".join(findings), end="")
    known = sum(was_known for was_known, _ in results)
    print(f"clang-tidy: {len(units)} units, {known} known to be clean, {len(findings)} with findings")
    return 1 if findings else 0


if __name__ == "__main__":
    try:
        sys.exit(main(sys.argv[1:]))
    except LintError as error:
        sys.exit(f"tidy: {error}")
