"""Simulates the environment of the gateways in one event loop: store, backend servers and a faulty network."""

import asyncio
import base64
import json
import random
import urllib.parse

from record import Arrival, Execution, ServerRun

ADDRESS = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
MISSED_HEARTBEATS = 3
STAGE_ITEMS = 4
STREAM_EVENTS = 10


def now():
    return asyncio.get_running_loop().time()


async def read_message(reader):
    """Returns the first line, the header fields by lower-case name and the body; None if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0], fields, body


def format_response(status, fields, body):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """Listens on a loopback port; subclasses implement `handle` for one connection."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, ADDRESS, port)
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
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Proxy(Listener):
    """Forwards connections to one port and can delay, reset or stall them."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.delay = 0.0
        self.is_refusing = False
        # Connections that were accepted in an earlier epoch forward nothing any more and stay open.
        self.epoch = 0

    def stall_open_connections(self):
        self.epoch += 1

    def reset_open_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, reader, writer):
        if self.is_refusing:
            writer.transport.abort()
            return
        epoch = self.epoch
        target_reader, target_writer = await asyncio.open_connection(ADDRESS, self.target())

        async def forward(source, sink):
            while data := await source.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while epoch != self.epoch:
                    await asyncio.sleep(3600)
                sink.write(data)
                await sink.drain()

        forwarders = [asyncio.create_task(forward(reader, target_writer)),
                      asyncio.create_task(forward(target_reader, writer))]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in forwarders:
                task.cancel()
            await asyncio.gather(*forwarders, return_exceptions=True)
            target_writer.transport.abort()
            writer.transport.abort()


class Store(Listener):
    """Holds tables of rows with one version counter; `mode` selects a failure."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.discarded_version = 0
        self.mode = "ok"  # or "down", "silent", "busy", "slow", "lost" (carries out requests without a response)
        self.changed = asyncio.Event()

    def write(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, key):
        if (table, key) in self.rows and self.rows[(table, key)][0] is not None:
            self.write(table, key, None)

    def discard_history(self):
        self.discarded_version = self.version

    def list_rows(self, table, after, include_removed):
        rows = []
        for (name, key), (value, version) in sorted(self.rows.items(), key=lambda item: item[1][1]):
            if name != table or version <= after or (value is None and not include_removed):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = base64.b64encode(value.encode()).decode()
            rows.append(row)
        return rows

    async def handle(self, reader, writer):
        while request := await read_message(reader):
            line, _, body = request
            if self.mode == "down":
                return
            if self.mode == "silent":
                await asyncio.sleep(3600)
            if self.mode == "busy":
                writer.write(format_response(503, {}, b"{}"))
                continue
            if self.mode == "slow":
                await asyncio.sleep(0.3)
            response = await self.handle_request(line, body)
            if self.mode == "lost":
                await asyncio.sleep(3600)
            writer.write(response)
            await writer.drain()

    async def handle_request(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        if method == "POST" and path == "/rows-tx":
            for row in json.loads(body)["writes"]:
                if row["table"] not in ("op", "servers"):
                    self.write(row["table"], row["key"], base64.b64decode(row["value"]).decode())
            return format_response(200, {}, json.dumps({"ver": self.version}).encode())
        if path == "/rows-get":
            # Rows are sorted by key. A page holds 500 rows; the tables here are smaller.
            rows = sorted(self.list_rows(parameters["table"], 0, False), key=lambda row: row["key"])
            return format_response(
                200, {}, json.dumps({"rows": rows, "ver": self.version, "morePages": False}).encode())
        if path == "/rows-feed":
            after = int(parameters["after"])
            if after < self.discarded_version:
                return format_response(410, {}, b"{}")
            end = now() + int(parameters.get("waitMs", "0")) / 1000
            while not (rows := self.list_rows(parameters["table"], after, True)) and now() < end and self.mode == "ok":
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    break
            return format_response(200, {}, json.dumps({"rows": rows, "ver": self.version}).encode())
        return format_response(404, {}, b"{}")


class Backend(Listener):
    """Simulates a backend server; its service decides whether it serves plain requests, streams or batched items."""

    def __init__(self, id, service, zone, version, store, record, seed):
        super().__init__()
        self.id = id
        self.service = service
        self.zone = zone
        self.version = version
        self.run = None  # set for model servers while they serve
        self.store = store
        self.record = record
        self.random = random.Random(seed)
        self.proxy = Proxy(lambda: self.port)
        self.is_draining = False
        self.slowness = 1.0
        self.no_response_share = 0.0
        self.truncated_share = 0.0
        self.paused_until = 0.0
        self.running = set()  # IDs of the requests in progress
        self.results = {}  # handle to (request ID, stage, index)
        self.seq = 0
        self.started_unix_ms = 0
        self.cold_until = 0.0
        self.heartbeat_task = None

    async def start_serving(self, started_unix_ms):
        self.started_unix_ms = started_unix_ms
        await self.start()
        await self.proxy.start()
        if self.service == "model":
            self.run = ServerRun(self.id, self.version, now())
            self.record.server_runs.append(self.run)
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def interrupt(self):
        """Records that the requests in progress lose their server or its connections."""
        self.record.interrupted |= self.running

    def end_run(self):
        if self.run:
            self.run.end = now()
            self.run = None

    def drain(self):
        self.end_run()
        self.is_draining = True
        self.publish_entry()

    async def crash(self):
        self.interrupt()
        self.end_run()
        self.results.clear()
        self.heartbeat_task.cancel()
        await self.stop()
        await self.proxy.stop()

    def publish_entry(self):
        self.seq += 1
        entry = {
            "service": self.service,
            "address": f"{ADDRESS}:{self.proxy.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": 4,
            "state": "draining" if self.is_draining else "ready",
            "warmupMs": int(max(0.0, self.cold_until - now()) * 1000),
            "seq": self.seq,
            "born": self.started_unix_ms,
        }
        self.store.write("servers", self.id, json.dumps(entry))

    async def _send_heartbeats(self):
        while True:
            if self.store.mode in ("ok", "slow"):
                self.publish_entry()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def handle(self, reader, writer):
        while request := await read_message(reader):
            line, fields, body = request
            path = line.split(" ")[1]
            expected = fields.get("x-lovagecleat-expect-instance", self.id)
            if expected != self.id:
                writer.write(format_response(421, {"X-Lovagecleat-Not-Executed": "1"}, b""))
                continue
            if path == "/report":
                body = {"queued": 0, "busy": False, "freeMb": 10}
                writer.write(format_response(200, {}, json.dumps(body).encode()))
            elif path == "/stage-free":
                for handle in json.loads(body)["handles"]:
                    self.results.pop(handle, None)
                writer.write(format_response(200, {}, b"{}"))
            elif path == "/stage-run":
                await self.run_items(json.loads(body), writer)
            else:
                id = fields.get("x-lovagecleat-request-id", "")
                self.running.add(id)
                try:
                    if not await self.serve(line, fields, body, writer):
                        return
                finally:
                    self.running.discard(id)
            await writer.drain()

    async def run_items(self, call, writer):
        await asyncio.sleep(0.05 * self.slowness)
        items = []
        for item in call["items"]:
            handle = f"{ADDRESS}:{self.port}/{self.random.getrandbits(48):x}"
            self.results[handle] = (item["id"], item["stage"], item["piece"])
            items.append({"handle": handle})
        if self.random.random() < self.no_response_share:
            await asyncio.sleep(3600)
        writer.write(format_response(200, {}, json.dumps({"items": items}).encode()))

    async def serve(self, line, fields, body, writer):
        """Returns False if the connection must be closed."""
        id = fields.get("x-lovagecleat-request-id", "")
        sent_at = self.record.sent[id].at if id in self.record.sent else 0.0
        host = self.record.sent[id].host if id in self.record.sent else ""
        self.record.arrivals.append(Arrival(id, self.id, self.service, host, now(), sent_at))
        if not id:
            writer.write(format_response(400, {"X-Lovagecleat-Not-Executed": "1"}, b""))
            return True
        if self.random.random() < 0.02:
            writer.write(format_response(503, {"X-Lovagecleat-Not-Executed": "1", "X-Lovagecleat-Request-Id": id}, b""))
            return True
        path = line.split(" ")[1]
        is_stream = path.startswith("/r")
        resumed_after = int(fields.get("last-event-id", "0"))
        if is_stream and not self.has_inputs(id, fields):
            writer.write(format_response(409, {"X-Lovagecleat-Not-Executed": "1", "X-Lovagecleat-Request-Id": id}, b""))
            return True
        self.record.executions.append(
            Execution(id, self.id, now(), is_stream or path.startswith(("/s/", "/p/")), resumed_after))
        if is_stream:
            return await self.stream(id, resumed_after, writer)
        await asyncio.sleep(self.random.uniform(0.005, 0.04) * self.slowness)
        if self.random.random() < self.no_response_share:
            await asyncio.sleep(3600)
        version = path.split("/")[2] if path.startswith("/p/") else ""
        text = json.dumps({"owner": id, "echo": body.decode(), "version": version, "fill": "x" * 500, "end": id})
        response = format_response(
            200, {"X-Lovagecleat-Request-Id": id, "X-Lovagecleat-Response-Seal": f"seal-{id}"}, text.encode())
        if self.random.random() < self.truncated_share:
            self.record_server_fault(id)
            writer.write(response[: len(response) // 2])
            await writer.drain()
            return False
        writer.write(response)
        return True

    def record_server_fault(self, id):
        self.record.server_faults.add(id)

    def has_inputs(self, id, fields):
        """Returns whether all stage results that a request names still exist, and records foreign and missing ones."""
        handles = [handle for handle in fields.get("x-lovagecleat-inputs", "").split(",") if handle]
        items = {}
        for backend in self.record.backends:
            items.update(backend.results)
        known_items = [items.get(handle) for handle in handles]
        foreign = [item for item in known_items if item and item[0] != id]
        if foreign:
            self.record.mixed_inputs.append(f"request {id} got a result of request {foreign[0][0]}")
        if len(set(handles)) != len(handles) or len(handles) != STAGE_ITEMS:
            self.record.mixed_inputs.append(
                f"request {id} got {len(handles)} results, expected {STAGE_ITEMS} distinct ones")
        return all(known_items)

    async def stream(self, id, resumed_after, writer):
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Lovagecleat-Request-Id: {id}\r\nX-Lovagecleat-Response-Seal: seal-{id}\r\n\r\n"
        )
        writer.write(head.encode())
        event_seconds = self.random.choice([0.03, 0.03, 0.03, 0.15])
        for number in range(resumed_after + 1, STREAM_EVENTS + 1):
            await asyncio.sleep(event_seconds * self.slowness)
            await asyncio.sleep(max(0.0, self.paused_until - now()))
            event = f"id: {number}\ndata: {id} {number} {self.version}\n\n".encode()
            if self.random.random() < self.truncated_share / 4:
                self.record_server_fault(id)
                writer.write(b"%x\r\n" % len(event) + event[:5])
                await writer.drain()
                return False
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True
