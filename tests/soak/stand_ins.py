"""Simulates the environment of the gateways in one event loop: store, backend servers and a faulty network."""

import asyncio
import base64
import collections
import json
import os
import random
import urllib.parse

from record import (NOTICE_SECONDS, Arrival, Execution, NamedLimit, Notice, QuietAnswer, ServerRun, Silence,
                    StageCall)

ADDRESS = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
MISSED_HEARTBEATS = 3
STAGE_ITEMS = 4
STREAM_EVENTS = 10
FIRST_ERA = 3
# How long a store keeps the copies from which it can be restored.
COPY_SECONDS = 15.0
# Share of the answers, and of the events of streams, within which a server is silent.
SILENT_ANSWER_SHARE = 0.04
SILENT_EVENT_SHARE = 0.01
# Time in which a response that was written surely reaches its host.
DELIVERY_SECONDS = 0.1
SILENCE_RANGE_SECONDS = (0.8, 1.2)
# Fields of a response with which a server asks for quiet, and the time that they mean; 0 if they mean no exact time.
# Part of a prompt under which model servers crash.
CRASHING_PART = "bad1"
# Body of the request under which plain servers crash.
CRASHING_BODY = b"crashing body"
# A version that is bad fails, or is slower by the factor, for this share of the requests for which it is bad.
BAD_SHARE = 0.5
BAD_SLOWNESS = 6.0
# One that is bad under load only is so with more requests than these in the time before.
LOAD_REQUESTS = 6
LOAD_SECONDS = 1.0
# What a slow version adds to the start of a stream, for each factor.
STREAM_START_SECONDS = 0.05
QUIET_FIELDS = [("1", 1.0), ("2", 2.0), ("3", 3.0), ("1.5", 1.5), ("soon", 0.0)]


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


def find_owner(port, peer_port, processes):
    """Returns the process ID, of `processes`, that has the connection from `port` to `peer_port`, or None."""
    with open("/proc/net/tcp") as table:
        fields = [line.split() for line in table]
    ports = [f"{port:04X}", f"{peer_port:04X}"]
    inodes = [line[9] for line in fields[1:] if [line[1][-4:], line[2][-4:]] == ports]
    for process in processes:
        folder = f"/proc/{process}/fd"
        try:
            for descriptor in os.listdir(folder):
                if inodes and os.readlink(f"{folder}/{descriptor}") == f"socket:[{inodes[0]}]":
                    return process
        except OSError:
            continue  # the process or the descriptor is gone
    return None


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

    def __init__(self, target, find_host=None):
        super().__init__()
        self.target = target
        self.find_host = find_host  # maps the client's port and the own one to a host and its incarnation
        self.hosts = {}  # port of a connection to the target to the host and incarnation that it serves
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
        host = self.find_host(writer.get_extra_info("peername")[1], self.port) if self.find_host else ("", 0)
        target_reader, target_writer = await asyncio.open_connection(ADDRESS, self.target())
        self.hosts[target_writer.get_extra_info("sockname")[1]] = host

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
        self.era = FIRST_ERA
        self.copies = collections.deque()  # (time, version, rows)
        self.is_restoring = False
        self.mode = "ok"  # or "down", "silent", "busy", "slow", "lost" (carries out requests without a response)
        self.changed = asyncio.Event()
        self.tells_time = False
        self.on_status = None  # called with the key and the value of a row of states that was written

    def write(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.copies.append((now(), self.version, dict(self.rows)))
        while self.copies[0][0] < now() - COPY_SECONDS:
            self.copies.popleft()
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, key):
        if (table, key) in self.rows and self.rows[(table, key)][0] is not None:
            self.write(table, key, None)

    def discard_history(self):
        self.discarded_version = self.version

    async def restore(self, age, seconds):
        """Is away for a time and returns with the newest copy that is older than `age` when it goes away."""
        taken_until = now() - age
        self.is_restoring = True
        self.mode = "down"
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(seconds)
        while len(self.copies) > 1 and self.copies[-1][0] > taken_until:
            self.copies.pop()
        _, self.version, rows = self.copies[-1]
        self.rows = dict(rows)
        self.discarded_version = min(self.discarded_version, self.version)
        self.era += 1
        self.mode = "ok"
        self.is_restoring = False

    def values(self, table):
        return {key: value for (name, key), (value, _) in self.rows.items() if name == table and value is not None}

    def format(self, status, document):
        return format_response(status, {"Store-Era": str(self.era)}, json.dumps(document).encode())

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
                writer.write(self.format(503, {}))
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
            transaction = json.loads(body)
            for row in transaction["expect"]:
                value, version = self.rows.get((row["table"], row["key"]), (None, 0))
                if (version if value is not None else 0) != row["ver"]:
                    return self.format(412, {})
            for row in transaction["writes"]:
                if row["table"] not in ("op", "servers"):
                    value = base64.b64decode(row["value"]).decode()
                    self.write(row["table"], row["key"], value)
                    if row["table"] == "status" and self.on_status:
                        self.on_status(row["key"], value)
            return self.format(200, {"ver": self.version})
        if path == "/rows-get":
            # Rows are sorted by key. A page holds 500 rows; the tables here are smaller.
            rows = sorted(self.list_rows(parameters["table"], 0, False), key=lambda row: row["key"])
            rows = [row for row in rows if row["key"] >= parameters.get("from", "")]
            limit = int(parameters.get("limit", "500"))
            document = {"rows": rows[:limit], "ver": self.version, "morePages": len(rows) > limit}
            return self.format(200, document | self.time())
        if path == "/rows-feed":
            after = int(parameters["after"])
            if after < self.discarded_version or after > self.version:
                return self.format(410, {})
            end = now() + int(parameters.get("waitMs", "0")) / 1000
            while not (rows := self.list_rows(parameters["table"], after, True)) and now() < end and self.mode == "ok":
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    break
            return self.format(200, {"rows": rows, "ver": self.version} | self.time())
        return self.format(404, {})

    def time(self):
        return {"nowMs": int(now() * 1000)} if self.tells_time else {}


