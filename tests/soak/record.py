"""Records the events of a soak run and checks them for violations. Does no I/O, so that unit tests can use it."""

import collections
import dataclasses
import math

# Limits from the settings of the gateways; the checks use the same values.
CHANGE_SECONDS = 2.0
CONTACT_SECONDS = 3.0
COLD_FACTOR = 1.5
COLD_SLACK = 5
RETRY_RATIO = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_SECONDS = 10.0
EVACUATION_SECONDS = 5.0
# A connection may end without an answer within this time if the request crossed its close.
LOSS_SLACK_SECONDS = 0.2
# Later in its time limit, a request may be given up.
GUARDED_SHARE_OF_TIME_LIMIT = 0.7
# From this many streams that were taken up again on, the share that goes on is checked.
MINIMUM_RESUMED_STREAMS = 12
RESUMED_SHARE = 0.5
# With these statuses the request has not run and will not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}


@dataclasses.dataclass
class SentRequest:
    """A request as a caller sent it."""

    id: str
    kind: str  # "unsafe", "safe", "stream" or "probe"
    host: str
    incarnation: int
    at: float
    time_limit: float = 3.0  # the deadline or the shortest time limit of its route
    attempts: int = 2  # servers on which its route lets it run
    resumes: str = ""  # the request that brought the first event of the stream
    resumed_after: int = 0  # number of the last event that the caller has
    begun_at_version: str = ""  # software version of the server that began the stream


@dataclasses.dataclass
class Execution:
    """The start of an execution of a request on a backend server."""

    id: str
    server: str
    at: float
    is_repeatable: bool
    resumed_after: int = 0


@dataclasses.dataclass
class Arrival:
    """The arrival of a request at a backend server, whether it was executed or not."""

    id: str
    server: str
    service: str
    host: str
    at: float
    sent_at: float


@dataclasses.dataclass
class Response:
    """The response to a request; `status` is 0 if the connection ended before the response head."""

    id: str
    kind: str
    host: str
    incarnation: int
    at: float
    status: int = 0
    is_complete: bool = False  # complete by the framing of HTTP
    owner: str = ""  # ID of the request that the body names
    is_body_intact: bool = False
    events: list = dataclasses.field(default_factory=list)
    had_server_fault: bool = False
    version_seen: int = 0
    versions: list = dataclasses.field(default_factory=list)  # the software version of the server of each event
    is_left: bool = False  # the caller closed the connection before the end of the response
    is_cut: bool = False  # the gateway ended the connection before the end of the response


@dataclasses.dataclass
class Span:
    """A period with a fault or an operation; `host` is empty if it affects all hosts."""

    begin: float
    end: float
    host: str = ""
    detail: str = ""


@dataclasses.dataclass
class ServerRun:
    """The time in which a model server accepts streams, according to the store."""

    server: str
    version: str
    begin: float
    end: float = math.inf


class Record:
    def __init__(self):
        self.sent = {}
        self.executions = []
        self.arrivals = []
        self.responses = []
        self.disturbances = []
        self.graceful_stops = []  # spans
        self.drained_at = {}  # server to the time at which the store acknowledged its draining state
        self.evacuations = []  # spans; `detail` is the zone
        self.zone_of = {}  # server to zone
        self.cold_starts = []  # (server, begin, end, requests per second)
        self.versions = []  # (time of acknowledgement, configuration version)
        self.server_runs = []
        self.server_faults = set()  # requests whose response a server truncated
        self.interrupted = set()  # requests in progress at a server that ended or lost its connections
        self.backends = []
        self.mixed_inputs = []  # descriptions of stage inputs that don't belong to the request

    def is_disturbed(self, host, begin, end):
        return any(
            span.begin - CONTACT_SECONDS < end and begin < span.end + CONTACT_SECONDS and span.host in ("", host)
            for span in self.disturbances
        )

    def is_left_alone(self, host, begin, end):
        """Returns whether the host was not killed, frozen or stopped; faults of its environment don't count."""
        is_faulty = any(
            span.begin - CONTACT_SECONDS < end and begin < span.end + CONTACT_SECONDS and span.host == host
            for span in self.disturbances
        )
        return not is_faulty and not any(
            span.begin < end and begin < span.end and span.host == host for span in self.graceful_stops
        )


def check_at_most_once(record):
    servers_of = {}
    for execution in record.executions:
        if not execution.is_repeatable:
            servers_of.setdefault(execution.id, []).append(execution.server)
    return [
        f"request {id} was executed {len(servers)} times, on {servers}; expected at most once"
        for id, servers in servers_of.items()
        if len(servers) > 1
    ]


