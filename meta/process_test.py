"""Failure tests of real entry processes on loopback; started by ctest, one case a run."""

import concurrent.futures
import http.client
import json
import os
import pathlib
import signal
import sys
import tempfile
import threading
import time

import deployment
from deployment import ADDRESS, Deployment, get, wait_until

ANSWER_SECONDS = 20
# Longer than every lease and than the time after which a host counts as silent.
FREEZE_SECONDS = 12
LOOKUP = {"class": "fault-lookup", "team": "north-hospitals", "input": {"text": "dish 12 loses lock"}}
REPORT = {"class": "site-report", "team": "north-hospitals", "input": {"text": "report on dish 12"}}
DISPATCH = {"class": "dispatch", "team": "north-hospitals", "input": {"text": "send a crew"}}


class CaseError(Exception):
    """Something that must hold did not."""


def require(holds, what):
    if not holds:
        raise CaseError(what)


class Answer:
    """What came back for one request: a status, and a document or events."""

    def __init__(self, status, headers, document, events):
        self.status = status
        self.headers = headers
        self.document = document
        self.events = events

    @property
    def outcome(self):
        return self.document.get("outcome") if isinstance(self.document, dict) else None

    @property
    def type(self):
        return self.document.get("type", "").removeprefix("urn:lovagecleat:") if isinstance(self.document, dict) else ""

    def __str__(self):
        return f"{self.status} {json.dumps(self.document)[:300]}"


def read_events(response, on_event):
    """Reads a text/event-stream answer to its end; tells of each event as it comes."""
    events = []
    event = {}
    for raw in response:
        line = raw.decode().rstrip("\r\n")
        if not line:
            if event:
                events.append(event)
                on_event(event)
            event = {}
            continue
        name, _, value = line.partition(": ")
        event[name] = value
    return events


