"""Runs real gateway processes with randomly injected faults and checks what callers and backend servers observe.

soak.py [--seed N] [--runs N] [--without N] [--seconds S] [--hosts N] [--mixed-versions] [--leaving] [--quiet]
        [--restores] [--silence] [--crashing] [--crowds] [--limits] [--rollouts]
        [--keep FOLDER]
Prints "soak: ok" and exits with 0, or prints the seeds that failed and exits with 1.
--mixed-versions lets model servers of two software versions serve side by side.
--leaving lets servers give notice in their responses before they leave.
--quiet lets servers turn requests away and ask for quiet.
--restores replaces the store by an older copy of itself now and then.
--silence lets sound servers send nothing for about a second within their answers.
--crashing sends requests with a prompt part under which model servers crash, and one that crashes plain servers.
--crowds, with --crashing, sends streams with that part to several hosts at once, and each again by its caller.
--limits lets servers name limits on the requests that they take.
--rollouts lets an operator order new versions of all services, sound and bad ones. Only hosts are disturbed then.
--keep keeps the logs of failed seeds.
"""

import argparse
import asyncio
import collections
import hashlib
import json
import math
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

import record as records
from record import LostRow, Notice, Response, Record, Rollout, SentRequest, Span
from stand_ins import (ADDRESS, CRASHING_BODY, CRASHING_PART, HEARTBEAT_SECONDS, MISSED_HEARTBEATS, STAGE_ITEMS, STREAM_EVENTS, Backend, Proxy, Store,
                       VersionFault, find_owner, now, read_message)

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BINARY = pathlib.Path(os.environ.get("LOVAGECLEAT_BUILD", ROOT / "build")) / "bin" / "lovagecleat-gateway"
ZONES = ["zone-a", "zone-b"]
SERVER_VERSIONS = ["v1", "v1.1"]
# Faults that options turn on.
TROUBLES = {
    "leaving": "let servers give notice in their responses before they leave",
    "quiet": "let servers turn requests away and ask for quiet",
    "restores": "replace the store by an older copy of itself now and then",
    "silence": "let sound servers send nothing for about a second within their answers",
    "crashing": "send requests with a prompt part under which model servers crash, and one that crashes plain servers",
    "crowds": "send streams with the crashing part to several hosts at once, and each again by its caller",
    "limits": "let servers name limits on the requests that they take",
    "rollouts": "let an operator order new versions of all services; only hosts are disturbed then",
}
# A graceful stop has time for a request that arrives 2 s after it and takes until its deadline.
STOP_TIMEOUT_SECONDS = 8
DEADLINE_SECONDS = 3.0
STREAM_DEADLINE_SECONDS = 6.0
# The shortest time limit that a configuration sets for routes other than those of streams.
MINIMUM_TIMEOUT_SECONDS = 2.5
# Total over all callers.
REQUESTS_PER_SECOND = 60
CALLER_COUNT = 30
# Share of the streams whose caller closes the connection in the middle.
LEFT_STREAM_SHARE = 0.25
MAXIMUM_RESUMPTIONS = 3
# Streams with the crashing part that are sent at once, and how often each is sent again.
CROWD_RANGE = (2, 6)
MAXIMUM_REPEATS = 2
# How many times as many model servers there are, so that a crowd does not crash them all.
CROWD_SERVERS_FACTOR = 3
# No faults are injected for this long at the start and at the end of a run, so that it starts and ends undisturbed.
FAULT_FREE_SECONDS = 3
READY_TIMEOUT_SECONDS = 15
API_KEY = "key-1"
EXIT_CANNOT_LISTEN = 3
# The request rate that a server allows while it warms up, and for how long.
COLD_REQUESTS_PER_SECOND = 4
WARM_UP_SECONDS = 3
# How long a server stays, at least, after it gave notice; longer than hosts may go on sending requests there.
MINIMUM_LEAVING_SECONDS = records.CHANGE_SECONDS + 2
# Operators write again what a restore of the store took away within this range of times.
REWRITE_RANGE_SECONDS = (0.4, 2.0)
# Hosts must have written their own rows again this long after a restore.
OWN_ROW_SECONDS = 3
# A host that is in touch for this long knows of a drain and of an evacuation, so that a restore must not undo them.
MINIMUM_KNOWN_SECONDS = max(records.EVACUATION_SECONDS, records.CONTACT_SECONDS) + 0.3
# Orders to roll a version out: when, for how long, and what its servers do before and afterwards.
NEW_SERVERS_SECONDS = 2.0
ROLLOUT_DELAY_RANGE_SECONDS = (0.0, 0.6)
ROLLOUT_SECONDS = 13
ROLLED_BACK_DRAIN_SECONDS = 2.0
# The ways in which the new version of each service is bad, one for each seed in turn.
VERSION_FAULTS = {
    "plain": ["", "one route", "at once", "late", "load", "slow", "one server"],
    "model": ["late", "", "load", "slow", "", "at once", "one server"],
    "encoder": ["at once", "", "slow", "late", ""],
    "rare": ["at once", "", "slow"],
}
# Mean time between faults of hosts while versions are rolled out.
HOST_FAULT_INTERVAL_SECONDS = 4.0
# Violations of each check that are printed for a run.
SHOWN_VIOLATIONS = 4
# Few streams take longer, so that most meet one pause of their server at most.
MINIMUM_SECONDS_BETWEEN_PAUSES = 3


def free_port():
    import socket

    with socket.socket() as probe:
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]


