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
# A server that asked a host for quiet may get this many requests from it between the delay and the end of the time.
QUIET_DELAY_SECONDS = 0.5
QUIET_REQUESTS = 2
# Requests with a crashing part that may reach servers after this many crashes and the time in touch.
KNOWN_CRASHES = 5
FURTHER_CRASHING_REQUESTS = 3
# The same for one request that crashes servers.
KNOWN_REQUEST_CRASHES = 3
# From this many streams before and after on, the share of sound ones that begin is checked.
MINIMUM_SOUND_STREAMS = 20
SOUND_SHARE = 0.5
# A server that named a limit gets at most so many times what it allows in a window, and so many more requests.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_NOTICE_SECONDS = 0.5
# Time in which a response to a stage call surely reaches its host.
NOTICE_SECONDS = 1.5
# The longest silence of a sound server for which the gateways do nothing.
SILENCE_SECONDS = 1.2
# Time for an observation to reach the soak, which may run late itself.
SILENCE_SLACK_SECONDS = 0.1
# Bounds on what a version that is rolled out may cost while it is bad.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_SECONDS = 5.0
# A bad version gets nothing later than ROLLBACK_SECONDS after so many bad answers.
BAD_ANSWERS = 50
# A bad version must be rolled back if so many of its answers were bad, and had this time to be told, before it was
# completed; fewer may show nothing.
SHOWN_BAD_ANSWERS = 10
TOLD_SECONDS = 0.7
# Requests in progress at the old servers of a service when they are stopped at once. A host that has restarted since
# the order has no part of the slack, and one with more than its part of the traffic uses it up, so these may send
# requests there until then.
STOPPED_REQUESTS = 3
EVEN_TRAFFIC_FACTOR = 1.3
# With these statuses the request has not run and will not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}
STATES = {"running", "completed", "rolled_back"}


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
    is_crashing: bool = False  # servers crash under its prompt or, if it is no stream, under the whole request


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
    incarnation: int = 1


@dataclasses.dataclass
class StageCall(Arrival):
    """The arrival of a call with items of several requests; `id` is the request that its caller sent last."""

    items: list = dataclasses.field(default_factory=list)  # (request ID, stage, number of the piece)


@dataclasses.dataclass
class Notice:
    """The first response with a server's leaving notice that a host passed on, or certainly has of a stage call."""

    server: str
    host: str
    incarnation: int
    at: float


@dataclasses.dataclass
class QuietAnswer:
    """A response with which a server asked a host to send nothing for some seconds."""

    server: str
    host: str
    incarnation: int
    at: float
    seconds: float


@dataclasses.dataclass
class NamedLimit:
    """A time in which a server names a limit in its responses."""

    server: str
    begin: float
    end: float
    per_second: float


@dataclasses.dataclass
class Silence:
    """A time in which a server sent nothing in the middle of an answer; it went on afterwards."""

    id: str  # of the request; of a stage call, the one that its caller sent first
    server: str
    host: str
    begin: float
    end: float
    place: str  # such as "a stream" or "head of a response"
    is_closed: bool = False  # the connection was closed before the server went on
    items: list = dataclasses.field(default_factory=list)  # those of a stage call