def ask(port, body, headers=None, on_event=lambda event: None, is_stream=False):
    """Sends one request and waits for its whole answer."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = {"Content-Type": "application/json"}
    if is_stream:
        fields["Accept"] = "text/event-stream"
    fields.update(headers or {})
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=ANSWER_SECONDS)
    try:
        try:
            connection.request("POST", "/v1/requests", body=data, headers=fields)
        except (BrokenPipeError, ConnectionResetError):
            pass  # A server may refuse a body before it has taken all of it; its answer is there.
        response = connection.getresponse()
        kind = response.getheader("Content-Type", "")
        if kind.startswith("text/event-stream"):
            events = read_events(response, on_event)
            document = json.loads(events[-1]["data"]) if events else {}
            return Answer(response.status, response.headers, document, events)
        text = response.read()
        return Answer(response.status, response.headers, json.loads(text) if text else {}, [])
    finally:
        connection.close()


def require_whole_stream(answer):
    """Offsets from 0 without gaps or repeats, then one answer, and nothing after it."""
    names = [event.get("event") for event in answer.events]
    require(names and names[-1] == "answer", f"the stream ends with {names[-1:]}: {answer}")
    tokens = answer.events[:-1]
    require(all(event.get("event") == "token" for event in tokens), f"events {names}")
    offsets = [int(event["id"]) for event in tokens]
    require(offsets == list(range(len(offsets))), f"offsets {offsets}")
    require(len(offsets) > 0, "no token")
    text = "".join(json.loads(event["data"])["text"] for event in tokens)
    require(answer.document["output"].get("text", text) == text, "the tokens do not add up to the text")


def require_server_limits(one, is_saturated=False):
    """Under saturating load at least one server must also have been filled to its limit."""
    filled = 0
    limits = {server["id"]: server for server in one.inventory["servers"]}
    for server, record in one.records().items():
        for warmth in ("cold", "warm"):
            seen = record[f"maximum_in_flight_{warmth}"]
            limit = limits[server][f"{warmth}_limit"]
            if seen > limit:
                show_busiest(server, record["runs"], limit)
            require(seen <= limit, f"{server} had {seen} calls at once while {warmth}, its limit is {limit}")
            filled += seen == limit
    print(f"{filled} limits were reached")
    require(filled > 0 or not is_saturated, "no server was ever filled, so the limits were not tested")


def show_busiest(server, runs, limit):
    """The executions around each moment at which more than `limit` ran, to find out whose they were."""
    for run in sorted(runs, key=lambda run: run["start_ms"]):
        at_once = [other for other in runs if other["start_ms"] <= run["start_ms"] < other["end_ms"]]
        if len(at_once) > limit:
            print(f"{server} at {run['start_ms']} ms: {json.dumps(at_once)}", file=sys.stderr)


def require_truthful(one, answers):
    """What was called not run has no execution; every key has at most one."""
    runs = [run for record in one.records().values() for run in record["runs"]]
    requests = {run["request"] for run in runs}
    for answer in answers:
        if answer.outcome == "not_run":
            request = answer.document.get("request", "")
            require(not request or request not in requests, f"{request} was called not run, but ran")
    keys = [run["idempotency_key"] for run in runs if run["idempotency_key"]]
    require(len(keys) == len(set(keys)), "a call with a key ran twice")


class Load:
    """Callers that ask without pause until they are stopped."""

    def __init__(self, ports, body, callers):
        self.answers = []
        self.errors = []
        self._is_stopped = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(callers)
        self._jobs = [self._pool.submit(self._ask_on, ports[i % len(ports)], body) for i in range(callers)]

    def _ask_on(self, port, body):
        while not self._is_stopped.is_set():
            try:
                self.answers.append(ask(port, body))
            except (OSError, http.client.HTTPException) as error:
                self.errors.append(error)
                self._is_stopped.wait(0.05)

    def done(self):
        return sum(1 for answer in self.answers if answer.outcome == "done")

    def stop(self):
        self._is_stopped.set()
        concurrent.futures.wait(self._jobs)
        self._pool.shutdown()


def bad_input(one):
    port = one.caller_ports[0]
    key = {"Idempotency-Key": "bad-input-1"}
    cases = [
        ("malformed JSON", b'{"class": ', {}, 400, "malformed"),
        ("no UTF-8", b'{"class": "\xff\xfe"}', {}, 400, "malformed"),
        ("empty body", b"", {}, 400, "malformed"),
        ("an array", b"[1]", {}, 400, "malformed"),
        ("deep nesting", b'{"input": ' + b"[" * 100000 + b"]" * 100000 + b"}", {}, 400, "malformed"),
        ("oversize body", b" " * 300_000, {}, 413, "body_too_large"),
        ("far oversize body", b" " * 6_000_000, {}, 413, "body_too_large"),
        ("no team", {"class": "fault-lookup", "input": {}}, {}, 400, "malformed"),
        ("no input", {"class": "fault-lookup", "team": "a"}, {}, 400, "malformed"),
        ("class of a wrong type", {**LOOKUP, "class": 7}, {}, 400, "malformed"),
        ("unknown key", {**LOOKUP, "weight": 1}, {}, 400, "malformed"),
        ("unknown class", {**LOOKUP, "class": "no-such"}, {}, 404, "unknown_class"),
        ("deadline of a wrong type", {**LOOKUP, "deadline_ms": "soon"}, {}, 400, "malformed"),
        ("fractional deadline", {**LOOKUP, "deadline_ms": 100.5}, {}, 400, "malformed"),
        ("zero deadline", {**LOOKUP, "deadline_ms": 0}, {}, 400, "deadline_out_of_range"),
        ("negative deadline", {**LOOKUP, "deadline_ms": -(2**62)}, {}, 400, "deadline_out_of_range"),
        ("short deadline", {**LOOKUP, "deadline_ms": 49}, {}, 400, "deadline_out_of_range"),
        ("long deadline", {**LOOKUP, "deadline_ms": 10001}, {}, 400, "deadline_out_of_range"),
        ("absurd deadline", {**LOOKUP, "deadline_ms": 2**63}, {}, 400, "deadline_out_of_range"),
        ("no key", DISPATCH, {}, 400, "missing_idempotency_key"),
        ("overlong key", DISPATCH, {"Idempotency-Key": "k" * 129}, 400, "malformed"),
        ("long header", LOOKUP, {"X-Long": "x" * 20000}, 431, "headers_too_large"),
    ]
    failures = []
    for name, body, headers, status, kind in cases:
        try:
            answer = ask(port, body, headers)
        except (OSError, http.client.HTTPException, ValueError) as error:
            failures.append(f"{name}: {error!r}")
            continue
        if (answer.status, answer.type, answer.outcome) != (status, kind, "not_run"):
            failures.append(f"{name}: {answer}, expected {status} {kind} not_run")
    require(not failures, "; ".join(failures))
    injected = ask(port, {**LOOKUP, "team": "a\r\nX-Priority: 0\r\nX-Evil: 1"})
    require(injected.outcome in ("done", "not_run"), f"line ends in a team's name: {injected}")
    first, second = ask_twice_at_once(port, DISPATCH, key)
    # "Not run" of the second would be untrue of the dispatch, which the first is running.
    refused = first if first.type else second
    require({first.outcome, second.outcome} == {"done", "unknown"}, f"one key twice: {first} {second}")
    require((refused.status, refused.type) == (409, "duplicate_in_flight"), f"one key twice: {refused}")
    # The record of the first is written after its answer is given.
    wait_until(lambda: ask(port, DISPATCH, key).outcome == "done", "the key once more")
    repeated = ask(port, {**DISPATCH, "input": {"text": "another"}}, key)
    require(repeated.type == "key_reused_for_other_request", f"a key for another request: {repeated}")
    require_truthful(one, [])
    good = ask(port, LOOKUP, is_stream=True)
    require_whole_stream(good)


def ask_twice_at_once(port, body, headers):
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        jobs = [pool.submit(ask, port, body, headers) for _ in range(2)]
        return [job.result() for job in jobs]


def silent_connection(one):
    """All open connections to the engines go silent in mid-stream; new ones work."""
    engines = [server["id"] for server in one.inventory["servers"] if server["service"] == "llm"]
    is_silenced = threading.Event()

    def silence(event):
        if event.get("event") != "token" or int(event["id"]) < 3 or is_silenced.is_set():
            return
        is_silenced.set()
        for engine in engines:
            one.control(engine, silent_connections=True)

    answer = ask(one.caller_ports[0], {**REPORT, "deadline_ms": 10000}, on_event=silence, is_stream=True)
    require(is_silenced.is_set(), "no token came")
    require_whole_stream(answer)
    tries = answer.document["trace"][-1]["attempts"]
    require(tries >= 2, f"the answer came in {tries} attempt")
    require_server_limits(one)


def graceful_stop(one):
    """SIGTERM in mid-stream, and a second one, leave the stream whole."""
    entry = one.entries[0]
    process = one.processes[entry["host"]]

    def terminate(event):
        if event.get("event") == "token" and event["id"] in ("2", "6"):
            process.send_signal(signal.SIGTERM)
        if event.get("event") == "token" and event["id"] == "9":
            require(get(entry["callers"]["port"], "/readyz") is None, "still ready after SIGTERM")

    answer = ask(entry["callers"]["port"], REPORT, on_event=terminate, is_stream=True)
    require_whole_stream(answer)
    require(len(answer.events) > 10, "the stream was too short to be cut")
    code = process.wait(timeout=deployment.STOP_SECONDS)
    require(code == 0, f"exit code {code}")
    del one.processes[entry["host"]]
    for port in one.caller_ports[1:]:
        require_whole_stream(ask(port, LOOKUP, is_stream=True))
    require_server_limits(one)


def killed_host(one):
    """SIGKILL of one host in mid-stream: the others serve on, within the limits."""
    entry = one.entries[0]
    process = one.processes.pop(entry["host"])
    others = [port for port in one.caller_ports if port != entry["callers"]["port"]]
    load = Load(others, LOOKUP, callers=50)
    wait_until(lambda: load.done() >= 12, "load before the kill")

    def kill(event):
        if event.get("event") == "token" and event["id"] == "2":
            process.send_signal(signal.SIGKILL)

    try:
        answer = ask(entry["callers"]["port"], REPORT, on_event=kill, is_stream=True)
        last = answer.events[-1].get("event") if answer.events else None
    except (OSError, http.client.HTTPException, ValueError):
        last = None
    process.wait(timeout=deployment.STOP_SECONDS)
    before = load.done()
    wait_until(lambda: load.done() >= before + 100, "load after the kill")
    load.stop()
    require(last != "answer", "the killed host answered")
    require(not load.errors, f"other hosts broke off: {load.errors[:3]}")
    require_truthful(one, load.answers)
    require_server_limits(one, is_saturated=True)


def full_load(one):
    """Saturating load without any fault."""
    load = Load(one.caller_ports, LOOKUP, callers=50)
    wait_until(lambda: load.done() >= 100, "load")
    load.stop()
    require(not load.errors, f"hosts broke off: {load.errors[:3]}")
    require_truthful(one, load.answers)
    require_server_limits(one, is_saturated=True)


def frozen_host(one):
    """SIGSTOP past every lease, then SIGCONT: the limits hold all along."""
    entry = one.entries[0]
    process = one.processes[entry["host"]]
    others = [port for port in one.caller_ports if port != entry["callers"]["port"]]
    load = Load(others, LOOKUP, callers=50)
    own = Load([entry["callers"]["port"]], LOOKUP, callers=15)
    wait_until(lambda: own.done() >= 12 and load.done() >= 12, "load before the freeze")
    process.send_signal(signal.SIGSTOP)
    end = time.monotonic() + FREEZE_SECONDS
    before = load.done()
    wait_until(lambda: time.monotonic() > end, "freeze", FREEZE_SECONDS + 5)
    process.send_signal(signal.SIGCONT)
    while_frozen = load.done() - before
    after = own.done()
    wait_until(lambda: own.done() >= after + 10, "the woken host serves again")
    own.stop()
    load.stop()
    require(while_frozen > 50, f"{while_frozen} answers elsewhere while one host was frozen")
    require(not load.errors, f"other hosts broke off: {load.errors[:3]}")
    require_truthful(one, load.answers + own.answers)
    require_server_limits(one, is_saturated=True)


CASES = {
    "full_load": full_load,
    "bad_input": bad_input,
    "silent_connection": silent_connection,
    "graceful_stop": graceful_stop,
    "killed_host": killed_host,
    "frozen_host": frozen_host,
}


def show_logs(folder):
    for log in sorted(folder.glob("*.log")):
        text = log.read_text()
        if text:
            print(f"-- {log.name}\n{text[-1500:]}", file=sys.stderr)


def main(name, base_port):
    with tempfile.TemporaryDirectory(prefix="lovagecleat-process-") as folder:
        target = pathlib.Path(folder)
        deployment.place(deployment.ROOT / "deployments" / "qureshi", target, base_port)
        one = Deployment(target)
        try:
            one.start()
            CASES[name](one)
        except Exception:
            show_logs(target)
            raise
        finally:
            failures = one.stop()
        require(not failures, "; ".join(failures))
    print(f"{name}: ok")


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
