"""Stand-ins for the platform's store and for servers, and the gateway processes of a small deployment on loopback.

The store keeps to the rows calls of the platform's page, servers to its server section. All addresses are in
127.0.0.0/8; every gateway has an address of its own, as every machine has.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVER_ADDRESS = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
# Bounds as on the sheets of the users' smaller deployments.
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 8,
          "lossSlackMs": 200, "convergeMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "retryRatio": 0.2,
          "retryWindowS": 10, "retrySlack": 52, "coldOver": 1.5, "coldSlack": 5, "evacMs": 5000, "recoverS": 12}
LIMITS = {"cpuShare": 0.25, "ramMb": 260, "maxFds": 4100}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


def now():
    return time.monotonic()


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder):
        self.started = now()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now() - self.started:9.3f} {text}\n")

    def finish(self, violations, what):
        """Writes the verdict and returns the exit code."""
        for violation in violations:
            self.write(f"VIOLATION {violation}")
        verdict = f"{len(violations)} violations of {what}; trouble {'on' if TROUBLE else 'off'}"
        self.write(verdict)
        self.file.close()
        print(verdict)
        for violation in violations[:5]:
            print(" ", violation)
        return BROKEN if violations else HELD


async def read_message(reader):
    """Returns the first line, the header fields by lower-case name and the body; None if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
            return lines[0], fields, body
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError):
        return None
    return lines[0], fields, body


def format_request(method, target, host, fields, body=b""):
    head = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def format_response(status, fields, body):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, SERVER_ADDRESS, port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{SERVER_ADDRESS}:{self.port}"

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.handle(reader, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's store: rows in tables with one version counter."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, part, key) to (value or None, version)
        self.version = 0
        self.is_away = False
        self.changed = asyncio.Event()

    def write(self, table, key, value, part=""):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, key):
        if self.rows.get((table, "", key), (None, 0))[0] is not None:
            self.write(table, key, None)

    def go_away(self):
        """Is down: connections are reset and nothing is answered."""
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self):
        self.is_away = False

    async def handle(self, reader, writer):
        while not self.is_away and (request := await read_message(reader)):
            line, _, body = request
            await asyncio.sleep(0.004)
            status, document = await self.answer(line, body)
            if self.is_away:
                return
            writer.write(format_response(status, {"Content-Type": "application/json"}, json.dumps(document).encode()))
            await writer.drain()

    def listed(self, table, after, with_removed, part=None):
        rows = []
        for (name, of_part, key), (value, version) in self.rows.items():
            if name != table or version <= after or (part is not None and part != of_part):
                continue
            if value is None and not with_removed:
                continue
            row = {"table": table, "part": of_part, "key": key, "ver": version}
            row.update({"tombstone": True} if value is None else {"value": base64.b64encode(value).decode()})
            rows.append(row)
        return rows

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        given = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        times = {"nowMs": int(now() * 1000)}
        if method == "POST" and path == "/rows-tx":
            return self.transact(json.loads(body), times)
        if method == "GET" and path == "/rows-get":
            rows = sorted(self.listed(given["table"], 0, False, given.get("part", "")),
                          key=lambda row: row["key"].encode())
            rows = [row for row in rows if given.get("from", "") <= row["key"]]
            if given.get("to"):
                rows = [row for row in rows if row["key"] < given["to"]]
            limit = min(int(given.get("limit") or 500), 500)
            return 200, {"rows": rows[:limit], "morePages": len(rows) > limit, "ver": self.version, **times}
        if method == "GET" and path == "/rows-feed":
            after = int(given["after"])
            if after > self.version:
                return 410, {"ver": self.version, **times}
            end = now() + min(int(given.get("waitMs") or 0), 30000) / 1000
            while not (rows := self.listed(given["table"], after, True)) and now() < end and not self.is_away:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    break
            return 200, {"rows": sorted(rows, key=lambda row: row["ver"]), "ver": self.version,
                         "nowMs": int(now() * 1000)}
        return 404, {}

    def transact(self, call, times):
        for expected in call.get("expect", []):
            row = self.rows.get((expected["table"], expected.get("part", ""), expected["key"]), (None, 0))
            if (row[1] if row[0] is not None else 0) != expected["ver"]:
                return 412, {"rows": [], "ver": self.version, **times}
        changes = call.get("writes", []) + call.get("remove", [])
        if any(row["table"] in ("op", "servers") for row in changes):
            return 403, {}
        for row in call.get("writes", []):
            self.write(row["table"], row["key"], base64.b64decode(row["value"]), row.get("part", ""))
        for row in call.get("remove", []):
            self.write(row["table"], row["key"], None, row.get("part", ""))
        return 200, {"ver": self.version, **times}

    def configure(self, configuration):
        self.write("op", "config", json.dumps(configuration).encode())


