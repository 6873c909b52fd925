"""Runs one deployment on this machine: platform and backend stand-ins, entry hosts and command-line tools."""

import json
import os
import pathlib
import random
import re
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARIES = pathlib.Path(os.environ.get("LOVAGECLEAT_BUILD", ROOT / "build")) / "bin"
POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 20
ADDRESS = "127.0.0.1"
OPERATOR = "demo"
FIRST_FREE_PORT = 12000
MAXIMUM_PORT_TRIES = 50


class DeploymentError(Exception):
    """A deployment failed to start, respond or stop."""


def get(port, path, seconds=5):
    """Returns the JSON from a loopback port; None without a complete 200 response, {} if the body is not JSON."""
    try:
        with urllib.request.urlopen(f"http://{ADDRESS}:{port}{path}", timeout=seconds) as response:
            return json.loads(response.read() or b"{}")
    except (urllib.error.URLError, OSError):
        return None
    except ValueError:
        return {}


def post(port, path, body, seconds=5):
    request = urllib.request.Request(
        f"http://{ADDRESS}:{port}{path}",
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=seconds) as response:
        return json.loads(response.read() or b"{}")


def wait_until(condition, description, seconds=START_TIMEOUT_S):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise DeploymentError(f"{description}: condition not met within {seconds} s")
        time.sleep(POLL_INTERVAL_S)


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True


def find_free_offset(ports):
    """Returns an offset at which all of the ports are free, below the range that the kernel gives to connections."""
    end = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    for _ in range(MAXIMUM_PORT_TRIES):
        offset = random.randrange(FIRST_FREE_PORT, end - (max(ports) - min(ports))) - min(ports)
        if all(is_free(port + offset) for port in ports):
            return offset
    raise DeploymentError(f"{len(ports)} neighbouring ports: none free after {MAXIMUM_PORT_TRIES} tries")


def copy_deployment(source, target, base_port=None, entry_settings=None, stand_in_settings=None):
    """Copies a deployment's files and shifts all ports so that they start at base_port; without it, to free ones."""
    original_base_port = int(json.loads((source / "stand_ins.json").read_text())["platform"]["address"].split(":")[1])
    if base_port is None:
        texts = [file.read_text() for file in source.rglob("*.json")]
        ports = {int(port) for text in texts
                 for port in re.findall(rf'(?:{re.escape(ADDRESS)}:|"port": )(\d+)', text)}
        port_offset = find_free_offset(ports)
    else:
        port_offset = base_port - original_base_port

    def shift_port(match):
        return f"{match.group(1)}{int(match.group(2)) + port_offset}"

    for file in sorted(source.rglob("*.json")):
        text = re.sub(rf"({re.escape(ADDRESS)}:)(\d+)", shift_port, file.read_text())
        text = re.sub(r'("port": )(\d+)', shift_port, text)
        document = json.loads(text)
        if file.parent.name == "entry":
            document.update(entry_settings or {})
        if file.name == "stand_ins.json":
            for service, changes in (stand_in_settings or {}).items():
                document["services"][service].update(changes)
        copy = target / file.relative_to(source)
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_text(json.dumps(document, indent=1))


class Deployment:
    """Manages the processes of a copied deployment; as a context manager, stops them on exit."""

    def __init__(self, folder):
        self.folder = folder
        self.inventory = json.loads((folder / "inventory.json").read_text())
        self.entries = [json.loads(file.read_text()) for file in sorted((folder / "entry").glob("*.json"))]
        self.processes = {}
        address = json.loads((folder / "stand_ins.json").read_text())["platform"]["address"]
        self.platform_port = int(address.split(":")[1])

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    @property
    def zones(self):
        return sorted({host["zone"] for host in self.inventory["hosts"]})

    @property
    def caller_ports(self):
        return [entry["callers"]["port"] for entry in self.entries]

    def entry_port(self, host):
        return next(entry["callers"]["port"] for entry in self.entries if entry["host"] == host)

    def start(self):
        self.start_stand_ins()
        self.start_entries()
        self.load_configuration()

    def start_stand_ins(self):
        files = ["--settings", self.folder / "stand_ins.json", "--inventory", self.folder / "inventory.json"]
        self._start("platform", [BINARIES / "stand_in_platform", *files])
        for zone in self.zones:
            self._start(f"backends-{zone}", [BINARIES / "stand_in_backend", *files, "--zone", zone])
        wait_until(lambda: get(self.platform_port, "/v1/inventory") is not None, "platform")
        for server in self.inventory["servers"]:
            port = int(server["address"].split(":")[1])
            wait_until(lambda: get(port, "/v1/load") is not None, server["id"])

    def start_entries(self):
        for entry in self.entries:
            self.start_entry(entry["host"])
        for entry in self.entries:
            wait_until(lambda: get(entry["callers"]["port"], "/livez") is not None, entry["host"])

    def start_entry(self, host):
        settings = self.folder / "entry" / f"{host}.json"
        self._start(host, [BINARIES / "lovagecleat-entry", "--settings", settings])

    def load_configuration(self):
        self.ctl("replace", self.folder / "configuration.json")
        for entry in self.entries:
            self.wait_ready(entry["host"])

    def wait_ready(self, host):
        port = self.entry_port(host)
        wait_until(lambda: get(port, "/readyz") is not None, f"{host} ready")

    def ctl(self, *arguments, port=None):
        """Runs lovagecleat-ctl and returns its output; raises DeploymentError if its exit code is not 0."""
        host = f"{ADDRESS}:{port or self.caller_ports[0]}"
        return run([BINARIES / "lovagecleat-ctl", "--host", host, "--who", OPERATOR, *arguments])

    def set_faults(self, server, **faults):
        address = next(info["address"] for info in self.inventory["servers"] if info["id"] == server)
        post(int(address.split(":")[1]), "/control", faults)

    def records(self):
        """Returns the execution records of each backend server, by server id."""
        result = {}
        for server in self.inventory["servers"]:
            records = get(int(server["address"].split(":")[1]), "/records", seconds=30)
            if records is None:
                raise DeploymentError(f"{server['id']}: no complete 200 response to GET /records")
            result[server["id"]] = records
        return result

    def stop(self):
        """Stops all processes, entry hosts first; returns a message for each that failed or had to be killed."""
        failures = []
        for name, process in reversed(list(self.processes.items())):
            if process.poll() is not None:
                failures.append(f"{name} had already exited with code {process.returncode}")
                continue
            process.terminate()
        for name, process in self.processes.items():
            try:
                if process.wait(timeout=STOP_TIMEOUT_S) != 0:
                    failures.append(f"{name} exited with code {process.returncode}, expected 0")
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                failures.append(f"{name} did not stop within {STOP_TIMEOUT_S} s")
        self.processes = {}
        return failures

    def _start(self, name, command):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(part) for part in command], stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )


def run(command, accepted_codes=(0,)):
    """Runs a command to completion and returns its standard output."""
    completed = subprocess.run([str(part) for part in command], capture_output=True, text=True, timeout=60, check=False)
    if completed.returncode not in accepted_codes:
        raise DeploymentError(
            f"{' '.join(map(str, command))}: exit code {completed.returncode}\n{completed.stdout}{completed.stderr}"
        )
    return completed.stdout