@dataclasses.dataclass
class LostRow:
    """A host's own row that a restore of the store took away or replaced by an older one."""

    host: str
    lost_at: float
    checked_at: float
    is_written_again: bool


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
class Rollout:
    """An operator's order to move a service to a version, and what became of it."""

    service: str
    version: str
    fault: str  # in which way the version is bad; "" if it is sound
    at: float
    deadline: float
    servers: set = dataclasses.field(default_factory=set)  # of the version
    bad_answers: list = dataclasses.field(default_factory=list)  # times
    states: list = dataclasses.field(default_factory=list)  # (time, version, state) as the system wrote them
    stopped_at: float = math.inf  # when its old servers were stopped
    stopped_requests: list = dataclasses.field(default_factory=list)  # hosts of those in progress there at that moment

    def ended_at(self, state):
        """Returns when the system first wrote the state, or infinity."""
        return min((at for at, _, written in self.states if written == state), default=math.inf)


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
        self.stage_calls = []
        self.notices = {}  # (server, host, incarnation) to notice
        self.quiet_answers = []
        self.part_crashes = []  # times at which a server crashed under the crashing part
        self.request_crashes = []  # the same under the crashing request
        self.blocked_parts = []  # (host, part or key of a request) of each block that a host logged
        self.crashing_part = ""
        self.crashing_request = ""  # its key
        self.crashing_streams = set()  # keys of the streams with the crashing part
        self.limits = []
        self.limit_notices = {}  # (server, host, incarnation) to the times of the responses that name a limit
        self.rollouts = []
        self.control_calls = []  # arrivals of calls for reports and releases
        self.silences = []
        self.server_cuts = []  # (server, time at which its open connections were lost)
        self.restores = []  # spans from the loss of the store until it is back
        self.lost_rows = []
        self.store_cuts = []  # spans in which a host does not reach the store
        self.mixed_inputs = []  # descriptions of stage inputs that don't belong to the request

    def is_disturbed(self, host, begin, end):
        return any(
            span.begin - CONTACT_SECONDS < end and begin < span.end + CONTACT_SECONDS and span.host in ("", host)
            for span in self.disturbances + self.store_cuts
        )

    def was_interrupted(self, host, begin, end):
        """Returns whether the host was killed, frozen or stopped in this time, without the time in touch around it."""
        return any(
            span.begin < end and begin < span.end and span.host == host
            for span in self.disturbances + self.graceful_stops
        )

    def has_learned(self, host, begin, end, seconds):
        """Returns whether the host was in touch with the store for so long at a stretch in this time."""
        spans = sorted(
            (span.begin, span.end)
            for span in self.disturbances + self.store_cuts + self.graceful_stops
            if span.host in ("", host)
        )
        for span_begin, span_end in spans + [(end, end)]:
            if min(span_begin, end) - begin >= seconds:
                return True
            begin = max(begin, span_end)
        return False

    def was_told(self, limit, arrival):
        """Returns whether the host of the arrival had passed on the limit half a second before."""
        times = self.limit_notices.get((arrival.server, arrival.host, arrival.incarnation), [])
        return any(limit.begin <= at < arrival.at - LIMIT_NOTICE_SECONDS for at in times)

    def is_server_cut(self, server, begin, end):
        return any(server == cut and begin <= at <= end for cut, at in self.server_cuts)

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
            or sent.is_crashing
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
    return drained_servers_used(record) + leaving_servers_used(record)


def leaving_servers_used(record):
    """After a host has passed on a server's notice, it sends nothing there that callers sent later than the bound."""
    failures = []
    for arrival in record.arrivals + record.stage_calls:
        notice = record.notices.get((arrival.server, arrival.host, arrival.incarnation))
        if (
            notice
            and arrival.sent_at > notice.at + CHANGE_SECONDS
            and not record.was_interrupted(arrival.host, notice.at, arrival.at)
            and not record.is_server_cut(arrival.server, notice.at - NOTICE_SECONDS, notice.at)
        ):
            failures.append(
                f"request {arrival.id}, sent {arrival.sent_at - notice.at:.2f} s after {arrival.host} had passed on "
                f"the leaving notice of {arrival.server}, reached it, expected none after {CHANGE_SECONDS:.1f} s"
            )
    return failures


def drained_servers_used(record):
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
        # Health checks have no id and are no requests.
        arrivals = sorted((a for a in record.arrivals if a.service == service and a.id), key=lambda a: a.at)
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


def check_quiet(record):
    """A server that asked a host for quiet gets next to nothing from it until the time is over."""
    times = {}
    for arrival in record.arrivals + record.stage_calls:
        times.setdefault((arrival.server, arrival.host, arrival.incarnation), []).append(arrival.at)
    worst = {}
    for answer in record.quiet_answers:
        process = (answer.server, answer.host, answer.incarnation)
        begin = answer.at + QUIET_DELAY_SECONDS
        end = answer.at + answer.seconds
        count = sum(1 for at in times.get(process, []) if begin < at < end)
        if (
            count <= QUIET_REQUESTS
            or record.was_interrupted(answer.host, answer.at, end)
            or record.is_server_cut(answer.server, answer.at - QUIET_DELAY_SECONDS, end)
        ):
            continue
        worst[process] = max(worst.get(process, 0), count)
    return [
        f"{server} got {count} requests from {host} while it had asked for quiet, expected {QUIET_REQUESTS} at most"
        for (server, host, _), count in worst.items()
    ]


