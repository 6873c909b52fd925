"""Fills in or checks the table of docs/CAPACITY.md from the slopes in docs/capacity.json."""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity.json"
BEGIN = "<!-- table: begin -->"
END = "<!-- table: end -->"

# The system size that the users' brief expects in two years.
HOSTS = 350
ZONES = 20
SERVERS = 4300
REQUESTS_PER_S = 9100
TOKENS_PER_S = 1.9e6
TEAMS = 4300
CHANGES_PER_DAY = 3200
SECONDS_PER_DAY = 86400
CLASSES = 100
# Maximum number of stages of a request; each stage is placed once.
STAGES = 4
# Assumed share of requests that must not be repeated; the brief gives none.
NON_IDEMPOTENT_SHARE = 0.02

HOSTS_PER_ZONE = HOSTS / ZONES
SERVERS_PER_ZONE = SERVERS / ZONES

# Limits from the users' brief.
CONTROL_PROCESSOR_US = 27000
CONTROL_BYTES_PER_S = 3000
MEMORY_BYTES = 64e6
TABLE_READS_PER_S = 2000
TABLE_WRITES_PER_S = 500
IN_FORCE_MS = 9000

# Factors by which a new measurement may differ from the recorded one. Counts and bytes do not depend on the machine;
# processor times depend on the machine and its other load.
COUNT_TOLERANCE = 1.1
PROCESSOR_TOLERANCE = 6.0
PROCESSOR_FLOOR_US = 5.0


def interpolate(points, key, size, value):
    """Interpolates a measured value linearly between the two nearest points; extrapolates beyond the last one."""
    pairs = sorted((point[key], point[value]) for point in points)
    lower = max((i for i in range(len(pairs) - 1) if pairs[i][0] <= size), default=0)
    (x0, y0), (x1, y1) = pairs[lower], pairs[lower + 1]
    return y0 + (y1 - y0) * (size - x0) / (x1 - x0)


def compare_to_limit(value, limit):
    return "holds" if value <= limit else f"**exceeds by {value / limit:.1f}×**"


def rows(slopes):
    members, servers = slopes["members"], slopes["servers"]["points"]
    configuration, tokens, intents = slopes["configuration"]["points"], slopes["tokens"]["points"], slopes["intents"]
    per_host = REQUESTS_PER_S / HOSTS
    one_zone = members["one_zone"]
    zone_bytes = interpolate(one_zone, "hosts_per_zone", HOSTS_PER_ZONE, "bytes_per_s")
    zone_messages = interpolate(one_zone, "hosts_per_zone", HOSTS_PER_ZONE, "messages_per_s")
    reference_bytes = interpolate(one_zone, "hosts_per_zone", 10, "bytes_per_s")
    reference_messages = interpolate(one_zone, "hosts_per_zone", 10, "messages_per_s")
    twenty_zones = next(point for point in members["many_zones"] if point["zones"] == ZONES)
    link_bytes, link_messages = (
        twenty_zones["bytes_per_s"] - reference_bytes, twenty_zones["messages_per_s"] - reference_messages
    )
    # The idle processor time was measured with 215 servers per zone and 20 zones of 10 hosts; the slope adds the
    # remaining hosts of the zone.
    idle = twenty_zones["processor_us_per_s"] + members["processor_us_per_s_per_zone_member"] * (HOSTS_PER_ZONE - 10)
    request = interpolate(servers, "servers", SERVERS_PER_ZONE, "processor_us_per_request")
    memory = interpolate(servers, "servers", SERVERS_PER_ZONE, "allocated_bytes")
    memory += slopes["teams"]["allocated_bytes_per_team"] * TEAMS
    token = interpolate(tokens, "servers", SERVERS_PER_ZONE, "processor_us_per_token")
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    change_us = interpolate(configuration, "classes", CLASSES, "change_processor_us_per_host") * changes
    change_bytes = interpolate(configuration, "classes", CLASSES, "change_bytes_per_host") * changes
    in_force = max(point["change_in_force_everywhere_ms"] for point in configuration)
    reads = twenty_zones["table_reads_per_s"] * HOSTS
    writes = intents["writes_per_request"] * REQUESTS_PER_S * NON_IDEMPOTENT_SHARE + 2 * changes
    control_us = idle + change_us
    control_bytes = zone_bytes + link_bytes + change_bytes
    yield "routing, a host", f"{per_host:.0f} requests/s × {STAGES} stages", f"{request * per_host * STAGES:,.0f} µs/s", (
        "least expected finish time of a few servers of the own zone", "none set for requests"
    )
    yield "tokens, a host", f"{TOKENS_PER_S / HOSTS:,.0f} tokens/s", f"{token * TOKENS_PER_S / HOSTS:,.0f} µs/s", (
        "passed on by attempt id", "none set for tokens"
    )
    yield "membership and credits in the own zone, a host", f"{zone_messages:.1f} messages/s, {zone_bytes:,.0f} B/s", "in the sum", (
        "one heartbeat a second to each host of the zone; loans only under load", "in the sum"
    )
    yield "links to other zones and regions, a host", f"{link_messages:.1f} messages/s, {link_bytes:,.0f} B/s", "in the sum", (
        "a few links a host, one summary a service", "in the sum"
    )
    yield (
        "configuration, a host",
        f"{change_bytes:,.0f} B/s at {changes * SECONDS_PER_DAY:,.0f} changes/day of {CLASSES} classes",
        f"{change_us:,.0f} µs/s",
        ("push by the accepting host, heartbeats carry the revision, polling last", "in the sum"),
    )
    yield "control in all, a host", f"{control_bytes:,.0f} B/s", f"{control_us:,.0f} µs/s", (
        "the three rows above and an idle core's timers",
        f"{CONTROL_BYTES_PER_S:,} B/s: {compare_to_limit(control_bytes, CONTROL_BYTES_PER_S)}; "
        f"{CONTROL_PROCESSOR_US:,} µs/s (2.7%): {compare_to_limit(control_us, CONTROL_PROCESSOR_US)}",
    )
    yield "memory of the core, a host", f"{memory / 1e6:.2f} MB", "", (
        "servers of the own zone; teams evicted when idle",
        f"{MEMORY_BYTES / 1e6:.0f} MB: {compare_to_limit(memory, MEMORY_BYTES)}",
    )
    yield "intents, at the table", f"{writes:,.0f} writes/s if {NON_IDEMPOTENT_SHARE:.0%} of requests must not be repeated", "", (
        f"{intents['writes_per_request']:.0f} conditional writes a request, no read",
        f"{TABLE_WRITES_PER_S} writes/s: {compare_to_limit(writes, TABLE_WRITES_PER_S)}; reached at "
        f"{TABLE_WRITES_PER_S / intents['writes_per_request']:,.0f} such requests/s",
    )
    yield "polling, at the table", f"{reads:,.0f} reads/s", "", (
        "each host reads the configuration and its zone's roster with jitter",
        f"{TABLE_READS_PER_S:,} reads/s: {compare_to_limit(reads, TABLE_READS_PER_S)}",
    )
    yield "a change in force everywhere", f"{in_force:.0f} ms in 20 zones of 10 hosts, nothing lost", "", (
        "as in the row of configuration", f"{IN_FORCE_MS:,} ms: {compare_to_limit(in_force, IN_FORCE_MS)}"
    )


