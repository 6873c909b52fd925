"""Measures the processor time and delay that the entry hosts add; started by own_cost.sh."""

import collections
import concurrent.futures
import json
import pathlib
import statistics
import tempfile
import time

import deployment
from process_test import LOOKUP, REPORT, send_request, require, require_complete_stream

BASE_PORT = 25000
IDLE_DURATION_S = 3
WARM_UP_REQUESTS = 32
REQUESTS = 64
CONCURRENT_CALLERS = 8
DELAY_REQUESTS = 12
REPORT_TOKENS = 48
PARTS = {"class": "parts-check", "team": "north-hospitals", "input": {"text": "lens for dish 12"}}


def processor_seconds(cluster):
    """Returns the processor time in s of all entry processes so far, from the kernel's schedstat."""
    total = 0
    for entry in cluster.entries:
        pid = cluster.processes[entry["host"]].pid
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
            total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def measure_times(cluster, work):
    """Returns the processor time and the wall time of `work`, both in s."""
    start, before = time.monotonic(), processor_seconds(cluster)
    work()
    return processor_seconds(cluster) - before, time.monotonic() - start


def send_requests(cluster, body, count, is_stream=False):
    ports = cluster.caller_ports
    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_CALLERS) as pool:
        jobs = [pool.submit(send_request, ports[i % len(ports)], body, is_stream=is_stream) for i in range(count)]
        answers = [job.result() for job in jobs]
    for answer in answers:
        require(answer.outcome == "done", f"expected outcome done: {answer}")
    return answers


def processor_us_per_request(cluster, body, idle_share, is_stream=False):
    processor, wall = measure_times(cluster, lambda: send_requests(cluster, body, REQUESTS, is_stream))
    return (processor - idle_share * wall) / REQUESTS * 1e6


def added_delays(cluster):
    """Returns for each request its latency in ms minus the time in which servers ran its stages, sorted."""
    latencies_ms = {}
    for _ in range(DELAY_REQUESTS):
        start = time.monotonic()
        answer = send_request(cluster.caller_ports[0], LOOKUP)
        latencies_ms[answer.document["request"]] = (time.monotonic() - start) * 1000
    served_ms = collections.Counter()
    for record in cluster.records().values():
        for run in record["runs"]:
            served_ms[run["request"]] += run["end_ms"] - run["start_ms"]
    return sorted(total - served_ms[request] for request, total in latencies_ms.items())


def measure(cluster):
    send_requests(cluster, LOOKUP, WARM_UP_REQUESTS)
    require_complete_stream(send_request(cluster.caller_ports[0], REPORT, is_stream=True))
    idle, wall = measure_times(cluster, lambda: time.sleep(IDLE_DURATION_S))
    idle_share = idle / wall
    lookup = processor_us_per_request(cluster, LOOKUP, idle_share)
    report = processor_us_per_request(cluster, REPORT, idle_share, is_stream=True)
    parts = processor_us_per_request(cluster, PARTS, idle_share)
    delays = added_delays(cluster)
    return {
        "idle_processor_share_of_one_host": round(idle_share / len(cluster.entries), 5),
        "processor_us_for_four_stages": round(lookup),
        "processor_us_for_one_stage": round(parts),
        "processor_us_for_a_relayed_token": round((report - parts) / REPORT_TOKENS, 1),
        "added_ms_for_four_stages": {"median": round(statistics.median(delays), 2), "p95": round(delays[int(len(delays) * 0.95)], 2)},
    }


def main():
    with tempfile.TemporaryDirectory(prefix="lovagecleat-cost-") as folder:
        target = pathlib.Path(folder)
        deployment.copy_deployment(deployment.ROOT / "deployments" / "qureshi", target, BASE_PORT)
        cluster = deployment.Deployment(target)
        try:
            cluster.start()
            result = measure(cluster)
        finally:
            failures = cluster.stop()
        require(not failures, "; ".join(failures))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
