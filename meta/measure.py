"""Compares placement by expected finish time with its baselines; started by measure.sh."""

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
# Load as a share of the rated load; lower while one of the three zones is out of service.
PHASES = [
    {"name": "start", "seconds": 8, "from": 0.1, "to": 0.6},
    {"name": "steady", "seconds": 7, "from": 0.8},
    {"name": "zone_out", "seconds": 7, "from": 0.55},
    {"name": "zone_in", "seconds": 4, "from": 0.55},
]
ZONE_OUT_AFTER_S = PHASES[0]["seconds"] + PHASES[1]["seconds"]
ZONE_IN_AFTER_S = ZONE_OUT_AFTER_S + PHASES[2]["seconds"]
# Time after which a zone that was taken out must receive no new work.
ZONE_DRAIN_LIMIT_S = 5
BASE_PORT = 19000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def prepare_files(name, folder, placement, seed):
    deployment.copy_deployment(
        deployment.ROOT / "deployments" / name,
        folder,
        BASE_PORT,
        entry_settings={"placement": placement, "log_level": "warning", "seed": seed},
    )
    stand_ins = json.loads((folder / "stand_ins.json").read_text())
    stand_ins["seed"] = seed
    (folder / "stand_ins.json").write_text(json.dumps(stand_ins))
    # Applies each class's tightest target all day, so that results do not depend on the hour of the run.
    configuration = json.loads((folder / "configuration.json").read_text())
    for request_class in configuration["classes"]:
        tightest = min(target["target_ms"] for target in request_class["targets"])
        request_class["targets"] = [{"from_hour": 0, "target_ms": tightest}]
    (folder / "configuration.json").write_text(json.dumps(configuration))
    workload = json.loads((folder / "workload.json").read_text())
    workload["phases"] = PHASES
    (folder / "workload.json").write_text(json.dumps(workload))
    return configuration


def sleep_until(deadline):
    time.sleep(max(0.0, deadline - time.monotonic()))


def run_load(cluster, label, seed, scale):
    """Runs the load and takes one zone out and in again; returns the results, the zone and both times."""
    results = cluster.folder / "results.json"
    command = [BINARIES / "lovagecleat-load", "--workload", cluster.folder / "workload.json", "--seed", seed]
    command += ["--scale", scale, "--label", label, "--json", results, "--report", cluster.folder / "report.html"]
    for port in cluster.caller_ports:
        command += ["--target", f"{ADDRESS}:{port}"]
    zone = cluster.zones[-1]
    with subprocess.Popen([str(part) for part in command], stderr=subprocess.PIPE, text=True) as load:
        # The load generator prints its first progress line when it starts sending.
        load.stderr.readline()
        start = time.monotonic()
        sleep_until(start + ZONE_OUT_AFTER_S)
        cluster.ctl("zone", "out", zone)
        out_at = time.monotonic()
        sleep_until(start + ZONE_IN_AFTER_S)
        in_at = time.monotonic()
        cluster.ctl("zone", "in", zone)
        load.stderr.read()
    if load.returncode != 0:
        raise DeploymentError(f"lovagecleat-load exited with code {load.returncode}, expected 0")
    return json.loads(results.read_text()), zone, out_at, in_at


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def violations_of(cluster, results, records, zone, out_at, in_at):
    """Counts the violations of each invariant in the servers' execution records."""
    limits = {server["id"]: server for server in cluster.inventory["servers"]}
    executions = {}
    violations = {"ran_twice": 0, "over_cold_limit": 0, "over_warm_limit": 0, "not_run_ran": 0, "late_in_zone": 0}
    for server, record in records.items():
        limit = limits[server]
        violations["over_cold_limit"] += record["maximum_in_flight_cold"] > limit["cold_limit"]
        violations["over_warm_limit"] += record["maximum_in_flight_warm"] > limit["warm_limit"]
        for run in record["runs"]:
            key = run["idempotency_key"]
            if key:
                executions[(key, run["stage"])] = executions.get((key, run["stage"]), 0) + 1
            is_after_drain = (out_at + ZONE_DRAIN_LIMIT_S) * 1000 < run["start_ms"] < in_at * 1000
            violations["late_in_zone"] += limit["zone"] == zone and is_after_drain
    violations["ran_twice"] = sum(count > 1 for count in executions.values())
    ran_keys = {key for key, _ in executions}
    violations["not_run_ran"] = sum(key in ran_keys for key in results["not_run_keys"])
    violations["mismatched"] = results["mismatched"]
    return violations


