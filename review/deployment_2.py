"""A small deployment for the scripts of the second review: gateways, and stand-ins for store, servers and clients.

The gateways are the project's own program with the command and the settings template of the deploy file. The stand-ins
do what PROTOCOL.md says and nothing else; all of them listen on loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_SECONDS = 1.2
API_KEY = "9dnn2ctnfzs989anu6ws"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def now():
    return time.monotonic()


def free_port():
    with socket.socket() as probe:
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]


class Log:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.begin = now()

    def __call__(self, text):
        line = f"{now() - self.begin:8.3f} s  {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


async def read_message(reader):
    """Returns first line, fields by lower-case name and body of a message with a length; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    return lines[0], fields, body


def format_response(status, fields, body=b""):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Ends a connection by a reset; transport.abort alone ends it like any other close."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Listener:
    """Accepts connections on a loopback port; subclasses implement `handle`."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, ADDRESS, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

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
        """Ends as a process that exits: its connections end, also in the middle of an answer."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's store: tables of rows with one version counter."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, part, key) to (value or None, version)
        self.version = 0
        self.changed = None

    async def start(self, port=0):
        self.changed = asyncio.Event()
        await super().start(port)

    def write(self, table, key, value, part=""):
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, key, part=""):
        if self.rows.get((table, part, key), (None, 0))[0] is not None:
            self.write(table, key, None, part)

    def answer(self, status, document):
        return format_response(status, {"Content-Type": "application/json"}, json.dumps(document).encode())

    def status(self):
        return {"ver": self.version, "nowMs": int(now() * 1000)}

    def select(self, table, after=0, with_removed=False, part=None):
        rows = []
        for (name, row_part, key), (value, version) in sorted(self.rows.items(), key=lambda item: item[1][1]):
            if name != table or version <= after or (value is None and not with_removed):
                continue
            if part is not None and row_part != part:
                continue
            row = {"table": name, "part": row_part, "key": key, "ver": version}
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = base64.b64encode(value.encode()).decode()
            rows.append(row)
        return rows

    async def handle(self, reader, writer):
        while request := await read_message(reader):
            line, _, body = request
            await asyncio.sleep(0.004)
            writer.write(await self.respond(line, body))
            await writer.drain()

    async def respond(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx":
            transaction = json.loads(body)
            for row in transaction["expect"]:
                value, version = self.rows.get((row["table"], row["part"], row["key"]), (None, 0))
                if (version if value is not None else 0) != row["ver"]:
                    return self.answer(412, {"rows": [], **self.status()})
            if any(row["table"] in ("op", "servers") for row in transaction["writes"] + transaction["remove"]):
                return self.answer(403, {})
            for row in transaction["writes"]:
                self.write(row["table"], row["key"], base64.b64decode(row["value"]).decode(), row["part"])
            for row in transaction["remove"]:
                self.remove(row["table"], row["key"], row["part"])
            return self.answer(200, self.status())
        if path == "/rows-get":
            rows = sorted(self.select(arguments["table"], part=arguments.get("part", "")), key=lambda row: row["key"])
            rows = [row for row in rows if row["key"] >= arguments.get("from", "")]
            limit = min(int(arguments.get("limit", "500")), 500)
            return self.answer(200, {"rows": rows[:limit], "morePages": len(rows) > limit, **self.status()})
        if path == "/rows-feed":
            after = int(arguments["after"])
            end = now() + min(int(arguments.get("waitMs", "0")), 30000) / 1000
            while not (rows := self.select(arguments["table"], after, True)) and now() < end:
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), max(0.0, end - now()))
                except asyncio.TimeoutError:
                    break
            return self.answer(200, {"rows": rows, **self.status()})
        return self.answer(404, {})


class Proxy(Listener):
    """Forwards connections to a port. While `is_cut`, it resets all connections, as a partition that refuses."""

    def __init__(self, target_port):
        super().__init__()
        self.target_port = target_port
        self.is_cut = False

    def cut(self):
        self.is_cut = True
        for writer in list(self.writers):
            reset(writer)

    def heal(self):
        self.is_cut = False

    async def handle(self, reader, writer):
        if self.is_cut:
            return reset(writer)
        target_reader, target_writer = await asyncio.open_connection(ADDRESS, self.target_port)

        async def forward(source, sink):
            while data := await source.read(65536):
                sink.write(data)
                await sink.drain()

        tasks = [asyncio.create_task(forward(reader, target_writer)),
                 asyncio.create_task(forward(target_reader, writer))]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            target_writer.transport.abort()