def request_key(caller, method, host, path, body, prompt_parts=()):
    """Returns the key under which the gateway knows a request, without query; without prompt if it has no parts."""
    digest = hashlib.sha256()
    for field in (caller.encode(), method.encode(), host.encode(), path.encode(), body,
                  *(part.encode() for part in prompt_parts)):
        digest.update(f"{len(field)}:".encode() + field)
    return ("q" if prompt_parts else "r") + digest.hexdigest()[:32]


def configuration(version, random):
    timeout_ms = int(MINIMUM_TIMEOUT_SECONDS * 1000) + random.choice([0, 500, 1500])
    stream_timeout_ms = int(STREAM_DEADLINE_SECONDS * 1000) + random.choice([0, 500, 1500])

    def route(name, prefix, kind, **overrides):
        return {"name": name, "host": "a.example", "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
                "goalMs": 500, "attempts": 2, "service": "plain", **overrides}

    def stream_route(name, prefix, attempts):
        return route(name, prefix, "stream", service="model", resumable=True, sticky=True, gapAimMs=400,
                     timeoutMs=stream_timeout_ms, attempts=attempts, stages=[{"service": "encoder", "bytes": 1000}])

    return {
        "version": version,
        "routes": [
            route("unsafe", "/u/", "unsafe"),
            route("safe", "/s/", "safe"),
            stream_route("stream", "/r/", 2),
            stream_route("stream-once", "/r1/", 1),
            # Exists in this version only, so that a response shows which version the gateway uses.
            route("probe", f"/p/{version}/", "safe", public=True),
            route("rare", "/x/", "safe", service="rare"),
        ],
        "services": [
            {"name": "plain", "healthPath": "/h", "maxConns": 200, "warmupPerS": COLD_REQUESTS_PER_SECOND},
            {"name": "model", "healthPath": "/h", "maxConns": 200, "warmupPerS": COLD_REQUESTS_PER_SECOND},
            {"name": "rare", "healthPath": "/h", "maxConns": 200, "warmupPerS": COLD_REQUESTS_PER_SECOND},
            {"name": "encoder", "pieces": {"slots": 1, "queue": 2, "batch": 8, "callMs": 50, "itemMs": 5,
                                           "headroomMb": 10, "handleS": 4, "netMbps": 1000}},
        ],
        "limits": {"headerBytes": 16384, "bodyBytes": 100000, "headerMs": 3000,
                   "idleMs": random.choice([2000, 4000, 15000])},
        "tenants": [{"name": "team", "apiKeys": [API_KEY]}],
    }


class Host:
    """One gateway process and its restarts."""

    def __init__(self, name, zone, folder):
        self.name = name
        self.zone = zone
        self.folder = folder
        self.ports = {}
        self.choose_ports()
        self.process = None
        self.incarnation = 0
        self.is_restarting = False

    def choose_ports(self):
        self.ports = {interface: free_port() for interface in ("callers", "readiness", "peers", "metrics")}

    def could_not_listen(self):
        """Returns whether another process took one of the ports between the choice and the start."""
        return self.process is not None and self.process.poll() == EXIT_CANNOT_LISTEN

    def settings(self, store_port, seeds, bounds):
        return {
            "host": self.name,
            "zone": self.zone,
            **{interface: f"{ADDRESS}:{port}" for interface, port in self.ports.items()},
            "seeds": seeds,
            "store": f"{ADDRESS}:{store_port}",
            "bounds": {"cold_factor": records.COLD_FACTOR, "cold_slack": records.COLD_SLACK,
                       "retry_ratio": records.RETRY_RATIO, "retry_slack": records.RETRY_SLACK,
                       "contact_ms": records.CONTACT_SECONDS * 1000, "change_ms": records.CHANGE_SECONDS * 1000,
                       "stop_s": STOP_TIMEOUT_SECONDS, **bounds},
        }

    def start(self):
        self.incarnation += 1
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen([str(BINARY), "--settings", str(self.folder / f"{self.name}.json")],
                                            stdout=log, stderr=log)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)