def check_not_run(record):
    executed = {execution.id for execution in record.executions if not execution.is_repeatable}
    return [
        f"request {response.id} got status {response.status} (not executed), but was executed"
        for response in record.responses
        if response.status in NOT_RUN_STATUSES and response.id in executed
    ]


def check_answers(record):
    failures = []
    for response in record.responses:
        if not (200 <= response.status < 300 and response.is_complete):
            continue
        if response.owner != response.id:
            failures.append(f"request {response.id} got the response to request {response.owner or '(none)'}")
        elif not response.is_body_intact:
            failures.append(f"request {response.id} got a complete response with a truncated or altered body")
    return failures


def check_streams(record):
    failures = []
    for response in record.responses:
        if response.kind != "stream" or not response.events:
            continue
        begin = record.sent[response.id].resumed_after + 1
        if response.events != list(range(begin, begin + len(response.events))):
            failures.append(f"stream {response.id} has events {response.events}, expected {begin} and those after it")
    return failures


def check_versions(record):
    """A stream holds events of one software version, also if its caller takes it up again."""
    versions = {}
    for response in record.responses:
        versions.setdefault(record.sent[response.id].resumes or response.id, set()).update(response.versions)
    mixed = [f"{id} ({', '.join(sorted(found))})" for id, found in versions.items() if len(found) > 1]
    if not mixed:
        return []
    return [f"{len(mixed)} streams have events of several software versions, such as {', '.join(mixed[:3])}"]


def check_resumed(record):
    """Streams that callers take up again go on about as often as new ones begin."""

    def is_evacuated(server, begin, end):
        return any(
            span.detail == record.zone_of.get(server) and span.begin < end and begin < span.end + CHANGE_SECONDS
            for span in record.evacuations
        )

    def count_servers(version, begin, end):
        return sum(
            run.version == version
            and run.begin + CHANGE_SECONDS < begin
            and end < run.end
            and not is_evacuated(run.server, begin, end)
            for run in record.server_runs
        )

    begun = []
    resumed = []
    for response in record.responses:
        sent = record.sent[response.id]
        if (
            response.kind != "stream"
            or record.is_disturbed(sent.host, sent.at, response.at)
            or not record.is_left_alone(sent.host, sent.at, response.at)
        ):
            continue
        if not sent.resumes:
            begun.append(bool(response.events))
        elif count_servers(sent.begun_at_version, sent.at, response.at) >= 2:
            resumed.append(bool(response.events))
    if len(resumed) < MINIMUM_RESUMED_STREAMS or sum(resumed) * len(begun) >= RESUMED_SHARE * sum(begun) * len(resumed):
        return []
    return [
        f"{sum(resumed)} of {len(resumed)} streams that were taken up again went on, "
        f"while {sum(begun)} of {len(begun)} new streams began"
    ]


def check_leaving(record):
    return [
        f"request {arrival.id} reached {arrival.server} "
        f"{arrival.at - record.drained_at[arrival.server]:.2f} s after it started to drain"
        for arrival in record.arrivals
        if arrival.server in record.drained_at
        and arrival.at > record.drained_at[arrival.server] + CHANGE_SECONDS
        and not record.is_disturbed(arrival.host, record.drained_at[arrival.server], arrival.at)
    ]


def check_evacuations(record):
    failures = []
    for span in record.evacuations:
        for arrival in record.arrivals:
            if (
                record.zone_of.get(arrival.server) == span.detail
                and span.begin + EVACUATION_SECONDS < arrival.at < span.end
                and not record.is_disturbed(arrival.host, span.begin, arrival.at)
            ):
                failures.append(f"request {arrival.id} reached {arrival.server} in evacuated zone {span.detail}")
    return failures


def check_cold(record):
    failures = []
    for server, begin, end, per_second in record.cold_starts:
        limit = per_second * COLD_FACTOR + COLD_SLACK
        times = sorted(a.at for a in record.arrivals if a.server == server and begin <= a.at < end)
        window_begin = 0
        for window_end, at in enumerate(times):
            while at - times[window_begin] >= 1.0:
                window_begin += 1
            if window_end - window_begin + 1 > limit:
                failures.append(
                    f"cold server {server} got {window_end - window_begin + 1} requests within 1 s, limit {limit:.0f}"
                )
                break
    return failures


