"""What a soak run saw, and the promises that are checked against it. No I/O, so that tests can feed it."""

import dataclasses

# The bounds that the gateways are started with; the checks allow no more.
CHANGE_SECONDS = 2.0
CONTACT_SECONDS = 3.0
COLD_FACTOR = 1.5
COLD_SLACK = 5
RETRY_RATIO = 0.2
RETRY_SLACK = 50
RETRY_WINDOW_SECONDS = 10.0
EVACUATION_SECONDS = 5.0
# Statuses that say that the request has not run and will not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}


@dataclasses.dataclass
class Sent:
    """One attempt of a caller."""

    id: str
    kind: str  # "unsafe", "safe", "stream" or "probe"
    host: str
    incarnation: int
    at: float


@dataclasses.dataclass
class Run:
    """A backend server began to work on a request."""

    id: str
    server: str
    at: float
    is_repeatable: bool
    resumed_after: int = 0


@dataclasses.dataclass
class Arrival:
    """A request reached a backend server, whether it ran there or not."""

    id: str
    server: str
    service: str
    host: str
    at: float
    was_sent_at: float


@dataclasses.dataclass
class Answer:
    """What an attempt came to; no status if the connection ended before one."""

    id: str
    kind: str
    host: str
    incarnation: int
    at: float
    status: int = 0
    is_complete: bool = False  # ended as a whole answer in the protocol
    owner: str = ""  # the request that the body names
    is_body_whole: bool = False
    events: list = dataclasses.field(default_factory=list)
    had_server_fault: bool = False
    version_seen: int = 0


@dataclasses.dataclass
class Span:
    """A disturbance; `host` is empty if it concerns all."""

    begin: float
    end: float
    host: str = ""
    what: str = ""


class Record:
    def __init__(self):
        self.sent = {}
        self.runs = []
        self.arrivals = []
        self.answers = []
        self.disturbances = []
        self.stops = []  # spans of graceful stops
        self.leaving = {}  # server to the time at which its leaving was acknowledged
        self.evacuations = []  # spans; `what` is the zone
        self.zone_of = {}  # of servers
        self.cold = []  # (server, begin, end, requests a second)
        self.versions = []  # (time of acknowledgement, version)
        self.server_faults = set()  # requests whose answer a server broke off
        self.backends = []
        self.mixed_inputs = []  # what a server says of inputs that are not the request's

    def is_disturbed(self, host, begin, end):
        return any(
            span.begin - CONTACT_SECONDS < end and begin < span.end + CONTACT_SECONDS and span.host in ("", host)
            for span in self.disturbances
        )


def check_at_most_once(record):
    runs = {}
    for run in record.runs:
        if not run.is_repeatable:
            runs.setdefault(run.id, []).append(run.server)
    return [f"request {id} ran {len(servers)} times: {servers}" for id, servers in runs.items() if len(servers) > 1]


def check_not_run(record):
    ran = {run.id for run in record.runs if not run.is_repeatable}
    return [
        f"request {answer.id} was answered {answer.status} and has run"
        for answer in record.answers
        if answer.status in NOT_RUN_STATUSES and answer.id in ran
    ]


def check_answers(record):
    found = []
    for answer in record.answers:
        if not (200 <= answer.status < 300 and answer.is_complete):
            continue
        if answer.owner != answer.id:
            found.append(f"request {answer.id} got the answer of {answer.owner or 'nobody'}")
        elif not answer.is_body_whole:
            found.append(f"request {answer.id} got a part of its answer as a whole one")
    return found


def check_streams(record):
    found = []
    for answer in record.answers:
        if answer.kind != "stream" or not answer.events:
            continue
        if answer.events != list(range(1, len(answer.events) + 1)):
            found.append(f"stream {answer.id} has events {answer.events}")
    return found


def check_leaving(record):
    return [
        f"request {arrival.id} reached {arrival.server} {arrival.at - record.leaving[arrival.server]:.2f} s after it left"
        for arrival in record.arrivals
        if arrival.server in record.leaving
        and arrival.at > record.leaving[arrival.server] + CHANGE_SECONDS
        and not record.is_disturbed(arrival.host, record.leaving[arrival.server], arrival.at)
    ]


