"""Fault tests of real entry processes on loopback; started by ctest, one case per run."""

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

RESPONSE_TIMEOUT_S = 20
# Longer than every lease and than the time without messages after which a host counts as failed.
FREEZE_DURATION_S = 12
LOOKUP = {"class": "fault-lookup", "team": "north-hospitals", "input": {"text": "dish 12 loses lock"}}
REPORT = {"class": "site-report", "team": "north-hospitals", "input": {"text": "report on dish 12"}}
DISPATCH = {"class": "dispatch", "team": "north-hospitals", "input": {"text": "send a crew"}}


class RequirementError(Exception):
    """A condition that the test requires does not hold."""


def require(condition, message):
    if not condition:
        raise RequirementError(message)


class Answer:
    """The response to one request: its status, and a document or events."""

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
    """Reads a text/event-stream response to its end and calls on_event for each event as it arrives."""
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


def send_request(port, body, headers=None, on_event=lambda event: None, is_stream=False):
    """Sends one request and waits for the complete response."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request_headers = {"Content-Type": "application/json"}
    if is_stream:
        request_headers["Accept"] = "text/event-stream"
    request_headers.update(headers or {})
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=RESPONSE_TIMEOUT_S)
    try:
        try:
            connection.request("POST", "/v1/requests", body=data, headers=request_headers)
        except (BrokenPipeError, ConnectionResetError):
            pass  # The server may refuse a body before it has read all of it; the response is still available.
        response = connection.getresponse()
        content_type = response.getheader("Content-Type", "")
        if content_type.startswith("text/event-stream"):
            events = read_events(response, on_event)
            document = json.loads(events[-1]["data"]) if events else {}
            return Answer(response.status, response.headers, document, events)
        text = response.read()
        return Answer(response.status, response.headers, json.loads(text) if text else {}, [])
    finally:
        connection.close()


def require_complete_stream(answer):
    """Requires token offsets from 0 without gaps or repeats, then one answer event as the last event."""
    names = [event.get("event") for event in answer.events]
    require(names and names[-1] == "answer", f"the last event is {names[-1:]}, expected answer: {answer}")
    tokens = answer.events[:-1]
    require(all(event.get("event") == "token" for event in tokens), f"events {names}, expected tokens, then an answer")
    offsets = [int(event["id"]) for event in tokens]
    require(offsets == list(range(len(offsets))), f"token offsets {offsets}, expected 0 to {len(offsets) - 1}")
    require(len(offsets) > 0, "the stream has no token")
    text = "".join(json.loads(event["data"])["text"] for event in tokens)
    require(answer.document["output"].get("text", text) == text, "the tokens differ from the answer's text")


def require_server_limits(cluster, is_saturated=False):
    """Requires that no server exceeded its limit; under saturating load at least one must have reached it."""
    limits_reached = 0
    limits = {server["id"]: server for server in cluster.inventory["servers"]}
    for server, record in cluster.records().items():
        for warmth in ("cold", "warm"):
            maximum_in_flight = record[f"maximum_in_flight_{warmth}"]
            limit = limits[server][f"{warmth}_limit"]
            if maximum_in_flight > limit:
                print_overlapping_runs(server, record["runs"], limit)
            require(
                maximum_in_flight <= limit,
                f"{server} had {maximum_in_flight} concurrent calls while {warmth}, limit {limit}"
            )
            limits_reached += maximum_in_flight == limit
    print(f"{limits_reached} limits were reached")
    require(limits_reached > 0 or not is_saturated, "no server reached its limit, so the limits were not tested")


def print_overlapping_runs(server, runs, limit):
    """Prints the overlapping executions wherever more than `limit` ran, to find the hosts that sent them."""
    for run in sorted(runs, key=lambda run: run["start_ms"]):
        overlapping = [other for other in runs if other["start_ms"] <= run["start_ms"] < other["end_ms"]]
        if len(overlapping) > limit:
            print(f"{server} at {run['start_ms']} ms: {json.dumps(overlapping)}", file=sys.stderr)


def require_correct_outcomes(cluster, answers):
    """Requires no execution of requests reported not run, and at most one per idempotency key."""
    runs = [run for record in cluster.records().values() for run in record["runs"]]
    requests = {run["request"] for run in runs}
    for answer in answers:
        if answer.outcome == "not_run":
            request = answer.document.get("request", "")
            require(not request or request not in requests, f"{request} was reported not run but ran")
    keys = [run["idempotency_key"] for run in runs if run["idempotency_key"]]
    require(len(keys) == len(set(keys)), "a call with an idempotency key ran twice")


class ClosedLoopLoad:
    """Concurrent callers that each send the next request as soon as the last one is answered, until stopped."""

    def __init__(self, ports, body, callers):
        self.answers = []
        self.errors = []
        self._is_stopped = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(callers)
        self._jobs = [self._pool.submit(self._send_repeatedly, ports[i % len(ports)], body) for i in range(callers)]

    def _send_repeatedly(self, port, body):
        while not self._is_stopped.is_set():
            try:
                self.answers.append(send_request(port, body))
            except (OSError, http.client.HTTPException) as error:
                self.errors.append(error)
                self._is_stopped.wait(0.05)

    def done(self):
        return sum(1 for answer in self.answers if answer.outcome == "done")

    def stop(self):
        self._is_stopped.set()
        concurrent.futures.wait(self._jobs)
        self._pool.shutdown()


def bad_input(cluster):
    port = cluster.caller_ports[0]
    key = {"Idempotency-Key": "bad-input-1"}
    cases = [
        ("malformed JSON", b'{"class": ', {}, 400, "malformed"),
        ("invalid UTF-8", b'{"class": "\xff\xfe"}', {}, 400, "malformed"),
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
    for name, body, headers, status, problem_type in cases:
        try:
            answer = send_request(port, body, headers)
        except (OSError, http.client.HTTPException, ValueError) as error:
            failures.append(f"{name}: {error!r}")
            continue
        if (answer.status, answer.type, answer.outcome) != (status, problem_type, "not_run"):
            failures.append(f"{name}: {answer}, expected {status} {problem_type} not_run")
    require(not failures, "; ".join(failures))
    injected = send_request(port, {**LOOKUP, "team": "a\r\nX-Priority: 0\r\nX-Evil: 1"})
    require(injected.outcome in ("done", "not_run"), f"line breaks in the team name: {injected}")
    first, second = send_twice_concurrently(port, DISPATCH, key)
    # "not_run" would be false for the second request, since the first one is running the same dispatch.
    refused = first if first.type else second
    require({first.outcome, second.outcome} == {"done", "unknown"}, f"one key, two requests: {first} {second}")
    require((refused.status, refused.type) == (409, "duplicate_in_flight"), f"one key, two requests: {refused}")
    # The host stores the result of the first request after it has sent the answer.
    wait_until(lambda: send_request(port, DISPATCH, key).outcome == "done", "a repeated request with the key")
    repeated = send_request(port, {**DISPATCH, "input": {"text": "another"}}, key)
    require(repeated.type == "key_reused_for_other_request", f"the key reused for another request: {repeated}")
    require_correct_outcomes(cluster, [])
    good = send_request(port, LOOKUP, is_stream=True)
    require_complete_stream(good)


def send_twice_concurrently(port, body, headers):
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        jobs = [pool.submit(send_request, port, body, headers) for _ in range(2)]
        return [job.result() for job in jobs]


def silent_connection(cluster):
    """All open connections to the engines stop sending in mid-stream; new connections work."""
    engine_ids = [server["id"] for server in cluster.inventory["servers"] if server["service"] == "llm"]
    is_silenced = threading.Event()

    def silence(event):
        if event.get("event") != "token" or int(event["id"]) < 3 or is_silenced.is_set():
            return
        is_silenced.set()
        for engine in engine_ids:
            cluster.set_faults(engine, silent_connections=True)

    answer = send_request(cluster.caller_ports[0], {**REPORT, "deadline_ms": 10000}, on_event=silence, is_stream=True)
    require(is_silenced.is_set(), "the stream sent no token with offset 3 or more")
    require_complete_stream(answer)
    attempts = answer.document["trace"][-1]["attempts"]
    require(attempts >= 2, f"the last stage took {attempts} attempts, expected at least 2")
    require_server_limits(cluster)


def graceful_stop(cluster):
    """Two SIGTERMs in mid-stream do not interrupt the stream."""
    entry = cluster.entries[0]
    process = cluster.processes[entry["host"]]

    def terminate(event):
        if event.get("event") == "token" and event["id"] in ("2", "6"):
            process.send_signal(signal.SIGTERM)
        if event.get("event") == "token" and event["id"] == "9":
            require(get(entry["callers"]["port"], "/readyz") is None, "still ready after SIGTERM")

    answer = send_request(entry["callers"]["port"], REPORT, on_event=terminate, is_stream=True)
    require_complete_stream(answer)
    require(len(answer.events) > 10, f"the stream has {len(answer.events)} events, expected more than 10")
    code = process.wait(timeout=deployment.STOP_TIMEOUT_S)
    require(code == 0, f"exit code {code}, expected 0")
    del cluster.processes[entry["host"]]
    for port in cluster.caller_ports[1:]:
        require_complete_stream(send_request(port, LOOKUP, is_stream=True))
    require_server_limits(cluster)


def killed_host(cluster):
    """SIGKILL of one host in mid-stream: the other hosts keep serving within the limits."""
    entry = cluster.entries[0]
    process = cluster.processes.pop(entry["host"])
    others = [port for port in cluster.caller_ports if port != entry["callers"]["port"]]
    load = ClosedLoopLoad(others, LOOKUP, callers=50)
    wait_until(lambda: load.done() >= 12, "load before the kill")

    def kill(event):
        if event.get("event") == "token" and event["id"] == "2":
            process.send_signal(signal.SIGKILL)

    try:
        answer = send_request(entry["callers"]["port"], REPORT, on_event=kill, is_stream=True)
        last_event = answer.events[-1].get("event") if answer.events else None
    except (OSError, http.client.HTTPException, ValueError):
        last_event = None
    process.wait(timeout=deployment.STOP_TIMEOUT_S)
    before = load.done()
    wait_until(lambda: load.done() >= before + 100, "load after the kill")
    load.stop()
    require(last_event != "answer", "the killed host completed its stream")
    require(not load.errors, f"connections to the other hosts failed: {load.errors[:3]}")
    require_correct_outcomes(cluster, load.answers)
    require_server_limits(cluster, is_saturated=True)


def full_load(cluster):
    """Saturating load without faults."""
    load = ClosedLoopLoad(cluster.caller_ports, LOOKUP, callers=50)
    wait_until(lambda: load.done() >= 100, "load")
    load.stop()
    require(not load.errors, f"connections to hosts failed: {load.errors[:3]}")
    require_correct_outcomes(cluster, load.answers)
    require_server_limits(cluster, is_saturated=True)


def frozen_host(cluster):
    """SIGSTOP for longer than every lease, then SIGCONT: the limits hold throughout."""
    entry = cluster.entries[0]
    process = cluster.processes[entry["host"]]
    others = [port for port in cluster.caller_ports if port != entry["callers"]["port"]]
    load = ClosedLoopLoad(others, LOOKUP, callers=50)
    frozen_host_load = ClosedLoopLoad([entry["callers"]["port"]], LOOKUP, callers=15)
    wait_until(lambda: frozen_host_load.done() >= 12 and load.done() >= 12, "load before the freeze")
    process.send_signal(signal.SIGSTOP)
    end = time.monotonic() + FREEZE_DURATION_S
    before = load.done()
    wait_until(lambda: time.monotonic() > end, "freeze", FREEZE_DURATION_S + 5)
    process.send_signal(signal.SIGCONT)
    answered_while_frozen = load.done() - before
    after = frozen_host_load.done()
    wait_until(lambda: frozen_host_load.done() >= after + 10, "answers of the resumed host")
    frozen_host_load.stop()
    load.stop()
    require(answered_while_frozen > 50, f"{answered_while_frozen} answers of other hosts during the stop, expected over 50")
    require(not load.errors, f"connections to the other hosts failed: {load.errors[:3]}")
    require_correct_outcomes(cluster, load.answers + frozen_host_load.answers)
    require_server_limits(cluster, is_saturated=True)


CASES = {
    "full_load": full_load,
    "bad_input": bad_input,
    "silent_connection": silent_connection,
    "graceful_stop": graceful_stop,
    "killed_host": killed_host,
    "frozen_host": frozen_host,
}


def print_logs(folder):
    for log in sorted(folder.glob("*.log")):
        text = log.read_text()
        if text:
            print(f"-- {log.name}\n{text[-1500:]}", file=sys.stderr)


def main(name):
    with tempfile.TemporaryDirectory(prefix="lovagecleat-process-") as folder:
        target = pathlib.Path(folder)
        deployment.copy_deployment(deployment.ROOT / "deployments" / "qureshi", target)
        cluster = Deployment(target)
        try:
            cluster.start()
            CASES[name](cluster)
        except Exception:
            print_logs(target)
            raise
        finally:
            failures = cluster.stop()
        require(not failures, "; ".join(failures))
    print(f"{name}: ok")


if __name__ == "__main__":
    main(sys.argv[1])
