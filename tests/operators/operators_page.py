"""Runs every command that docs/OPERATORS.md shows, in its order, against a fresh deployment."""

import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "meta"))

import deployment  # noqa: E402

BASE_PORT = 23000
LEAST_COMMANDS = 14


def commands_of(page):
    """The lines of the page's code blocks."""
    blocks = re.findall(r"^```\n(.*?)^```$", page, re.MULTILINE | re.DOTALL)
    return [line for block in blocks for line in block.splitlines() if line.strip()]


def run(command, variables):
    """One line by a shell, as an operator would."""
    environment = {**os.environ, **variables}
    line = command.replace("build/bin", str(deployment.BINARIES))
    done = subprocess.run(
        ["bash", "-c", line], cwd=ROOT, env=environment, capture_output=True, text=True, timeout=60, check=False
    )
    if done.returncode != 0:
        raise deployment.DeploymentError(f"{command}\nexit code {done.returncode}\n{done.stdout}{done.stderr}")
    return done.stdout


def request_of(command, variables):
    """The id that a call's answer names; the call is repeated as JSON to read it."""
    return json.loads(run(command + " --json", variables))["request"]


def check_audit(command, variables):
    """--until N shows revision N first and no later one."""
    until = int(command.split("--until ")[1].split()[0])
    revisions = [row["revision"] for row in json.loads(run(command + " --json", variables))["changes"]]
    if revisions != list(range(until, 0, -1)):
        raise deployment.DeploymentError(f"{command}: shows revisions {revisions}")


def main():
    commands = commands_of((ROOT / "docs" / "OPERATORS.md").read_text())
    if len(commands) < LEAST_COMMANDS:
        raise deployment.DeploymentError(f"the page shows {len(commands)} commands only")
    with tempfile.TemporaryDirectory(prefix="lovagecleat-operators-") as folder:
        target = pathlib.Path(folder)
        deployment.place(ROOT / "deployments" / "qureshi", target, BASE_PORT)
        one = deployment.Deployment(target)
        try:
            one.start_stand_ins()
            one.start_entries()
            variables = {"HOST": f"{deployment.ADDRESS}:{one.caller_ports[0]}"}
            for command in commands:
                print(f"$ {command}")
                output = run(command, variables)
                if not output.strip():
                    raise deployment.DeploymentError(f"{command}: printed nothing")
                print(output)
                if " replace " in command:
                    for entry in one.entries:
                        one.wait_ready(entry["host"])
                if "--until" in command:
                    check_audit(command, variables)
                if "lovagecleat-call" in command:
                    variables["REQUEST"] = request_of(command, variables)
        finally:
            failures = one.stop()
        if failures:
            raise deployment.DeploymentError("; ".join(failures))
    print("operators' page: ok")


if __name__ == "__main__":
    main()
