"""Measures what the entry hosts themselves cost; started by own_cost.sh."""

import collections
import concurrent.futures
import json
import pathlib
import statistics
import tempfile
import time

import deployment
from process_test import LOOKUP, REPORT, ask, require, require_whole_stream

BASE_PORT = 25000
IDLE_SECONDS = 3
WARM_UP = 32
REQUESTS = 64
CALLERS = 8
DELAY_REQUESTS = 12
REPORT_TOKENS = 48
PARTS = {"class": "parts-check", "team": "north-hospitals", "input": {"text": "lens for dish 12"}}


def processor_seconds(one):
    """Time that all entry processes have run so far, by the scheduler's own count."""
    total = 0
    for entry in one.entries:
        pid = one.processes[entry["host"]].pid
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
            total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def measured(one, work):
    """Gives the processor seconds and the wall seconds that `work` took."""
    start, before = time.monotonic(), processor_seconds(one)
    work()
    return processor_seconds(one) - before, time.monotonic() - start


def ask_many(one, body, count, is_stream=False):
    ports = one.caller_ports
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        jobs = [pool.submit(ask, ports[i % len(ports)], body, is_stream=is_stream) for i in range(count)]
        answers = [job.result() for job in jobs]
    for answer in answers:
        require(answer.outcome == "done", f"not answered: {answer}")
    return answers


def microseconds_each(one, body, idle_share, is_stream=False):
    processor, wall = measured(one, lambda: ask_many(one, body, REQUESTS, is_stream))
    return (processor - idle_share * wall) / REQUESTS * 1e6


def added_delays(one):
    """Milliseconds from question to answer less the time in which a server ran a stage of it."""
    totals = {}
    for _ in range(DELAY_REQUESTS):
        start = time.monotonic()
        answer = ask(one.caller_ports[0], LOOKUP)
        totals[answer.document["request"]] = (time.monotonic() - start) * 1000
    served = collections.Counter()
    for record in one.records().values():
        for run in record["runs"]:
            served[run["request"]] += run["end_ms"] - run["start_ms"]
    return sorted(total - served[request] for request, total in totals.items())


def measure(one):
    ask_many(one, LOOKUP, WARM_UP)
    require_whole_stream(ask(one.caller_ports[0], REPORT, is_stream=True))
    idle, wall = measured(one, lambda: time.sleep(IDLE_SECONDS))
    idle_share = idle / wall
    lookup = microseconds_each(one, LOOKUP, idle_share)
    report = microseconds_each(one, REPORT, idle_share, is_stream=True)
    parts = microseconds_each(one, PARTS, idle_share)
    delays = added_delays(one)
    return {
        "idle_processor_share_of_one_host": round(idle_share / len(one.entries), 5),
        "processor_us_for_four_stages": round(lookup),
        "processor_us_for_one_stage": round(parts),
        "processor_us_for_a_relayed_token": round((report - parts) / REPORT_TOKENS, 1),
        "added_ms_for_four_stages": {"median": round(statistics.median(delays), 2), "p95": round(delays[int(len(delays) * 0.95)], 2)},
    }


def main():
    with tempfile.TemporaryDirectory(prefix="lovagecleat-cost-") as folder:
        target = pathlib.Path(folder)
        deployment.place(deployment.ROOT / "deployments" / "qureshi", target, BASE_PORT)
        one = deployment.Deployment(target)
        try:
            one.start()
            result = measure(one)
        finally:
            failures = one.stop()
        require(not failures, "; ".join(failures))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