def crashing_arrivals(record, kind, known_at):
    """Returns the crashing requests of a kind that hosts in touch sent to servers although they must know them."""
    return [
        arrival
        for arrival in record.arrivals
        # Health checks have no id.
        if arrival.id in record.sent
        and record.sent[arrival.id].is_crashing
        and record.sent[arrival.id].kind == kind
        and arrival.at > known_at + CONTACT_SECONDS
        and not record.is_disturbed(arrival.host, arrival.sent_at, arrival.at)
        and record.is_left_alone(arrival.host, arrival.sent_at, arrival.at)
    ]


def check_crashing_request(record):
    """Once a request has crashed three servers, it reaches few more of them."""
    if len(record.request_crashes) < KNOWN_REQUEST_CRASHES:
        return []
    known_at = sorted(record.request_crashes)[KNOWN_REQUEST_CRASHES - 1]
    further = crashing_arrivals(record, "safe", known_at)
    if len(further) <= FURTHER_CRASHING_REQUESTS:
        return []
    return [
        f"the crashing request reached servers {len(further)} times later than {CONTACT_SECONDS:.0f} s after "
        f"{KNOWN_REQUEST_CRASHES} crashes, expected {FURTHER_CRASHING_REQUESTS} at most; "
        f"{len(record.request_crashes)} in all"
    ]


def check_crashing_part(record):
    """Once a part has crashed some servers, requests with it reach no more of them, and sound ones are served."""
    failures = []
    expected = {record.crashing_part, record.crashing_request, *record.crashing_streams}
    blocked = sorted({part for _, part in record.blocked_parts if part not in expected})
    if blocked:
        failures.append(f"parts {', '.join(blocked)} were blocked, expected {record.crashing_part or 'none'} at most")
    if len(record.part_crashes) < KNOWN_CRASHES:
        return failures
    known_at = sorted(record.part_crashes)[KNOWN_CRASHES - 1]
    further = crashing_arrivals(record, "stream", known_at)
    if len(further) > FURTHER_CRASHING_REQUESTS:
        failures.append(
            f"{len(further)} requests with the crashing part reached servers later than {CONTACT_SECONDS:.0f} s after "
            f"{KNOWN_CRASHES} crashes, expected {FURTHER_CRASHING_REQUESTS} at most; {len(record.part_crashes)} in all"
        )
    before = []
    after = []
    for response in record.responses:
        sent = record.sent[response.id]
        if (
            response.kind != "stream"
            or sent.is_crashing
            or sent.resumes
            or record.is_disturbed(sent.host, sent.at, response.at)
            or not record.is_left_alone(sent.host, sent.at, response.at)
        ):
            continue
        if sent.at < min(record.part_crashes):
            before.append(bool(response.events))
        elif sent.at > known_at + 2 * CONTACT_SECONDS:
            after.append(bool(response.events))
    if (
        min(len(before), len(after)) >= MINIMUM_SOUND_STREAMS
        and sum(after) * len(before) < SOUND_SHARE * sum(before) * len(after)
    ):
        failures.append(
            f"{sum(after)} of {len(after)} sound streams began after {KNOWN_CRASHES} crashes, "
            f"{sum(before)} of {len(before)} before"
        )
    return failures


def check_limits(record):
    """All hosts together keep to the limit that a server names, once it has told them."""
    failures = []
    for limit in record.limits:
        times = sorted(
            arrival.at
            for arrival in record.arrivals + record.stage_calls + record.control_calls
            if arrival.server == limit.server
            and limit.begin + CONTACT_SECONDS < arrival.at < limit.end
            and record.was_told(limit, arrival)
            and not record.was_interrupted(arrival.host, limit.begin, arrival.at)
        )
        allowed = LIMIT_FACTOR * limit.per_second * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        window_begin = 0
        most = 0
        for window_end, at in enumerate(times):
            while at - times[window_begin] > LIMIT_WINDOW_SECONDS:
                window_begin += 1
            most = max(most, window_end - window_begin + 1)
        if most > allowed:
            failures.append(
                f"{limit.server}, which named a limit of {limit.per_second} a second, got {most} requests in "
                f"{LIMIT_WINDOW_SECONDS:.0f} s, allowed {allowed:.0f}"
            )
    return failures


