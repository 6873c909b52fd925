"""Measures placement by expected finish beside its baselines; started by measure.sh."""

import argparse
import json
import os
import pathlib
import statistics
import subprocess
import tempfile
import time

import deployment
from deployment import ADDRESS, BINARIES, Deployment, DeploymentError

PLACEMENTS = {"ours": "expected_finish", "round_robin": "round_robin", "least_outstanding": "least_outstanding"}
# Shares of the rated load; while a zone is out, the other two carry the rest.
PHASES = [
    {"name": "start", "seconds": 8, "from": 0.1, "to": 0.6},
    {"name": "steady", "seconds": 7, "from": 0.8},
    {"name": "zone_out", "seconds": 7, "from": 0.55},
    {"name": "zone_in", "seconds": 4, "from": 0.55},
]
OUT_AFTER = PHASES[0]["seconds"] + PHASES[1]["seconds"]
IN_AFTER = OUT_AFTER + PHASES[2]["seconds"]
# By then a zone that is out gets no new work.
OUT_BOUND_SECONDS = 5
BASE_PORT = 19000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def prepare(name, folder, placement, seed):
    deployment.place(
        deployment.ROOT / "deployments" / name,
        folder,
        BASE_PORT,
        entry_settings={"placement": placement, "log_level": "warning", "seed": seed},
    )
    stand_ins = json.loads((folder / "stand_ins.json").read_text())
    stand_ins["seed"] = seed
    (folder / "stand_ins.json").write_text(json.dumps(stand_ins))
    # The tightest targets all day, so that figures do not hang on the hour.
    configuration = json.loads((folder / "configuration.json").read_text())
    for request_class in configuration["classes"]:
        tightest = min(target["target_ms"] for target in request_class["targets"])
        request_class["targets"] = [{"from_hour": 0, "target_ms": tightest}]
    (folder / "configuration.json").write_text(json.dumps(configuration))
    workload = json.loads((folder / "workload.json").read_text())
    workload["phases"] = PHASES
    (folder / "workload.json").write_text(json.dumps(workload))
    return configuration


def sleep_until(instant):
    time.sleep(max(0.0, instant - time.monotonic()))


def offer_load(one, label, seed, scale):
    """Runs the load with one zone taken out and in; gives results and the instants of both."""
    results = one.folder / "results.json"
    command = [BINARIES / "lovagecleat-load", "--workload", one.folder / "workload.json", "--seed", seed]
    command += ["--scale", scale, "--label", label, "--json", results, "--report", one.folder / "report.html"]
    for port in one.caller_ports:
        command += ["--target", f"{ADDRESS}:{port}"]
    zone = one.zones[-1]
    with subprocess.Popen([str(part) for part in command], stderr=subprocess.PIPE, text=True) as load:
        # The first line of progress comes as the load starts.
        load.stderr.readline()
        start = time.monotonic()
        sleep_until(start + OUT_AFTER)
        one.ctl("zone", "out", zone)
        out_at = time.monotonic()
        sleep_until(start + IN_AFTER)
        in_at = time.monotonic()
        one.ctl("zone", "in", zone)
        load.stderr.read()
    if load.returncode != 0:
        raise DeploymentError(f"the load ended with {load.returncode}")
    return json.loads(results.read_text()), zone, out_at, in_at


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def violations_of(one, results, records, zone, out_at, in_at):
    """Counts of each invariant that the servers' records show broken."""
    limits = {server["id"]: server for server in one.inventory["servers"]}
    executions = {}
    found = {"ran_twice": 0, "over_cold_limit": 0, "over_warm_limit": 0, "not_run_ran": 0, "late_in_zone": 0}
    for server, record in records.items():
        limit = limits[server]
        found["over_cold_limit"] += record["maximum_in_flight_cold"] > limit["cold_limit"]
        found["over_warm_limit"] += record["maximum_in_flight_warm"] > limit["warm_limit"]
        for run in record["runs"]:
            key = run["idempotency_key"]
            if key:
                executions[(key, run["stage"])] = executions.get((key, run["stage"]), 0) + 1
            is_late = (out_at + OUT_BOUND_SECONDS) * 1000 < run["start_ms"] < in_at * 1000
            found["late_in_zone"] += limit["zone"] == zone and is_late
    found["ran_twice"] = sum(count > 1 for count in executions.values())
    ran_keys = {key for key, _ in executions}
    found["not_run_ran"] = sum(key in ran_keys for key in results["not_run_keys"])
    found["mismatched"] = results["mismatched"]
    return found