def table(slopes):
    lines = ["| role | state, messages, bytes | processor | mechanism | limit |", "|---|---|---|---|---|"]
    for role, traffic, processor, (mechanism, limit) in rows(slopes):
        lines.append(f"| {role} | {traffic} | {processor} | {mechanism} | {limit} |")
    return "\n".join(lines)


def split_page():
    text = PAGE.read_text()
    before, remainder = text.split(BEGIN)
    _, after = remainder.split(END)
    return text, before, after


def page_with_table():
    text, before, after = split_page()
    return text, f"{before}{BEGIN}\n{table(json.loads(SLOPES.read_text()))}\n{END}{after}"


def leaf_values(value, path=""):
    if isinstance(value, dict):
        for key, member in value.items():
            yield from leaf_values(member, f"{path}/{key}")
    elif isinstance(value, list):
        for index, member in enumerate(value):
            yield from leaf_values(member, f"{path}/{index}")
    else:
        yield path, value


def differences(recorded, current):
    """Yields a message for each measured point outside its tolerance; slopes are derived from the points."""
    current_values = dict(leaf_values(current))
    for path, recorded_value in leaf_values(recorded):
        if "/points/" not in path and "_zone" not in path and "/intents/" not in path:
            continue
        if path not in current_values:
            yield f"{path}: no longer measured"
            continue
        is_time = "processor" in path
        factor = PROCESSOR_TOLERANCE if is_time else COUNT_TOLERANCE
        margin = PROCESSOR_FLOOR_US * (factor - 1) if is_time else 0.5
        if current_values[path] > recorded_value * factor + margin or (
            not is_time and recorded_value > current_values[path] * factor + margin
        ):
            yield f"{path}: recorded {recorded_value}, now {current_values[path]}"


def main(command):
    if command == "write":
        PAGE.write_text(page_with_table()[1])
        return 0
    if command == "check":
        text, expected = page_with_table()
        if text == expected:
            return 0
        print("docs/CAPACITY.md: the table is not that of docs/capacity.json", file=sys.stderr)
        return 1
    messages = list(differences(json.loads(SLOPES.read_text()), json.load(sys.stdin)))
    for line in messages:
        print(line, file=sys.stderr)
    return 1 if messages else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