def check_era(record):
    """A restore of the store from an older copy takes back nothing that hosts had acted on."""
    failures = []
    for restore in record.restores:
        known = [({server}, at, math.inf, CHANGE_SECONDS) for server, at in record.drained_at.items()]
        for span in record.evacuations:
            servers = {server for server, zone in record.zone_of.items() if zone == span.detail}
            known.append((servers, span.begin, span.end, EVACUATION_SECONDS))
        for servers, begin, end, bound in known:
            for arrival in record.arrivals + record.stage_calls:
                if (
                    arrival.server in servers
                    and restore.begin < arrival.sent_at
                    and arrival.at < end
                    and record.has_learned(arrival.host, begin, restore.begin, max(bound, CONTACT_SECONDS))
                    and not record.was_interrupted(arrival.host, begin, arrival.at)
                ):
                    failures.append(
                        f"request {arrival.id} reached {arrival.server} {arrival.at - restore.begin:.2f} s after a "
                        f"restore of the store, though it was drained or evacuated {restore.begin - begin:.2f} s before"
                    )
    for row in record.lost_rows:
        is_excused = any(
            span.begin < row.checked_at and row.lost_at < span.end and span.host in ("", row.host)
            for span in record.disturbances + record.store_cuts + record.graceful_stops
            if span.detail != "restore"
        ) or any(row.lost_at < restore.begin < row.checked_at for restore in record.restores)
        if not row.is_written_again and not is_excused:
            failures.append(
                f"{row.host} did not write its own row again within {row.checked_at - row.lost_at:.1f} s "
                "after a restore of the store"
            )
    return failures


def check_silence(record):
    """A sound server that says nothing for about a second and goes on keeps its connection and its requests."""
    failures = []
    times = {}
    for arrival in record.arrivals:
        times.setdefault(arrival.id, []).append(arrival.at)
    for call in record.stage_calls:
        for item in call.items:
            times.setdefault(item, []).append(call.at)
    responses = {response.id: response for response in record.responses}
    for silence in record.silences:
        sent = record.sent.get(silence.id)
        response = responses.get(silence.id)
        if (
            sent is None
            or not silence.host
            or silence.end - silence.begin > SILENCE_SECONDS + SILENCE_SLACK_SECONDS
            or silence.end - sent.at > sent.time_limit * GUARDED_SHARE_OF_TIME_LIMIT
            or response is None
            or response.is_left and response.at < silence.end + SILENCE_SLACK_SECONDS
            or not record.is_left_alone(silence.host, silence.begin, silence.end)
            or not record.is_left_alone(sent.host, sent.at, silence.end)
            or record.is_server_cut(silence.server, sent.at, silence.end)
        ):
            continue
        seconds = silence.end - silence.begin
        where = f"a silence of {seconds:.2f} s of {silence.server} ({silence.place}) for request {silence.id}"
        if silence.is_closed:
            failures.append(f"{silence.host} closed the connection during {where}")
        elif any(silence.begin < at <= silence.end for item in silence.items or [silence.id] for at in times[item]):
            failures.append(f"the request was sent again during {where}")
    return failures


def count_arrivals(record, rollout):
    """Returns (time, number of requests, server, host, time of sending) of all that reached the service."""
    requests = [(a.at, 1, a.server, a.host, a.sent_at) for a in record.arrivals if a.service == rollout.service and a.id]
    calls = [(c.at, len(c.items), c.server, c.host, c.sent_at) for c in record.stage_calls if c.service == rollout.service]
    return sorted(requests + calls)