def check_configuration(record):
    """Within a process, versions never decrease, and a new version is in force within CHANGE_SECONDS."""
    failures = []
    observed = {}
    for response in sorted(record.responses, key=lambda a: record.sent[a.id].at):
        if response.kind != "probe" or not response.version_seen:
            continue
        process = (response.host, response.incarnation)
        sent_at = record.sent[response.id].at
        for seen_at, version in observed.get(process, []):
            if seen_at < sent_at and response.version_seen < version:
                failures.append(
                    f"host {response.host} went back from configuration version {version} to {response.version_seen}"
                )
                break
        observed.setdefault(process, []).append((response.at, response.version_seen))
        for acknowledged_at, version in record.versions:
            if (
                sent_at > acknowledged_at + CHANGE_SECONDS
                and response.version_seen < version
                and not record.is_disturbed(response.host, acknowledged_at, sent_at)
            ):
                failures.append(
                    f"host {response.host} used version {response.version_seen}, expected {version} or later"
                )
                break
    return failures


def check_stops(record):
    """A graceful stop completes every request that the host has accepted."""
    failures = []
    runs = collections.Counter(execution.id for execution in record.executions)
    for span in record.graceful_stops:
        for response in record.responses:
            sent = record.sent[response.id]
            is_during = span.begin - 1 < sent.at < span.begin + 2 and response.at > span.begin
            if (
                sent.host != span.host
                or not is_during
                or response.is_complete
                or response.is_left
                or response.had_server_fault
                or response.id in record.interrupted and runs[response.id] >= sent.attempts
                or record.is_disturbed(sent.host, sent.at, response.at)
            ):
                continue
            if any(arrival.id == response.id for arrival in record.arrivals):
                failures.append(f"request {response.id} was aborted by the graceful stop of {span.host}")
    return failures


def check_losses(record):
    """A gateway that runs undisturbed answers or refuses what it has read and does not cut off a sound server."""
    failures = []
    arrived = {arrival.id for arrival in record.arrivals}
    for response in record.responses:
        sent = record.sent[response.id]
        seconds = response.at - sent.at
        if (
            not response.is_cut
            or seconds > sent.time_limit * GUARDED_SHARE_OF_TIME_LIMIT
            or not record.is_left_alone(sent.host, sent.at, response.at)
        ):
            continue
        if not response.status:
            if response.id in arrived or seconds > LOSS_SLACK_SECONDS:
                failures.append(f"request {response.id} got no answer from {sent.host} within {seconds:.2f} s")
        elif not response.had_server_fault and response.id not in record.interrupted:
            failures.append(
                f"{response.kind} {response.id} (attempts: {sent.attempts}) was cut by {sent.host} after "
                f"{seconds:.2f} s and {len(response.events)} events, though its server was sound"
            )
    return failures


def check_retries(record):
    failures = []
    services = {arrival.service for arrival in record.arrivals}
    for service in sorted(services):
        arrivals = sorted((a for a in record.arrivals if a.service == service), key=lambda a: a.at)
        seen_ids = set()
        times = []
        for arrival in arrivals:
            times.append((arrival.at, arrival.id in seen_ids))
            seen_ids.add(arrival.id)
        window_begin = 0
        for window_end, (at, _) in enumerate(times):
            while at - times[window_begin][0] >= RETRY_WINDOW_SECONDS:
                window_begin += 1
            window = times[window_begin : window_end + 1]
            retries = sum(1 for _, is_retry in window if is_retry)
            if retries > RETRY_RATIO * (len(window) - retries) + RETRY_SLACK:
                failures.append(
                    f"service {service} got {retries} retries in {RETRY_WINDOW_SECONDS:.0f} s, over the retry budget"
                )
                break
    return failures


def check_inputs(record):
    return list(record.mixed_inputs)


def check_service(record):
    """At least a quarter of the requests succeeds; with fewer, the other checks prove little."""
    requests = [a for a in record.responses if a.kind != "probe"]
    served = [a for a in requests if 200 <= a.status < 300 and a.is_complete]
    if len(served) * 4 >= len(requests) and served:
        return []
    return [f"{len(served)} of {len(requests)} requests succeeded, expected at least a quarter"]


CHECKS = {
    "at most once": check_at_most_once,
    "not run": check_not_run,
    "answers": check_answers,
    "streams": check_streams,
    "versions": check_versions,
    "resumed": check_resumed,
    "leaving": check_leaving,
    "evacuations": check_evacuations,
    "cold": check_cold,
    "configuration": check_configuration,
    "stops": check_stops,
    "losses": check_losses,
    "retries": check_retries,
    "inputs": check_inputs,
    "service": check_service,
}


def violations(record):
    return [f"{name}: {text}" for name, check in CHECKS.items() for text in check(record)]