def check_evacuations(record):
    found = []
    for span in record.evacuations:
        for arrival in record.arrivals:
            if (
                record.zone_of.get(arrival.server) == span.what
                and span.begin + EVACUATION_SECONDS < arrival.at < span.end
                and not record.is_disturbed(arrival.host, span.begin, arrival.at)
            ):
                found.append(f"request {arrival.id} reached {arrival.server} in zone {span.what}, which was evacuated")
    return found


def check_cold(record):
    found = []
    for server, begin, end, per_second in record.cold:
        most = per_second * COLD_FACTOR + COLD_SLACK
        times = sorted(a.at for a in record.arrivals if a.server == server and begin <= a.at < end)
        first = 0
        for last, at in enumerate(times):
            while at - times[first] >= 1.0:
                first += 1
            if last - first + 1 > most:
                found.append(f"cold server {server} got {last - first + 1} requests in a second, {most:.0f} allowed")
                break
    return found


def check_configuration(record):
    """Versions never fall in a process, and are in force in time."""
    found = []
    newest = {}
    for answer in sorted(record.answers, key=lambda a: record.sent[a.id].at):
        if answer.kind != "probe" or not answer.version_seen:
            continue
        process = (answer.host, answer.incarnation)
        sent_at = record.sent[answer.id].at
        for seen_at, version in newest.get(process, []):
            if seen_at < sent_at and answer.version_seen < version:
                found.append(f"host {answer.host} fell from version {version} to {answer.version_seen}")
                break
        newest.setdefault(process, []).append((answer.at, answer.version_seen))
        for acked_at, version in record.versions:
            if (
                sent_at > acked_at + CHANGE_SECONDS
                and answer.version_seen < version
                and not record.is_disturbed(answer.host, acked_at, sent_at)
            ):
                found.append(f"host {answer.host} answered by version {answer.version_seen}, {version} was in force")
                break
    return found


def check_stops(record):
    """A graceful stop cuts off nothing that it has taken."""
    found = []
    for span in record.stops:
        for answer in record.answers:
            sent = record.sent[answer.id]
            is_during = span.begin - 1 < sent.at < span.begin + 2 and answer.at > span.begin
            if (
                sent.host != span.host
                or not is_during
                or answer.is_complete
                or answer.had_server_fault
                or record.is_disturbed(sent.host, sent.at, answer.at)
            ):
                continue
            if any(arrival.id == answer.id for arrival in record.arrivals):
                found.append(f"request {answer.id} was cut off by the stop of {span.host}")
    return found


def check_retries(record):
    found = []
    services = {arrival.service for arrival in record.arrivals}
    for service in sorted(services):
        arrivals = sorted((a for a in record.arrivals if a.service == service), key=lambda a: a.at)
        seen = set()
        times = []
        for arrival in arrivals:
            times.append((arrival.at, arrival.id in seen))
            seen.add(arrival.id)
        first = 0
        for last, (at, _) in enumerate(times):
            while at - times[first][0] >= RETRY_WINDOW_SECONDS:
                first += 1
            window = times[first : last + 1]
            repeats = sum(1 for _, is_repeat in window if is_repeat)
            if repeats > RETRY_RATIO * (len(window) - repeats) + RETRY_SLACK:
                found.append(f"service {service} got {repeats} repeats in {RETRY_WINDOW_SECONDS:.0f} s")
                break
    return found


def check_inputs(record):
    return list(record.mixed_inputs)


def check_service(record):
    """A run in which hardly anything is served shows nothing."""
    owed = [a for a in record.answers if a.kind != "probe"]
    served = [a for a in owed if 200 <= a.status < 300 and a.is_complete]
    if len(served) * 4 >= len(owed) and served:
        return []
    return [f"{len(served)} of {len(owed)} requests were served"]


CHECKS = {
    "at most once": check_at_most_once,
    "not run": check_not_run,
    "answers": check_answers,
    "streams": check_streams,
    "leaving": check_leaving,
    "evacuations": check_evacuations,
    "cold": check_cold,
    "configuration": check_configuration,
    "stops": check_stops,
    "retries": check_retries,
    "inputs": check_inputs,
    "service": check_service,
}


def violations(record):
    return [f"{name}: {text}" for name, check in CHECKS.items() for text in check(record)]