class Soak:
    def __init__(self, seed, seconds, hosts, server_versions, troubles, folder):
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.server_versions = server_versions
        self.troubles = troubles  # those that options turn on
        self.record = Record()
        self.store = Store()
        self.store.tells_time = "rollouts" in troubles
        # The hosts of a zone reach the store through a proxy, so that it can be cut off from them.
        self.store_proxies = {zone: Proxy(lambda: self.store.port) for zone in ZONES}
        self.configuration_text = ""
        self.hosts = [Host(f"host-{i}", ZONES[i % len(ZONES)], folder) for i in range(hosts)]
        self.backends = []
        self.version = 0
        self.next_backend = 0
        self.next_request = 0
        self.begin = 0.0
        self.hosts_started_at = 0.0
        self.timeline = []
        self.tasks = []  # crashes of servers under the crashing part
        if "crashing" in troubles:
            self.record.crashing_part = CRASHING_PART
            self.record.crashing_request = request_key("team", "POST", "a.example", "/s/x", CRASHING_BODY)

    # --- Setup ---------------------------------------------------------------

    async def start(self):
        await self.store.start()
        for proxy in self.store_proxies.values():
            await proxy.start()
        self.write_configuration()
        # Two model servers of each version in each zone, so that an evacuation leaves two.
        models = 4 * len(self.server_versions) * (CROWD_SERVERS_FACTOR if "crowds" in self.troubles else 1)
        self.server_counts = {"plain": 4, "model": models, "encoder": 4}
        if "rollouts" in self.troubles:
            self.server_counts["rare"] = 2
        for service, count in self.server_counts.items():
            for i in range(count):
                version = self.server_versions[i // len(ZONES) % len(self.server_versions)]
                await self.add_backend(service, ZONES[i % len(ZONES)], version)
        self.hosts_started_at = now()
        await asyncio.gather(*(self.start_host(host) for host in self.hosts))
        self.begin = now()

    async def start_host(self, host):
        end = now() + READY_TIMEOUT_SECONDS
        while not await self.is_ready(host):
            if host.process is None or host.could_not_listen():
                if host.process is not None:
                    host.choose_ports()
                seeds = [f"{ADDRESS}:{other.ports['peers']}" for other in self.hosts[:3]]
                bounds = {"exposure_share": records.EXPOSURE_SHARE, "exposure_slack": records.EXPOSURE_SLACK,
                          "rollback_ms": records.ROLLBACK_SECONDS * 1000} if "rollouts" in self.troubles else {}
                settings = host.settings(self.store_proxies[host.zone].port, seeds, bounds)
                (self.folder / f"{host.name}.json").write_text(json.dumps(settings))
                host.start()
            if now() > end:
                raise RuntimeError(
                    f"{host.name} is not ready after {READY_TIMEOUT_SECONDS} s: exit code {host.process.poll()}")
            await asyncio.sleep(0.05)

    def find_host(self, port, server_port):
        """Returns the name and the incarnation of the host that has a connection to a server."""
        hosts = {host.process.pid: host for host in self.hosts if host.is_running()}
        owner = hosts.get(find_owner(port, server_port, hosts))
        return (owner.name, owner.incarnation) if owner else ("", 0)

    async def replace_backend(self, backend, port=0):
        await self.add_backend(backend.service, backend.zone, self.random.choice(self.server_versions), port)

    async def add_backend(self, service, zone, version, port=0):
        self.next_backend += 1
        backend = Backend(f"{service}-{self.next_backend}", service, zone, version, self.store, self.record,
                          self.random.getrandbits(32), self.find_host if self.troubles else None)
        backend.has_silences = "silence" in self.troubles
        if "crashing" in self.troubles:
            backend.crash_under_part = lambda crashed: self.tasks.append(asyncio.create_task(self.crash(crashed)))
        backend.cold_until = now() + WARM_UP_SECONDS
        await backend.start_serving(1_700_000_000_000 + self.next_backend, port)
        if service != "encoder":
            self.record.cold_starts.append((backend.id, now(), now() + WARM_UP_SECONDS, COLD_REQUESTS_PER_SECOND))
        self.backends.append(backend)
        self.record.backends.append(backend)
        self.record.zone_of[backend.id] = zone
        return backend

    def write_configuration(self):
        self.version += self.random.randint(1, 3)
        self.configuration_text = json.dumps(configuration(self.version, self.random))
        self.store.write("op", "config", self.configuration_text)
        self.record.versions.append((now(), self.version))

    async def is_ready(self, host):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ADDRESS, host.ports["readiness"]), 0.5)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            response = await asyncio.wait_for(read_message(reader), 0.5)
            return response is not None and " 200 " in response[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.transport.abort()

    # --- Callers -------------------------------------------------------------

    async def run_caller(self):
        """Sends requests on one connection until it ends, also when the host stops being ready."""
        reader = writer = host = None
        incarnation = 0
        while now() < self.begin + self.seconds:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_SECOND / CALLER_COUNT))
            if writer is None:
                host = self.random.choice(self.hosts)
                reader, writer, incarnation = await self.connect(host)
                if writer is None:
                    continue
            rare_weight = 0.5 if "rollouts" in self.troubles else 0
            kind = self.random.choices(["unsafe", "safe", "stream", "probe", "rare"], [4, 3, 3, 1, rare_weight])[0]
            response = await self.send_request(reader, writer, host, incarnation, kind)
            if not response.is_complete or self.random.random() < 0.05:
                writer.transport.abort()
                reader = writer = None
            if kind == "stream" and response.events and not response.is_complete:
                await self.take_up_stream(response)
        if writer is not None:
            writer.transport.abort()

    async def run_crashing_caller(self):
        """Sends requests with the crashing part, no two alike, and the crashing request to any host."""
        await asyncio.sleep(FAULT_FREE_SECONDS)
        while now() < self.begin + self.seconds - FAULT_FREE_SECONDS:
            await asyncio.sleep(self.random.uniform(0.1, 0.8))
            if "crowds" in self.troubles:
                crowd = self.random.randint(*CROWD_RANGE)
                await asyncio.gather(*(self.repeat_crashing_stream() for _ in range(crowd)))
            await self.send_crashing_request(self.random.choice(["stream", "safe"]))

    async def send_crashing_request(self, kind, content=""):
        """Returns the response; None if the host is unavailable."""
        host = self.random.choice(self.hosts)
        reader, writer, incarnation = await self.connect(host)
        if writer is None:
            return None
        response = await self.send_request(reader, writer, host, incarnation, kind, is_crashing=True, content=content)
        writer.transport.abort()
        return response

    async def repeat_crashing_stream(self):
        """Sends a stream with the crashing part, and once more while it fails, as its caller does."""
        response = await self.send_crashing_request("stream")
        if response is None:
            return
        content = response.id
        for _ in range(self.random.randint(0, MAXIMUM_REPEATS)):
            await self.send_crashing_request("stream", content)

    async def connect(self, host):
        """Returns reader, writer and the incarnation of the host; reader and writer are None if it is unavailable."""
        if not host.is_running() or not await self.is_ready(host):
            return None, None, 0
        incarnation = host.incarnation
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ADDRESS, host.ports["callers"]), 1.0)
            return reader, writer, incarnation
        except (OSError, asyncio.TimeoutError):
            return None, None, 0

    async def take_up_stream(self, first):
        """Continues a broken stream, each time at another host than before."""
        last_host = first.host
        last_event = first.events[-1]
        for _ in range(MAXIMUM_RESUMPTIONS):
            if last_event == STREAM_EVENTS:
                return
            await asyncio.sleep(self.random.uniform(0, 0.5))
            host = self.random.choice([host for host in self.hosts if host.name != last_host])
            reader, writer, incarnation = await self.connect(host)
            if writer is None:
                continue
            response = await self.send_request(reader, writer, host, incarnation, "stream", first, last_event)
            writer.transport.abort()
            last_host = host.name
            last_event = (response.events or [last_event])[-1]

    async def send_request(self, reader, writer, host, incarnation, kind, first=None, last_event=0,
                           is_crashing=False, content=""):
        """Sends a request, or if `first` is given, one that continues the stream that `first` began. `content` is the
        id of a request that this one repeats."""
        self.next_request += 1
        id = f"{self.next_request:08x}"
        requested_version = self.version
        stream_id = first.id if first else content or id
        attempts = self.random.choice([1, 2]) if kind == "stream" else 2
        path = {"unsafe": "/u/x", "safe": "/s/x", "stream": "/r/x" if attempts == 2 else "/r1/x",
                "probe": f"/p/{requested_version}/x", "rare": "/x/x"}[kind]
        body = CRASHING_BODY if is_crashing and kind == "safe" else f"body of {stream_id}".encode()
        deadline = STREAM_DEADLINE_SECONDS if kind == "stream" else DEADLINE_SECONDS
        time_limit = deadline if kind == "stream" else min(deadline, MINIMUM_TIMEOUT_SECONDS)
        fields = {"Host": "a.example", "X-Lovagecleat-Request-Id": id, "X-Api-Key": API_KEY,
                  "X-Lovagecleat-Deadline-Ms": str(int(deadline * 1000)), "Content-Length": str(len(body))}
        if kind == "stream":
            prefix_id = int(stream_id, 16) % 10
            if is_crashing:
                parts = [f"a{prefix_id}", CRASHING_PART, stream_id]
                self.record.crashing_streams.add(request_key("team", "POST", "a.example", path, body, parts))
                self.record.crashing_streams.add(request_key("team", "POST", "a.example", path, body))
            fields |= {"X-Lovagecleat-Model": "m", "X-Lovagecleat-Token-Usage": "300,30",
                       "X-Lovagecleat-Prompt-Prefix": f"a{prefix_id}:200,"
                       + (f"{CRASHING_PART}:50," if is_crashing else "") + f"{stream_id}:100",
                       "X-Lovagecleat-Pieces": str(STAGE_ITEMS), "X-Lovagecleat-Piece-Key": stream_id}
        if first:
            fields |= {"Resumes": first.id, "Last-Event-Id": str(last_event)}
        head = f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.record.sent[id] = SentRequest(id, kind, host.name, incarnation, now(), time_limit, attempts,
                                           first.id if first else "", last_event, first.versions[0] if first else "", is_crashing)
        response = Response(id, kind, host.name, incarnation, now())
        leave_after = STREAM_EVENTS
        if kind == "stream" and self.random.random() < LEFT_STREAM_SHARE:
            leave_after = self.random.randint(last_event + 1, STREAM_EVENTS)
        try:
            writer.write(head.encode() + b"\r\n" + body)
            await asyncio.wait_for(self.read_response(reader, response, body.decode(), leave_after), deadline + 0.5)
        except (asyncio.TimeoutError, asyncio.LimitOverrunError, ValueError):
            pass
        except (OSError, asyncio.IncompleteReadError):
            response.is_cut = True
        response.at = now()
        response.had_server_fault = id in self.record.server_faults
        self.record.responses.append(response)
        if kind == "probe" and response.is_complete:
            if response.status == 200:
                response.version_seen = requested_version
            elif response.status == 404 and requested_version == self.version:
                response.version_seen = requested_version - 1
        return response

    async def read_response(self, reader, response, body, leave_after):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        response.status = int(head.split(" ")[1])
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        if "server-leaving" in fields:
            process = (fields["x-server"], response.host, response.incarnation)
            self.record.notices.setdefault(process, Notice(*process, now()))
        if "server-limit" in fields:
            process = (fields["x-server"], response.host, response.incarnation)
            self.record.limit_notices.setdefault(process, []).append(now())
        if fields.get("transfer-encoding") == "chunked":
            text = ""
            try:
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    text += (await reader.readexactly(size + 2))[:-2].decode()
                    if f"id: {leave_after}\n" in text and leave_after < STREAM_EVENTS:
                        response.is_left = True
                        return
                await reader.readexactly(2)
                response.is_complete = True
            finally:
                self.read_events(response, text)
            return
        data = await reader.readexactly(int(fields.get("content-length", "0")))
        response.is_complete = True
        if 200 <= response.status < 300 and data:
            document = json.loads(data)
            response.owner = document["owner"]
            is_own_seal = fields.get("x-lovagecleat-response-seal") == f"seal-{response.id}"
            response.is_body_intact = is_own_seal and document["end"] == response.id and document["echo"] == body

    def read_events(self, response, text):
        *events, incomplete_event = text.split("\n\n")
        for event in events:
            lines = event.split("\n")
            response.events.append(int(lines[0].removeprefix("id: ")))
            _, response.owner, _, version = lines[1].split(" ")
            response.versions.append(version)
        is_last = response.events[-1:] == [STREAM_EVENTS]
        response.is_body_intact = is_last and not incomplete_event

    # --- Faults --------------------------------------------------------------

    def record_disturbance(self, detail, seconds, host=""):
        self.timeline.append(f"{now() - self.begin:6.2f} {detail} {host} for {seconds:.1f} s")
        self.record.disturbances.append(Span(now(), now() + seconds, host, detail))

    async def inject_host_fault(self):
        host = self.random.choice(self.hosts)
        # A fault that restarts this host is still in progress.
        if not host.is_running() or host.is_restarting:
            return
        kind = self.random.choice(["kill", "freeze", "stop", "stop", "hup"])
        if kind == "hup":
            host.signal(signal.SIGHUP)
        elif kind == "freeze":
            seconds = self.random.uniform(0.5, 3)
            self.record_disturbance(kind, seconds, host.name)
            process = host.process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)
        elif kind == "kill":
            self.record_disturbance(kind, 1.0, host.name)
            host.is_restarting = True
            host.signal(signal.SIGKILL)
            await asyncio.sleep(self.random.uniform(0.1, 1))
            host.process.wait()
            host.start()
            host.is_restarting = False
        else:
            self.timeline.append(f"{now() - self.begin:6.2f} stop {host.name}")
            stop = Span(now(), now() + STOP_TIMEOUT_SECONDS, host.name, kind)
            self.record.graceful_stops.append(stop)
            process = host.process
            host.is_restarting = True
            host.signal(signal.SIGTERM)
            end = now() + STOP_TIMEOUT_SECONDS
            while process.poll() is None and now() < end:
                await asyncio.sleep(0.05)
            if process.poll() is None:
                process.kill()
            process.wait()
            stop.end = now()
            host.start()
            host.is_restarting = False

    async def inject_store_fault(self):
        if self.store.is_restoring:
            return
        seconds = self.random.uniform(0.5, 4)
        mode = self.random.choice(["down", "silent", "busy", "slow", "lost", "forget"])
        if mode == "forget":
            self.store.discard_history()
            return
        self.record_disturbance(f"store {mode}", seconds + 2)
        self.store.mode = mode
        await asyncio.sleep(seconds)
        self.store.mode = "ok"
        for writer in list(self.store.writers):
            if mode in ("silent", "lost"):
                writer.transport.abort()
        for backend in self.backends:
            backend.publish_entry()

    async def inject_backend_fault(self):
        backend = self.random.choice(self.backends)
        kind = self.random.choice(["crash", "slow", "lost", "cut", "drain", "drain", "delay", "reset", "silence"])
        seconds = self.random.uniform(0.5, 3)
        self.timeline.append(f"{now() - self.begin:6.2f} {kind} {backend.id}")
        if kind == "crash":
            self.backends.remove(backend)
            await backend.crash()
            await asyncio.sleep(seconds)
            self.store.remove("servers", backend.id)
            await self.replace_backend(backend)
        elif kind == "drain":
            await self.drain(backend, records.CHANGE_SECONDS + 2)
        elif kind == "silence":
            # The checks treat it like a reset of all connections.
            self.record_disturbance("silence", 0.5)
            backend.interrupt()
            backend.proxy.stall_open_connections()
        elif kind == "reset":
            backend.interrupt()
            backend.proxy.reset_open_connections()
        else:
            attribute, value = {"slow": ("slowness", 5.0), "lost": ("no_response_share", 0.3),
                                "cut": ("truncated_share", 0.3), "delay": ("delay", 0.2)}[kind]
            target = backend.proxy if kind == "delay" else backend
            previous_value = getattr(target, attribute)
            setattr(target, attribute, value)
            await asyncio.sleep(seconds)
            setattr(target, attribute, previous_value)

    async def drain(self, backend, seconds):
        """Replaces a server that drains for this long and then leaves."""
        self.backends.remove(backend)
        await self.replace_backend(backend)
        if self.store.mode != "ok":
            self.backends.append(backend)
            return
        backend.drain()
        self.record.drained_at[backend.id] = now()
        await asyncio.sleep(seconds)
        self.store.remove("servers", backend.id)
        await backend.crash()

    async def leave(self):
        """Lets a server give notice in its responses, with or without a draining entry in the store, and leave."""
        backend = self.random.choice(self.backends)
        self.backends.remove(backend)
        await self.replace_backend(backend)
        backend.is_leaving = True
        backend.end_run()
        is_drained = self.random.random() < 0.5
        self.timeline.append(
            f"{now() - self.begin:6.2f} {backend.id} gives notice, {'with' if is_drained else 'without'} an entry")
        if is_drained:
            await asyncio.sleep(self.random.uniform(0, 2))
            if self.store.mode == "ok":
                backend.drain()
                self.record.drained_at[backend.id] = now()
        await asyncio.sleep(MINIMUM_LEAVING_SECONDS + self.random.uniform(0, 3))
        self.store.remove("servers", backend.id)
        await backend.crash()

    async def ask_for_quiet(self):
        """Lets one or two servers turn new work away for a while and ask for quiet."""
        for backend in self.random.sample(self.backends, self.random.randint(1, 2)):
            seconds = self.random.uniform(0.5, 3)
            self.timeline.append(f"{now() - self.begin:6.2f} {backend.id} asks for quiet for {seconds:.1f} s")
            backend.quiet_until = now() + seconds

    async def crash(self, backend):
        """Ends a server. A new one comes after some seconds, half of the time at its address and before its row goes."""
        if backend not in self.backends:
            return
        self.timeline.append(f"{now() - self.begin:6.2f} {backend.id} crashes under the part")
        self.backends.remove(backend)
        await backend.crash()
        await asyncio.sleep(self.random.uniform(0.5, 2))
        if self.random.random() < 0.5:
            await self.replace_backend(backend, backend.proxy.port)
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            self.store.remove("servers", backend.id)
            return
        self.store.remove("servers", backend.id)
        await self.replace_backend(backend)

    async def roll_out(self, service, fault):
        """Orders a new version of a service, as its operator does, and ends the servers that are not needed any more."""
        await asyncio.sleep(NEW_SERVERS_SECONDS)
        old = [backend for backend in self.backends if backend.service == service]
        version = "v2"
        rollout = Rollout(service, version, fault, now(), now() + ROLLOUT_SECONDS)
        version_fault = VersionFault(rollout, random.Random(self.random.getrandbits(32)))
        for i in range(self.server_counts[service]):
            backend = await self.add_backend(service, ZONES[i % len(ZONES)], version)
            backend.fault = version_fault
            rollout.servers.add(backend.id)
        new = [backend for backend in self.backends if backend.id in rollout.servers]
        await asyncio.sleep(self.random.uniform(*ROLLOUT_DELAY_RANGE_SECONDS))
        rollout.at = now()
        rollout.deadline = now() + ROLLOUT_SECONDS
        self.record.rollouts.append(rollout)
        self.timeline.append(f"{now() - self.begin:6.2f} order {service} {version}: {fault or 'sound'}")
        order = {"service": service, "to": version, "rolloutS": ROLLOUT_SECONDS}
        self.store.write("op", f"rollout/{service}", json.dumps(order))
        while now() < self.begin + self.seconds and math.inf == min(
                rollout.ended_at("completed"), rollout.ended_at("rolled_back")):
            await asyncio.sleep(0.005)
        if rollout.ended_at("completed") < math.inf:
            rollout.stopped_at = now()
            for backend in old:
                rollout.stopped_requests += [self.record.sent[id].host for id in backend.running if id]
                self.backends.remove(backend)
                self.store.remove("servers", backend.id)
                await backend.crash()
        elif rollout.ended_at("rolled_back") < math.inf:
            await asyncio.sleep(ROLLED_BACK_DRAIN_SECONDS)
            for backend in new:
                self.backends.remove(backend)
                backend.drain()
                self.record.drained_at[backend.id] = now()
            await asyncio.sleep(records.CHANGE_SECONDS)
            for backend in new:
                self.store.remove("servers", backend.id)
                await backend.crash()

    def on_status(self, key, value):
        service = key.removeprefix("rollout/")
        status = json.loads(value)
        self.timeline.append(f"{now() - self.begin:6.2f} status of {service}: {status}")
        for rollout in self.record.rollouts:
            if rollout.service == service:
                rollout.states.append((now(), status.get("to"), status.get("state")))

    async def roll_out_versions(self):
        """Orders new versions of all services beside faults of hosts."""
        self.store.on_status = self.on_status
        tasks = [asyncio.create_task(self.roll_out(service, faults[self.seed % len(faults)]))
                 for service, faults in VERSION_FAULTS.items()]
        await asyncio.sleep(FAULT_FREE_SECONDS)
        while now() < self.begin + self.seconds - FAULT_FREE_SECONDS:
            await asyncio.sleep(self.random.expovariate(1 / HOST_FAULT_INTERVAL_SECONDS))
            tasks.append(asyncio.create_task(self.inject_host_fault()))
        await asyncio.gather(*tasks)

    async def name_limits(self):
        """Lets a server name a limit for a while."""
        backend = self.random.choice(self.backends)
        if backend.limit:
            return
        per_second = self.random.choice([0.5, 1.0, 2.0, 5.0])
        seconds = self.random.uniform(records.CONTACT_SECONDS + 2, records.CONTACT_SECONDS + 8)
        self.timeline.append(f"{now() - self.begin:6.2f} {backend.id} names a limit of {per_second} for {seconds:.1f} s")
        await backend.name_limit(per_second, seconds)

    async def restore_store(self, age):
        """Replaces the store by a copy of itself from `age` seconds ago; its writers write again what they had."""
        while self.store.mode != "ok":
            await asyncio.sleep(0.05)
        own_rows = self.host_rows()
        seconds = self.random.uniform(0.2, 1.8)
        self.record_disturbance("restore", seconds + REWRITE_RANGE_SECONDS[1])
        self.timeline[-1] += f" from a copy {age:.1f} s old"
        restore = Span(now(), now() + seconds)
        self.record.restores.append(restore)
        await self.store.restore(age, seconds)
        restore.end = now()
        restored_rows = self.host_rows()
        lost = {host: value for host, value in own_rows.items() if restored_rows.get(host) != value}
        await asyncio.sleep(self.random.uniform(*REWRITE_RANGE_SECONDS))
        self.write_operators_rows()
        return asyncio.create_task(self.finish_restore(lost, restore.end))

    def host_rows(self):
        """Returns what hosts say of themselves; the value of a blocked part changes with each crash, so it is left out."""
        return {key: "blocked" if key.startswith("blocked-part/") else value
                for key, value in self.store.values("gateways").items()}

    def write_operators_rows(self):
        """Writes the rows of the operators that the store has not, and removes those that it should not have."""
        rows = {"config": self.configuration_text}
        if self.record.evacuations and self.record.evacuations[-1].end > now():
            rows[f"evacuate/{self.record.evacuations[-1].detail}"] = "{}"
        for key, value in rows.items():
            if self.store.values("op").get(key) != value:
                self.store.write("op", key, value)
        for key in set(self.store.values("op")) - set(rows):
            self.store.remove("op", key)

    async def finish_restore(self, lost, restored_at):
        await asyncio.sleep(MISSED_HEARTBEATS * HEARTBEAT_SECONDS)
        alive = {backend.id for backend in self.record.backends if not backend.heartbeat_task.cancelled()}
        for server in set(self.store.values("servers")) - alive:
            self.store.remove("servers", server)
        await asyncio.sleep(max(0.0, restored_at + OWN_ROW_SECONDS - now()))
        rows = self.host_rows()
        for host, value in lost.items():
            self.record.lost_rows.append(LostRow(host, restored_at, now(), rows.get(host) == value))

    async def restore_repeatedly(self):
        """Restores the store again and again, each time beside other events."""
        tasks = [await self.restore_store(now() - self.hosts_started_at)]
        await asyncio.sleep(OWN_ROW_SECONDS)
        kinds = []
        while now() < self.begin + self.seconds - FAULT_FREE_SECONDS - MINIMUM_KNOWN_SECONDS:
            await asyncio.sleep(self.random.uniform(0.3, 2))
            if not kinds:
                kinds = ["twice", "cut", "configuration"]
                self.random.shuffle(kinds)
                # The hosts must be in touch for longer in these, so they come first, in the order of the next choice.
                kinds += self.random.sample(["drain", "evacuation"], 2)
            kind = kinds.pop()
            self.timeline.append(f"{now() - self.begin:6.2f} restore, {kind}")
            age = self.random.uniform(1, 6)
            if kind == "twice":
                tasks.append(await self.restore_store(age))
                await asyncio.sleep(self.random.uniform(0.1, 2))
            elif kind == "cut":
                tasks.append(asyncio.create_task(self.cut_off_zone(self.random.choice(ZONES))))
                await asyncio.sleep(self.random.uniform(0, 2))
            elif kind == "configuration":
                await self.change_configuration()
                await asyncio.sleep(self.random.choice([0.0, 0.05, 0.3, 1.0]))
            elif kind == "drain":
                backend = self.random.choice(self.backends)
                tasks.append(asyncio.create_task(self.drain(backend, 2 * MINIMUM_KNOWN_SECONDS + 2)))
                await asyncio.sleep(MINIMUM_KNOWN_SECONDS)
                age = MINIMUM_KNOWN_SECONDS + self.random.uniform(1, 3)
            elif kind == "evacuation":
                tasks.append(asyncio.create_task(self.evacuate_zone(2 * MINIMUM_KNOWN_SECONDS + 2)))
                await asyncio.sleep(MINIMUM_KNOWN_SECONDS)
                age = MINIMUM_KNOWN_SECONDS + self.random.uniform(1, 3)
            tasks.append(await self.restore_store(age))
        await asyncio.gather(*tasks)

    async def cut_off_zone(self, zone):
        """Cuts the hosts of a zone off from the store; those of the other zones reach it."""
        seconds = self.random.uniform(2, 5)
        self.timeline.append(f"{now() - self.begin:6.2f} cut off {zone} for {seconds:.1f} s")
        for host in self.hosts:
            if host.zone == zone:
                self.record.store_cuts.append(Span(now(), now() + seconds, host.name))
        proxy = self.store_proxies[zone]
        proxy.is_refusing = True
        # Without an end, the hosts notice only that nothing arrives any more.
        if self.random.random() < 0.5:
            proxy.reset_open_connections()
        else:
            proxy.stall_open_connections()
        await asyncio.sleep(seconds)
        proxy.is_refusing = False
        proxy.reset_open_connections()

    async def pause_model_servers(self):
        """Lets servers send nothing for a while and then continue, on the same connections."""
        servers = [backend for backend in self.backends if backend.service == "model"
                   and now() > backend.paused_until + MINIMUM_SECONDS_BETWEEN_PAUSES]
        for backend in self.random.sample(servers, min(len(servers), self.random.randint(1, 2))):
            seconds = self.random.uniform(0.5, 2.5)
            self.timeline.append(f"{now() - self.begin:6.2f} pause {backend.id} for {seconds:.1f} s")
            backend.paused_until = now() + seconds

    async def change_configuration(self):
        if self.store.mode == "ok":
            self.timeline.append(f"{now() - self.begin:6.2f} configuration after {self.version}")
            self.write_configuration()

    async def evacuate_zone(self, seconds=0.0):
        if self.store.mode != "ok" or self.record.evacuations and self.record.evacuations[-1].end > now():
            return
        zone = self.random.choice(ZONES)
        self.timeline.append(f"{now() - self.begin:6.2f} evacuate {zone}")
        self.store.write("op", f"evacuate/{zone}", "{}")
        seconds = seconds or self.random.uniform(1, 8)
        self.record.evacuations.append(Span(now(), now() + seconds, "", zone))
        await asyncio.sleep(seconds)
        self.store.remove("op", f"evacuate/{zone}")

    async def repeat(self, fault):
        """Starts a fault again and again; they may overlap."""
        running = set()
        while now() < self.begin + self.seconds - FAULT_FREE_SECONDS:
            await asyncio.sleep(self.random.uniform(0.3, 2.5))
            running.add(asyncio.create_task(fault()))
        await asyncio.gather(*running)

    async def inject_faults(self):
        """Starts faults at random intervals; they may overlap."""
        if "rollouts" in self.troubles:
            return await self.roll_out_versions()
        running = set()
        if "restores" in self.troubles:
            running.add(asyncio.create_task(self.restore_repeatedly()))
        for trouble, fault in (("leaving", self.leave), ("quiet", self.ask_for_quiet), ("limits", self.name_limits)):
            if trouble in self.troubles:
                running.add(asyncio.create_task(self.repeat(fault)))
        await asyncio.sleep(FAULT_FREE_SECONDS)
        while now() < self.begin + self.seconds - FAULT_FREE_SECONDS:
            # Restores prove more if other store faults are rare, since these excuse hosts.
            store_weight = 0.2 if "restores" in self.troubles else 1
            fault = self.random.choices([self.inject_host_fault, self.inject_store_fault, self.inject_backend_fault,
                                         self.change_configuration, self.evacuate_zone, self.pause_model_servers],
                                        [3, store_weight, 4, 2, 1, 3])[0]
            running.add(asyncio.create_task(fault()))
            await asyncio.sleep(self.random.choice([0.05, 0.3, 1.0]))
        await asyncio.gather(*running)

    async def run(self):
        try:
            await self.start()
            callers = [asyncio.create_task(self.run_caller()) for _ in range(CALLER_COUNT)]
            if "crashing" in self.troubles:
                callers.append(asyncio.create_task(self.run_crashing_caller()))
            await self.inject_faults()
            await asyncio.gather(*callers)
            await asyncio.gather(*self.tasks)
        finally:
            for host in self.hosts:
                if host.is_running():
                    host.signal(signal.SIGCONT)
                    host.process.kill()
                    host.process.wait()
            for backend in self.backends:
                await backend.crash()
            for proxy in self.store_proxies.values():
                await proxy.stop()
            await self.store.stop()
        self.read_logs()
        return records.violations(self.record)

    def read_logs(self):
        for host in self.hosts:
            for line in (self.folder / f"{host.name}.log").read_text(errors="replace").splitlines():
                if '"event":"content_blocked"' in line:
                    self.record.blocked_parts.append((host.name, json.loads(line)["content"]))