def cost_by_stage(configuration, results, records):
    """Returns the server time in ms of each stage per answered request whose pipeline has the stage."""
    server_ms = {}
    for record in records.values():
        for run in record["runs"]:
            server_ms[run["stage"]] = server_ms.get(run["stage"], 0) + run["end_ms"] - run["start_ms"]
    stages_of = {
        pipeline["id"]: [stage["name"] for stage in pipeline["stages"]] for pipeline in configuration["pipelines"]
    }
    answered = {}
    for request_class in configuration["classes"]:
        done = results["by_class"].get(request_class["id"], {}).get("outcomes", {}).get("done", 0)
        for stage in stages_of[request_class["pipeline"]]:
            answered[stage] = answered.get(stage, 0) + done
    return {stage: server_ms.get(stage, 0) / max(count, 1) for stage, count in answered.items()}


def zone_change_of(results):
    """Returns the share within target while the zone is out and returning, and that of the worst second after 5 s."""
    phases = [results["by_phase"][name] for name in ("zone_out", "zone_in")]
    share = sum(phase["within_target"] for phase in phases) / max(sum(phase["offered"] for phase in phases), 1)
    worst = 1.0
    for window in results["windows"]:
        seconds_since_out = window["second"] - ZONE_OUT_AFTER_S
        if seconds_since_out < ZONE_DRAIN_LIMIT_S:
            continue
        cells = window["by_class"].values()
        worst = min(worst, sum(cell[1] for cell in cells) / sum(cell[0] for cell in cells))
    return share, worst


def measure_once(name, label, seed, scale, keep):
    with tempfile.TemporaryDirectory(prefix="lovagecleat-measure-") as temporary:
        folder = pathlib.Path(keep) / f"{label}-{seed}" if keep else pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        configuration = prepare_files(name, folder, PLACEMENTS[label], seed)
        with Deployment(folder) as cluster:
            cluster.start()
            results, zone, out_at, in_at = run_load(cluster, label, seed, scale)
            records = cluster.records()
            cpu = sum(cpu_seconds(cluster.processes[entry["host"]]) for entry in cluster.entries)
            failures = cluster.stop()
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
            "violations": violations_of(cluster, results, records, zone, out_at, in_at),
            "process_failures": failures,
        }


def format_spread(values):
    return f"{statistics.mean(values):.4f} ({min(values):.4f} to {max(values):.4f})"


def print_table(runs):
    for label in PLACEMENTS:
        label_runs = [run for run in runs if run["label"] == label]
        if not label_runs:
            continue
        print(f"{label}: {len(label_runs)} seeds, mean (least to most)")
        for metric in ("attainment", "zone_change", "zone_worst_second", "first_token_p95_ms", "token_gap_p95_ms"):
            print(f"  {metric}: {format_spread([run[metric] for run in label_runs])}")
        print(f"  entry_cpu_ms per request: {format_spread([run['entry_cpu_ms'] for run in label_runs])}")
        for request_class in label_runs[0]["by_class"]:
            print(
                f"  attainment of {request_class}: "
                f"{format_spread([run['by_class'].get(request_class, 1) for run in label_runs])}"
            )


def summary(runs):
    def means(metric):
        labels = dict.fromkeys(run["label"] for run in runs)
        return {
            label: round(statistics.mean(run[metric] for run in runs if run["label"] == label), 4) for label in labels
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
    parser.add_argument("--scale", type=float, default=1.0, help="factor applied to the workload's rates")
    parser.add_argument("--keep", help="folder in which to keep settings, logs, results and reports")
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