def check_exposure(record):
    """A version that is bad gets a bounded part of the requests, and nothing long after its bad answers."""
    failures = []
    for rollout in record.rollouts:
        if not rollout.fault:
            continue
        name = f"{rollout.service} {rollout.version} ({rollout.fault})"
        arrivals = count_arrivals(record, rollout)
        during = [arrival for arrival in arrivals if rollout.at <= arrival[0] < rollout.deadline]
        new = [
            arrival
            for arrival in arrivals
            if arrival[2] in rollout.servers
            and rollout.at <= arrival[0]
            and not record.is_disturbed(arrival[3], arrival[4], arrival[0])
        ]
        total = sum(count for _, count, *_ in during)
        exposed = sum(arrival[1] for arrival in new if arrival[0] < rollout.deadline)
        allowed = EXPOSURE_SHARE * total + EXPOSURE_SLACK
        if exposed > allowed:
            failures.append(f"{name} got {exposed} of {total} requests, allowed {allowed:.0f}")
        if len(rollout.bad_answers) >= BAD_ANSWERS:
            bound = sorted(rollout.bad_answers)[BAD_ANSWERS - 1] + ROLLBACK_SECONDS
            late = [arrival for arrival in new if arrival[0] > bound]
            if late:
                failures.append(
                    f"{name} got {len(late)} requests until {late[-1][0] - bound + ROLLBACK_SECONDS:.2f} s after its "
                    f"{BAD_ANSWERS}th bad answer, allowed {ROLLBACK_SECONDS:.1f} s"
                )
    return failures


def check_rollouts(record):
    """A sound version is completed before its deadline, a bad one is rolled back, and states stay."""
    failures = []
    for rollout in record.rollouts:
        name = f"{rollout.service} {rollout.version} ({rollout.fault or 'sound'})"
        states = [state for _, _, state in rollout.states]
        final = [state for state in states if state != "running"]
        if {version for _, version, _ in rollout.states} - {rollout.version} or set(states) - STATES:
            failures.append(f"{name}: the system wrote {rollout.states}, expected states of {rollout.version}")
        if len(set(final)) > 1 or final and states[-1] == "running":
            failures.append(f"{name}: the system wrote {', '.join(states)}, expected one end")
        if not rollout.fault and rollout.ended_at("completed") > rollout.deadline:
            failures.append(
                f"{name}: states {', '.join(states) or 'none'}, expected completed within "
                f"{rollout.deadline - rollout.at:.1f} s, {len(rollout.bad_answers)} bad answers"
            )
        # One ill server does not make a version bad.
        known = [at for at in rollout.bad_answers if at < rollout.ended_at("completed") - TOLD_SECONDS]
        is_shown = len(known) >= SHOWN_BAD_ANSWERS and rollout.fault != "one server"
        if is_shown and states[-1:] != ["rolled_back"]:
            failures.append(
                f"{name}: states {', '.join(states) or 'none'} after {len(known)} bad answers, "
                "expected rolled_back"
            )
        hosts = collections.Counter(
            arrival[3] for arrival in count_arrivals(record, rollout) if rollout.at <= arrival[0] < rollout.deadline
        )
        most = EVEN_TRAFFIC_FACTOR * sum(hosts.values()) / max(len(hosts), 1)
        stopped = [
            host
            for host in rollout.stopped_requests
            if hosts[host] <= most and record.is_left_alone(host, rollout.at, rollout.stopped_at)
        ]
        if len(stopped) > STOPPED_REQUESTS:
            failures.append(
                f"{name}: {len(stopped)} requests were in progress at the old servers when they stopped, "
                f"expected {STOPPED_REQUESTS} at most"
            )
        rolled_back_at = rollout.ended_at("rolled_back")
        for at, count, server, host, sent_at in count_arrivals(record, rollout):
            if (
                server in rollout.servers
                and sent_at > rolled_back_at + CHANGE_SECONDS
                and not record.is_disturbed(host, rolled_back_at, at)
            ):
                failures.append(f"{name}: {count} requests reached {server} {at - rolled_back_at:.2f} s after roll-back")
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
    "quiet": check_quiet,
    "crashing part": check_crashing_part,
    "crashing request": check_crashing_request,
    "limits": check_limits,
    "era": check_era,
    "silence": check_silence,
    "exposure": check_exposure,
    "rollouts": check_rollouts,
    "inputs": check_inputs,
    "service": check_service,
}


def violations(record):
    return [f"{name}: {text}" for name, check in CHECKS.items() for text in check(record)]