def run_seed(seed, options, folder):
    server_versions = SERVER_VERSIONS if options.mixed_versions else SERVER_VERSIONS[:1]
    troubles = {name for name in TROUBLES if getattr(options, name)}
    soak = Soak(seed, options.seconds, options.hosts, server_versions, troubles, folder)
    violations = asyncio.run(soak.run())
    responses = soak.record.responses
    served = sum(1 for response in responses if 200 <= response.status < 300 and response.is_complete)
    print(f"seed {seed}: {len(responses)} requests, {served} served, {len(soak.timeline)} faults, "
          f"{len(violations)} violations", flush=True)
    for rollout in soak.record.rollouts:
        print(f"  {rollout.service} ({rollout.fault or 'sound'}): {rollout.states[-1][2] if rollout.states else 'no state'}"
              f", {len(rollout.bad_answers)} bad answers", flush=True)
    if violations:
        (folder / "timeline.txt").write_text("\n".join(soak.timeline) + "\n")
        counts = collections.Counter()
        for text in violations:
            name = text.partition(":")[0]
            counts[name] += 1
            if counts[name] <= SHOWN_VIOLATIONS:
                print(f"  {text}")
        print(f"  by check: {', '.join(f'{name} {count}' for name, count in counts.items())}")
    return not violations


def main():
    parser = argparse.ArgumentParser(description="Runs real gateway processes with randomly injected faults.")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 32), help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of consecutive seeds to run")
    parser.add_argument("--without", type=int, action="append", default=[], help="seed to leave out")
    parser.add_argument("--seconds", type=float, default=25, help="duration of a run in seconds")
    parser.add_argument("--hosts", type=int, default=5, help="number of gateway processes")
    parser.add_argument("--mixed-versions", action="store_true",
                        help="let model servers of two software versions serve side by side")
    for name, text in TROUBLES.items():
        parser.add_argument(f"--{name}", action="store_true", help=text)
    parser.add_argument("--keep", help="folder for the logs of seeds that fail")
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.runs):
        if seed in options.without:
            continue
        with tempfile.TemporaryDirectory() as folder:
            if not run_seed(seed, options, pathlib.Path(folder)):
                failed.append(seed)
                if options.keep:
                    kept = pathlib.Path(options.keep) / str(seed)
                    kept.parent.mkdir(parents=True, exist_ok=True)
                    pathlib.Path(folder).rename(kept)
                    pathlib.Path(folder).mkdir()
    if failed:
        print(f"soak: failed, seeds {failed}")
        return 1
    print("soak: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
