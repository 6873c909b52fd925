"""Runs every command of docs/OPERATORS.md, in the order of the page, against a newly started deployment."""

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

MINIMUM_COMMANDS = 14


def commands_of(page):
    """Returns the lines of the page's code blocks."""
    blocks = re.findall(r"^```\n(.*?)^```$", page, re.MULTILINE | re.DOTALL)
    return [line for block in blocks for line in block.splitlines() if line.strip()]


def run(command, variables):
    """Runs one line of the page in a shell and returns its standard output."""
    environment = {**os.environ, **variables}
    line = command.replace("build/bin", str(deployment.BINARIES))
    completed = subprocess.run(
        ["bash", "-c", line], cwd=ROOT, env=environment, capture_output=True, text=True, timeout=60, check=False
    )
    if completed.returncode != 0:
        raise deployment.DeploymentError(f"{command}\nexit code {completed.returncode}\n{completed.stdout}{completed.stderr}")
    return completed.stdout


def request_id_of(command, variables):
    """Repeats a call with --json and returns the request id of its answer."""
    return json.loads(run(command + " --json", variables))["request"]


def check_audit(command, variables):
    """Checks that audit --until N shows the revisions from N down to 1."""
    until = int(command.split("--until ")[1].split()[0])
    revisions = [row["revision"] for row in json.loads(run(command + " --json", variables))["changes"]]
    if revisions != list(range(until, 0, -1)):
        raise deployment.DeploymentError(f"{command}: shows revisions {revisions}, expected {until} down to 1")


def main():
    commands = commands_of((ROOT / "docs" / "OPERATORS.md").read_text())
    if len(commands) < MINIMUM_COMMANDS:
        raise deployment.DeploymentError(f"the page shows {len(commands)} commands, expected at least {MINIMUM_COMMANDS}")
    with tempfile.TemporaryDirectory(prefix="lovagecleat-operators-") as folder:
        target = pathlib.Path(folder)
        deployment.copy_deployment(ROOT / "deployments" / "qureshi", target)
        cluster = deployment.Deployment(target)
        try:
            cluster.start_stand_ins()
            cluster.start_entries()
            variables = {"HOST": f"{deployment.ADDRESS}:{cluster.caller_ports[0]}"}
            for command in commands:
                print(f"$ {command}")
                output = run(command, variables)
                if not output.strip():
                    raise deployment.DeploymentError(f"{command}: empty standard output")
                print(output)
                if " replace " in command:
                    for entry in cluster.entries:
                        cluster.wait_ready(entry["host"])
                if "--until" in command:
                    check_audit(command, variables)
                if "lovagecleat-call" in command:
                    variables["REQUEST"] = request_id_of(command, variables)
        finally:
            failures = cluster.stop()
        if failures:
            raise deployment.DeploymentError("; ".join(failures))
    print("operators' page: ok")


if __name__ == "__main__":
    main()