def cost_by_stage(configuration, results, records):
    """Milliseconds of server time for each answered request that has the stage."""
    spent = {}
    for record in records.values():
        for run in record["runs"]:
            spent[run["stage"]] = spent.get(run["stage"], 0) + run["end_ms"] - run["start_ms"]
    stages_of = {one["id"]: [stage["name"] for stage in one["stages"]] for one in configuration["pipelines"]}
    answered = {}
    for request_class in configuration["classes"]:
        done = results["by_class"].get(request_class["id"], {}).get("outcomes", {}).get("done", 0)
        for stage in stages_of[request_class["pipeline"]]:
            answered[stage] = answered.get(stage, 0) + done
    return {stage: spent.get(stage, 0) / max(count, 1) for stage, count in answered.items()}


def zone_change_of(results):
    """The share within target while the zone leaves and returns, and the worst second after the first 5."""
    phases = [results["by_phase"][name] for name in ("zone_out", "zone_in")]
    share = sum(one["within_target"] for one in phases) / max(sum(one["offered"] for one in phases), 1)
    worst = 1.0
    for window in results["windows"]:
        since = window["second"] - OUT_AFTER
        if since < OUT_BOUND_SECONDS:
            continue
        cells = window["by_class"].values()
        worst = min(worst, sum(cell[1] for cell in cells) / sum(cell[0] for cell in cells))
    return share, worst


def measure_once(name, label, seed, scale, keep):
    with tempfile.TemporaryDirectory(prefix="lovagecleat-measure-") as temporary:
        folder = pathlib.Path(keep) / f"{label}-{seed}" if keep else pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        configuration = prepare(name, folder, PLACEMENTS[label], seed)
        with Deployment(folder) as one:
            one.start()
            results, zone, out_at, in_at = offer_load(one, label, seed, scale)
            records = one.records()
            cpu = sum(cpu_seconds(one.processes[entry["host"]]) for entry in one.entries)
            failures = one.stop()
        share, worst = zone_change_of(results)
        steady = results["by_phase"]["steady"]
        classes = {
            key.split("/")[1]: group["attainment"]
            for key, group in results["by_phase_and_class"].items()
            if key.startswith("steady/")
        }
        return {
            "label": label,
            "seed": seed,
            "attainment": steady["within_target"] / max(steady["offered"], 1),
            "by_class": classes,
            "late": steady["late"],
            "refusals": results["all"]["refusals"],
            "outcomes": results["all"]["outcomes"],
            "first_token_p95_ms": steady["first_token_ms"]["p95"],
            "token_gap_p95_ms": steady["mean_token_gap_ms"]["p95"],
            "zone_change": share,
            "zone_worst_second": worst,
            "cost_by_stage": cost_by_stage(configuration, results, records),
            "entry_cpu_ms": cpu * 1000 / max(results["all"]["offered"], 1),
            "overloads": sum(record["overloads"] for record in records.values()),
            "violations": violations_of(one, results, records, zone, out_at, in_at),
            "process_failures": failures,
        }


def spread(values):
    return f"{statistics.mean(values):.4f} ({min(values):.4f} to {max(values):.4f})"


def print_table(runs):
    for label in PLACEMENTS:
        own = [run for run in runs if run["label"] == label]
        if not own:
            continue
        print(f"{label}: {len(own)} seeds, mean (least to most)")
        for figure in ("attainment", "zone_change", "zone_worst_second", "first_token_p95_ms", "token_gap_p95_ms"):
            print(f"  {figure}: {spread([run[figure] for run in own])}")
        print(f"  entry_cpu_ms per request: {spread([run['entry_cpu_ms'] for run in own])}")
        for request_class in own[0]["by_class"]:
            print(f"  attainment of {request_class}: {spread([run['by_class'].get(request_class, 1) for run in own])}")


def summary(runs):
    def means(figure):
        labels = dict.fromkeys(run["label"] for run in runs)
        return {
            label: round(statistics.mean(run[figure] for run in runs if run["label"] == label), 4) for label in labels
        }

    stages = {}
    for run in runs:
        for stage, cost in run["cost_by_stage"].items():
            stages.setdefault(stage, {}).setdefault(run["label"], []).append(cost)
    costs = {
        stage: {label: round(statistics.mean(values), 2) for label, values in by_label.items()}
        for stage, by_label in stages.items()
    }
    violations = sum(sum(run["violations"].values()) for run in runs)
    return {
        "attainment": means("attainment"),
        "cost_by_stage": costs,
        "zone_change": means("zone_change"),
        "violations": violations,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="qureshi")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--placements", nargs="+", default=list(PLACEMENTS), choices=list(PLACEMENTS))
    parser.add_argument("--scale", type=float, default=1.0, help="times the workload's rates")
    parser.add_argument("--keep", help="a folder for settings, logs, results and reports")
    arguments = parser.parse_args()
    runs = []
    for seed in arguments.seeds:
        for label in arguments.placements:
            run = measure_once(arguments.deployment, label, seed, arguments.scale, arguments.keep)
            runs.append(run)
            print(json.dumps(run), flush=True)
    print_table(runs)
    print(json.dumps(summary(runs)))


if __name__ == "__main__":
    main()