class Server(Listener):
    """A backend server that registers itself; subclasses implement `serve`, which returns False to close."""

    def __init__(self, store, log, id, service, zone="zone-a", version="v1"):
        super().__init__()
        self.store, self.log, self.id, self.service, self.zone, self.version = store, log, id, service, zone, version
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.task = None
        self.runs = []

    async def start(self, port=0):
        await super().start(port)
        self.task = asyncio.create_task(self._beat())

    def publish(self):
        self.seq += 1
        self.store.write("servers", self.id, json.dumps(self.entry()))

    def entry(self):
        return {"service": self.service, "address": f"{ADDRESS}:{self.port}", "zone": self.zone,
                "version": self.version, "slots": 64, "state": self.state, "warmupMs": 0, "seq": self.seq,
                "born": self.born}

    async def _beat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def unregister(self):
        """Removes the entry; the server goes on serving."""
        self.task.cancel()
        self.store.remove("servers", self.id)

    async def stop(self):
        if self.task:
            self.task.cancel()
        await super().stop()

    async def handle(self, reader, writer):
        while request := await read_message(reader):
            line, fields, body = request
            id = fields.get("x-lovagecleat-request-id", "")
            if fields.get("x-lovagecleat-expect-instance", self.id) != self.id:
                writer.write(format_response(421, {"X-Lovagecleat-Not-Executed": "1"}))
            elif not id:
                writer.write(format_response(400, {"X-Lovagecleat-Not-Executed": "1"}))
            elif await self.serve(line, fields, body, reader, writer) is False:
                return
            await writer.drain()

    def own(self, id):
        return {"X-Lovagecleat-Request-Id": id, "X-Lovagecleat-Response-Seal": f"seal.{id}"}


def configuration(version, routes, services):
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
        "tenants": [{"name": "bozi300", "apiKeys": [API_KEY]}]})


def render(template, values):
    """Fills in the part of the template language that the project's template uses."""
    def value_of(name):
        found = values
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda match: match[2] if value_of(match[1]) not in (None, False) else "", template, flags=re.S)

    def fill(match):
        name, _, form = match[1].partition("|")
        found = value_of(name)
        return json.dumps(found) if form == "json" else "" if found is None else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", fill, text)


class Gateway:
    """One process of the project, started as the deploy file says."""

    def __init__(self, folder, name, zone, store_port, bounds=None, limits=None, others=()):
        self.name, self.folder = name, pathlib.Path(folder)
        self.front, self.ready, self.control, self.metrics = (free_port() for _ in range(4))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
        self.command = deploy["run"].split(" ")
        seeds = [f"{ADDRESS}:{other.control}" for other in others] + [f"{ADDRESS}:{self.control}"]
        text = render((ROOT / deploy["template"]).read_text(), {
            "nodeName": name, "zone": zone, "ip": ADDRESS,
            "listen": {"front": f"{ADDRESS}:{self.front}", "ready": f"{ADDRESS}:{self.ready}",
                       "control": f"{ADDRESS}:{self.control}"},
            "seedNodes": seeds[:3], "platform": {"address": f"{ADDRESS}:{store_port}"},
            "limits": {"cpuShare": 0.25, "ramMb": 260, "maxFds": 4100, **(limits or {})},
            "sloBounds": {"coldOver": 1.5, "coldSlack": 5, "retryRatio": 0.2, "retrySlack": 52, "contactMs": 3000,
                          "drainMs": 2000, "graceS": 8, **(bounds or {})}})
        # The template has a fixed port for metrics; several gateways on one address need one each.
        settings = json.loads(text)
        settings["metrics"] = f"{ADDRESS}:{self.metrics}"
        self.settings = self.folder / f"{name}.json"
        self.settings.write_text(json.dumps(settings))
        self.process = None

    def start(self):
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "LOVAGECLEAT_BOOT": str(self.settings)})

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ADDRESS, self.ready), 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and answer[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, seconds=15):
        end = now() + seconds
        while not await self.is_ready():
            if not self.is_running() or now() > end:
                raise CouldNotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class CouldNotRun(Exception):
    pass


def request_head(method, path, id, deadline_ms, length, host="pule25.example", fields=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Lovagecleat-Request-Id: {id}",
             f"X-Lovagecleat-Deadline-Ms: {deadline_ms}", f"X-Api-Key: {API_KEY}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def run_case(folder, play):
    """Runs `play(log, temporary folder, started gateways)`; it returns whether the rule was broken."""
    log = Log(folder)
    temporary = tempfile.mkdtemp(prefix="lovagecleat-review-")
    gateways = []
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(log, pathlib.Path(temporary), gateways), 110))
        log("the rule was broken" if is_broken else "the rule held")
        return BROKEN if is_broken else HELD
    except (CouldNotRun, OSError, asyncio.TimeoutError) as error:
        log(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        for gateway in gateways:
            gateway.end()
        if os.environ.get("KEEP"):
            log(f"kept {temporary}")
        else:
            shutil.rmtree(temporary, ignore_errors=True)