class Server(Listener):
    """A server that registers itself in the store; subclasses answer with `serve`."""

    def __init__(self, store, record, service, zone, id=None, version="1", slots=8):
        super().__init__()
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.id = id or f"i-{random.getrandbits(32):08x}"
        self.version = version
        self.slots = slots
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.heartbeats = None

    async def start(self, port=0):
        await super().start(port)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.heartbeats = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self):
        while True:
            self.sequence += 1
            if not self.store.is_away:
                self.store.write("servers", self.id, json.dumps({
                    "service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                    "slots": self.slots, "state": "ready", "warmupMs": 0, "seq": self.sequence,
                    "born": self.born}).encode())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def handle(self, reader, writer):
        while request := await read_message(reader):
            line, fields, body = request
            expected = fields.get("x-lovagecleat-expect-instance")
            if expected and expected != self.id:
                writer.write(format_response(421, self.echo(fields), b""))
                continue
            if not await self.serve(line, fields, body, reader, writer):
                return
            await writer.drain()

    @staticmethod
    def echo(fields):
        id = fields.get("x-lovagecleat-request-id")
        return {"X-Lovagecleat-Request-Id": id} if id else {}

    async def serve(self, line, fields, body, reader, writer):
        raise NotImplementedError

    async def stop(self):
        if self.heartbeats:
            self.heartbeats.cancel()
        await super().stop()


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def fill(template, values):
    """Fills in {{a.b}}, {{a|json}} and {{#a.b}}...{{/a.b}} of the deploy file's settings template."""
    def find(name):
        value = values
        for step in name.split("."):
            value = value[step]
        return value

    def section(match):
        try:
            return match.group(2) if find(match.group(1)) else ""
        except KeyError:
            return ""

    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = find(name)
        return json.dumps(value) if form == "json" or not isinstance(value, (str, int, float)) else str(value)
    template = re.sub(r"{{#([A-Za-z.]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([A-Za-z.|]+)}}", value_of, template)


class Gateway:
    """One machine of the role `gateway`, started with the command and settings template of the deploy file."""

    used_addresses = set()

    def __init__(self, folder, record, name, zone, store_address):
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
        self.command = role["run"].split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is missing: run the build of the deploy file")
        self.template = (ROOT / role["template"]).read_text()
        self.folder = pathlib.Path(folder)
        self.record = record
        self.name = name
        self.zone = zone
        self.store_address = store_address
        while True:
            self.ip = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
            if self.ip not in self.used_addresses:
                break
        self.used_addresses.add(self.ip)
        self.ports = {interface: free_port(self.ip) for interface in ("front", "ready", "control")}
        self.process = None

    @property
    def control(self):
        return f"{self.ip}:{self.ports['control']}"

    def start(self, seeds):
        settings = fill(self.template, {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip, "seedNodes": seeds,
            "listen": {interface: f"{self.ip}:{port}" for interface, port in self.ports.items()},
            "platform": {"address": self.store_address}, "limits": LIMITS, "sloBounds": BOUNDS})
        path = self.folder / f"{self.name}.json"
        path.write_text(settings)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(ROOT / self.command[0]), *self.command[1:]], cwd=ROOT, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL,
                                        env={**environment, "LOVAGECLEAT_BOOT": str(path)})
        log.close()
        self.record.write(f"{self.name} started, callers at {self.ip}:{self.ports['front']}")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.record.write(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def wait_until_ready(self, seconds=15):
        end = now() + seconds
        while now() < end:
            if not self.is_running():
                raise CannotRun(f"{self.name} ended while it started")
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
                writer.write(format_request("GET", "/ready", "ready", {}))
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer and " 200 " in answer[0] + " ":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} isn't ready after {seconds} s")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


def run_case(main, folder):
    """Runs `main`, which returns an exit code, within the time of a case."""
    try:
        return asyncio.run(asyncio.wait_for(main(), 115))
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        return NOT_RUN
    except Exception:
        traceback.print_exc()
        return NOT_RUN
