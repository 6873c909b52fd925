"""Tests that tidy.py lints a unit again whenever something that decides its result has changed."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parent.parent.parent / "meta" / "tidy.py"
# Finds fault with units that contain "BAD", also in a file that they include, and logs each unit that it lints.
LINTER = """#!/usr/bin/env python3
import pathlib, sys
folder = pathlib.Path(__file__).parent
if sys.argv[1:] == ["--version"]:
    print((folder / "version").read_text())
    sys.exit()
unit = sys.argv[-1]
with open(folder / "log", "a") as log:
    log.write(unit + "\\n")
for file in (unit, "value.h") if unit == "first.cc" else (unit,):
    if "BAD" in pathlib.Path(file).read_text():
        print(f"{file}: error: bad")
        sys.exit(1)
"""


class TidyTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.tools = self.folder / "tools"
        self.tools.mkdir()
        (self.tools / "clang-tidy").write_text(LINTER)
        (self.tools / "clang-tidy").chmod(0o755)
        (self.tools / "version").write_text("1")
        self.root = self.make_checkout("checkout")

    def make_checkout(self, name, options=""):
        root = self.folder / name
        (root / "tree").mkdir(parents=True)
        (root / ".clang-tidy").write_text("Checks: '*'\n")
        (root / "value.h").write_text("inline int Value() { return 1; }\n")
        (root / "first.cc").write_text('#include "value.h"\nint First() { return Value(); }\n')
        (root / "second.cc").write_text("int Second() { return 2; }\n")
        self.write_commands(root, options)
        return root

    def write_commands(self, root, options):
        commands = [
            {"directory": str(root / "tree"), "file": str(root / name),
             "command": f"ccache g++ -I{root} {options} -o {name}.o -c {root / name}"}
            for name in ("first.cc", "second.cc")
        ]
        (root / "tree" / "compile_commands.json").write_text(json.dumps(commands))

    def run_script(self, root=None, keep=True):
        """Runs the script. Returns its result and the units that were linted."""
        log = self.tools / "log"
        log.unlink(missing_ok=True)
        environment = {"PATH": f"{self.tools}:{os.environ['PATH']}"}
        if keep:
            environment["CCACHE_DIR"] = str(self.folder / "cache")
        result = subprocess.run([sys.executable, str(SCRIPT), "tree", "first.cc", "second.cc"], cwd=root or self.root,
                                capture_output=True, text=True, env=environment)
        return result, sorted(log.read_text().split()) if log.exists() else []

    def assert_linted(self, expected, **arguments):
        result, linted = self.run_script(**arguments)
        self.assertEqual(result.returncode, 0, result)
        self.assertEqual(linted, expected)

    def test_clean_units_are_linted_once(self):
        self.assert_linted(["first.cc", "second.cc"])
        self.assert_linted([])

    def test_nothing_is_kept_without_a_cache(self):
        for _ in range(2):
            self.assert_linted(["first.cc", "second.cc"], keep=False)

    def test_another_checkout_shares_results(self):
        self.assert_linted(["first.cc", "second.cc"])
        self.assert_linted([], root=self.make_checkout("other"))

    def test_comment_in_an_included_file(self):
        self.run_script()
        (self.root / "value.h").write_text("inline int Value() { return 1; }  // NOLINT\n")
        self.assert_linted(["first.cc"])

    def test_added_file_that_is_found_first(self):
        self.run_script()
        (self.root / "tree" / "value.h").write_text("inline int Value() { return 2; }\n")
        self.write_commands(self.root, f"-iquote {self.root / 'tree'}")
        (self.root / "first.cc").write_text('#include "value.h"\nint First() { return Value(); }\n')
        _, linted = self.run_script()
        self.assertIn("first.cc", linted)

    def test_compile_options(self):
        self.run_script()
        self.write_commands(self.root, "-DNAME=2")
        self.assert_linted(["first.cc", "second.cc"])

    def test_configuration_and_version_of_the_linter(self):
        self.run_script()
        (self.root / ".clang-tidy").write_text("Checks: '-*'\n")
        self.assert_linted(["first.cc", "second.cc"])
        (self.tools / "version").write_text("2")
        self.assert_linted(["first.cc", "second.cc"])

    def test_findings_are_reported_at_each_run(self):
        (self.root / "value.h").write_text("inline int Value() { return 1; }  // BAD\n")
        for expected in (["first.cc", "second.cc"], ["first.cc"]):
            result, linted = self.run_script()
            self.assertEqual(result.returncode, 1, result)
            self.assertIn("value.h: error: bad", result.stdout)
            self.assertEqual(linted, expected)

    def test_unit_that_cannot_be_preprocessed_is_linted_at_each_run(self):
        (self.root / "second.cc").write_text('#include "missing.h"\n')
        self.run_script()
        self.assert_linted(["second.cc"])

    def test_unit_without_compile_command(self):
        (self.root / "tree" / "compile_commands.json").write_text("[]")
        result, linted = self.run_script()
        self.assertEqual((result.returncode, linted), (1, []))
        self.assertIn("no compile command for: first.cc, second.cc", result.stderr)


if __name__ == "__main__":
    unittest.main()