class VersionFault:
    """What is wrong with a version that is rolled out; all its servers share it."""

    def __init__(self, rollout, random):
        self.rollout = rollout
        self.random = random
        self.times = []  # of the newest requests
        self.ill_server = None

    def judge(self, server, route):
        """Counts a request. Returns whether it fails, and the factor by which it takes longer."""
        self.times = [at for at in self.times if at > now() - LOAD_SECONDS] + [now()]
        part = (now() - self.rollout.at) / (self.rollout.deadline - self.rollout.at)
        self.ill_server = self.ill_server or server
        is_active = {
            "": False,
            "at once": True,
            "late": part > 0.5,
            "load": len(self.times) > LOAD_REQUESTS,
            "one route": route == "/u/",
            "slow": True,
            "one server": server == self.ill_server,
        }[self.rollout.fault]
        if not is_active or self.random.random() > BAD_SHARE:
            return False, 1.0
        self.rollout.bad_answers.append(now())
        return self.rollout.fault != "slow", BAD_SLOWNESS if self.rollout.fault == "slow" else 1.0


class Backend(Listener):
    """Simulates a backend server; its service decides whether it serves plain requests, streams or batched items."""

    def __init__(self, id, service, zone, version, store, record, seed, find_host=None):
        super().__init__()
        self.id = id
        self.service = service
        self.zone = zone
        self.version = version
        self.run = None  # set for model servers while they serve
        self.store = store
        self.record = record
        self.random = random.Random(seed)
        self.proxy = Proxy(lambda: self.port, find_host)
        self.is_leaving = False  # says so in all responses
        self.quiet_until = 0.0  # turns new work away and asks for quiet
        self.limit = 0.0  # requests a second that it takes; 0 if it names none
        self.crash_under_part = None  # called when it begins to respond to a crashing request
        self.has_silences = False
        self.is_draining = False
        self.slowness = 1.0
        self.fault = None  # of its version
        self.no_response_share = 0.0
        self.truncated_share = 0.0
        self.paused_until = 0.0
        self.running = set()  # IDs of the requests in progress
        self.results = {}  # handle to (request ID, stage, index)
        self.seq = 0
        self.started_unix_ms = 0
        self.cold_until = 0.0
        self.heartbeat_task = None

    async def start_serving(self, started_unix_ms, port=0):
        """Serves at that port, or at any port if it is 0 or another one has it by now."""
        self.started_unix_ms = started_unix_ms
        await self.start()
        try:
            await self.proxy.start(port)
        except OSError:
            await self.proxy.start()
        if self.service == "model":
            self.run = ServerRun(self.id, self.version, now())
            self.record.server_runs.append(self.run)
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def interrupt(self):
        """Records that the requests in progress lose their server or its connections."""
        self.record.interrupted |= self.running
        self.record.server_cuts.append((self.id, now()))

    def format(self, status, fields, body):
        return format_response(status, {**self.own_fields(), **fields}, body)

    def own_fields(self):
        """Returns the fields of all responses."""
        return {"X-Server": self.id, **({"Server-Leaving": "1"} if self.is_leaving else {}),
                **({"Server-Limit": str(self.limit)} if self.limit else {})}

    async def name_limit(self, per_second, seconds):
        """Names a limit in all responses for a time."""
        self.limit = per_second
        named = NamedLimit(self.id, now(), now() + seconds, per_second)
        self.record.limits.append(named)
        await asyncio.sleep(seconds)
        named.end = min(named.end, now())
        self.limit = 0.0

    def record_notice(self, host):
        """Records that a host, given with its incarnation, is about to get a response that it doesn't pass on."""
        if self.is_leaving and host[0]:
            notice = Notice(self.id, *host, now() + NOTICE_SECONDS)
            self.record.notices.setdefault((self.id, *host), notice)
        if self.limit and host[0]:
            self.record.limit_notices.setdefault((self.id, *host), []).append(now() + NOTICE_SECONDS)

    def refuse_for_quiet(self, host, id):
        """Returns a response with which the server asks a host, given with its incarnation, for quiet."""
        text, seconds = self.random.choice(QUIET_FIELDS)
        self.record_notice(host)
        self.record.quiet_answers.append(QuietAnswer(self.id, *host, now(), seconds))
        fields = {"Retry-After": text, **({"X-Lovagecleat-Request-Id": id} if id else {})}
        if self.random.random() < 0.7:
            fields["X-Lovagecleat-Not-Executed"] = "1"
        return self.format(503, fields, b"")

    async def write(self, data, reader, writer, silence, share=SILENT_ANSWER_SHARE, first=1):
        """Writes `data`, sometimes in two parts with the silence between them; the first has `first` bytes or more."""
        if not self.has_silences or self.random.random() >= share:
            writer.write(data)
            return
        position = self.random.randrange(first, len(data))
        if b"\r\n\r\n" in data[position:]:
            silence.place = f"head of {silence.place}"
        writer.write(data[:position])
        await writer.drain()
        if position:
            silence.begin = now()
        seconds = self.random.uniform(*SILENCE_RANGE_SECONDS)
        await asyncio.sleep(max(0.0, silence.begin + seconds - now()))
        silence.end = now()
        silence.is_closed = reader.at_eof() or writer.transport.is_closing()
        self.record.silences.append(silence)
        writer.write(data[position:])

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
                writer.write(self.format(421, {"X-Lovagecleat-Not-Executed": "1"}, b""))
                continue
            if path in ("/report", "/stage-free"):
                host = self.proxy.hosts.get(writer.get_extra_info("peername")[1], ("", 0))
                self.record.control_calls.append(Arrival("", self.id, self.service, host[0], now(), now(), host[1]))
            if path == "/report":
                body = {"queued": 0, "busy": False, "freeMb": 10}
                writer.write(self.format(200, {}, json.dumps(body).encode()))
            elif path == "/stage-free":
                for handle in json.loads(body)["handles"]:
                    self.results.pop(handle, None)
                writer.write(self.format(200, {}, b"{}"))
            elif path == "/stage-run":
                host = self.proxy.hosts.get(writer.get_extra_info("peername")[1], ("", 0))
                await self.run_items(json.loads(body), host, reader, writer)
            else:
                id = fields.get("x-lovagecleat-request-id", "")
                self.running.add(id)
                try:
                    if not await self.serve(line, fields, body, reader, writer):
                        return
                finally:
                    # What was written last is lost if the server ends before it has reached the host.
                    asyncio.get_running_loop().call_later(DELIVERY_SECONDS, self.running.discard, id)
            await writer.drain()

    async def run_items(self, call, host, reader, writer):
        def sent_at(id):
            return self.record.sent[id].at if id in self.record.sent else 0.0

        ids = sorted((item["id"] for item in call["items"]), key=sent_at)
        items = [(item["id"], item["stage"], item["piece"]) for item in call["items"]]
        self.record.stage_calls.append(
            StageCall(ids[-1], self.id, self.service, host[0], now(), sent_at(ids[-1]), host[1], items))
        if now() < self.quiet_until:
            writer.write(self.refuse_for_quiet(host, ""))
            return
        fails, slowness = self.fault.judge(self.id, "") if self.fault else (False, 1.0)
        await asyncio.sleep(0.05 * self.slowness * slowness)
        if fails:
            writer.write(self.format(500, {}, b""))
            return
        results = []
        for item in call["items"]:
            handle = f"{ADDRESS}:{self.port}/{self.random.getrandbits(48):x}"
            self.results[handle] = (item["id"], item["stage"], item["piece"])
            results.append({"handle": handle})
        if self.random.random() < self.no_response_share:
            await asyncio.sleep(3600)
        data = self.format(200, {}, json.dumps({"items": results}).encode())
        self.record_notice(host)
        await self.write(data, reader, writer, Silence(ids[0], self.id, host[0], 0.0, 0.0, "a stage call", items=items))

    async def serve(self, line, fields, body, reader, writer):
        """Returns False if the connection must be closed."""
        id = fields.get("x-lovagecleat-request-id", "")
        sent = self.record.sent.get(id)
        sent_at = sent.at if sent else 0.0
        host = (sent.host, sent.incarnation) if sent else ("", 0)
        self.record.arrivals.append(Arrival(id, self.id, self.service, host[0], now(), sent_at, host[1]))
        if not id:
            writer.write(self.format(400, {"X-Lovagecleat-Not-Executed": "1"}, b""))
            return True
        if now() < self.quiet_until:
            writer.write(self.refuse_for_quiet(host, id))
            return True
        if self.random.random() < 0.02:
            writer.write(self.format(503, {"X-Lovagecleat-Not-Executed": "1", "X-Lovagecleat-Request-Id": id}, b""))
            return True
        path = line.split(" ")[1]
        is_stream = path.startswith("/r")
        resumed_after = int(fields.get("last-event-id", "0"))
        if is_stream and not self.has_inputs(id, fields):
            writer.write(self.format(409, {"X-Lovagecleat-Not-Executed": "1", "X-Lovagecleat-Request-Id": id}, b""))
            return True
        self.record.executions.append(
            Execution(id, self.id, now(), is_stream or path.startswith(("/s/", "/p/", "/x/")), resumed_after))
        fails, slowness = self.fault.judge(self.id, path[:3]) if self.fault else (False, 1.0)
        if fails:
            self.record_server_fault(id)
            writer.write(self.format(500, {"X-Lovagecleat-Request-Id": id}, b""))
            return True
        if is_stream:
            part_ids = [part.split(":")[0] for part in fields.get("x-lovagecleat-prompt-prefix", "").split(",")]
            if CRASHING_PART in part_ids and self.crash_under_part:
                self.record_server_fault(id)
                self.record.part_crashes.append(now())
                writer.write(self.stream_head(id))
                await writer.drain()
                # The head reaches the host in most cases.
                await asyncio.sleep(self.random.choice([0.0, 0.03, 0.08]))
                self.crash_under_part(self)
                return False
            await asyncio.sleep(STREAM_START_SECONDS * (slowness - 1))
            return await self.stream(id, host[0], resumed_after, reader, writer)
        await asyncio.sleep(self.random.uniform(0.005, 0.04) * self.slowness * slowness)
        if body == CRASHING_BODY and self.crash_under_part:
            self.record_server_fault(id)
            self.record.request_crashes.append(now())
            self.crash_under_part(self)
            return False
        if self.random.random() < self.no_response_share:
            await asyncio.sleep(3600)
        version = path.split("/")[2] if path.startswith("/p/") else ""
        text = json.dumps({"owner": id, "echo": body.decode(), "version": version, "fill": "x" * 500, "end": id})
        response = self.format(
            200, {"X-Lovagecleat-Request-Id": id, "X-Lovagecleat-Response-Seal": f"seal-{id}"}, text.encode())
        if self.random.random() < self.truncated_share:
            self.record_server_fault(id)
            writer.write(response[: len(response) // 2])
            await writer.drain()
            return False
        await self.write(response, reader, writer, Silence(id, self.id, host[0], 0.0, 0.0, "a response"))
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

    def stream_head(self, id):
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Lovagecleat-Request-Id: {id}\r\nX-Lovagecleat-Response-Seal: seal-{id}\r\n"
        ) + "".join(f"{name}: {value}\r\n" for name, value in self.own_fields().items()) + "\r\n"
        return head.encode()

    async def stream(self, id, host, resumed_after, reader, writer):
        await self.write(self.stream_head(id), reader, writer, Silence(id, self.id, host, 0.0, 0.0, "a stream"))
        await writer.drain()
        last_write = now()
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
            # Between two events, a silence begins with the last write; a pause would be longer than a silence may be.
            first = 0 if now() < last_write + SILENCE_RANGE_SECONDS[0] else 1
            silence = Silence(id, self.id, host, last_write, 0.0, "a stream")
            data = b"%x\r\n" % len(event) + event + b"\r\n"
            await self.write(data, reader, writer, silence, SILENT_EVENT_SHARE, first)
            await writer.drain()
            last_write = now()
        writer.write(b"0\r\n\r\n")
        return True
