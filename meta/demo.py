"""Runs example requests and operator commands against one deployment; started by demo.sh."""

import pathlib
import sys
import tempfile

import deployment
from deployment import ADDRESS, BINARIES, DeploymentError, Deployment, get, wait_until

EXAMPLES = {
    "qureshi": {
        "lookup": ("fault-lookup", "north-hospitals", '{"text": "dish 12 loses lock", "marker": "dish-12"}'),
        "non_idempotent": ("dispatch", "north-hospitals", '{"text": "send a crew to dish 12", "marker": "crew-7"}'),
        "targets": ("fault-lookup", "0=5000", "11=2800", "18=4000"),
        "zone": "fsd-main",
    },
    "rwanda": {
        "lookup": ("catalogue-question", "kigali-heights", '{"text": "Ni ryari nomero ya 7 izasohoka?", "marker": "issue-7"}'),
        "non_idempotent": ("hold", "kigali-heights", '{"text": "hold issue 7 at the counter", "marker": "hold-7"}'),
        "targets": ("catalogue-question", "0=5000", "9=3200", "19=5000"),
        "zone": "kg-kicukiro",
    },
}


def call(port, example, *options):
    request_class, team, text = example
    command = [BINARIES / "lovagecleat-call", "--host", f"{ADDRESS}:{port}", "--class", request_class]
    return deployment.run([*command, "--team", team, "--input", text, "--trace", *options])


def zone_readiness(cluster, zone):
    hosts = [entry for entry in cluster.entries if entry["zone"] == zone]
    return [get(entry["callers"]["port"], "/readyz") is not None for entry in hosts]


def take_zone_out_and_in(cluster, zone):
    print(cluster.ctl("zone", "out", zone))
    wait_until(lambda: not any(zone_readiness(cluster, zone)), f"{zone} out")
    print(f"{zone}: its hosts are no longer ready\n")
    print(cluster.ctl("zone", "in", zone))
    wait_until(lambda: all(zone_readiness(cluster, zone)), f"{zone} in")
    print(f"{zone}: its hosts are ready\n")


def run_examples(cluster, example):
    port = cluster.caller_ports[0]
    print("== A lookup of four stages, streamed")
    print(call(port, example["lookup"], "--stream"))
    print("== A call that must not be repeated, sent twice with the same key")
    print(call(port, example["non_idempotent"], "--key", "demo-1"))
    print(call(cluster.caller_ports[1], example["non_idempotent"], "--key", "demo-1"))
    check_ran_once(cluster)
    print("== Targets and zones")
    print(cluster.ctl("set-target", *example["targets"]))
    take_zone_out_and_in(cluster, example["zone"])
    print("== Status")
    print(cluster.ctl("status"))
    print("== Audit")
    print(cluster.ctl("audit"))


def check_ran_once(cluster):
    runs = [run for record in cluster.records().values() for run in record["runs"] if run["idempotency_key"]]
    if len(runs) != 1:
        raise DeploymentError(f"the call with an idempotency key ran {len(runs)} times, expected 1")
    print("The servers' records show one execution.\n")


def main(name):
    with tempfile.TemporaryDirectory(prefix="lovagecleat-demo-") as folder:
        target = pathlib.Path(folder)
        source = deployment.ROOT / "deployments" / name
        base_port = int(sys.argv[2]) if len(sys.argv) > 2 else None
        deployment.copy_deployment(source, target, base_port)
        cluster = Deployment(target)
        try:
            cluster.start()
            run_examples(cluster, EXAMPLES[name])
        except Exception:
            for log in sorted(target.glob("*.log")):
                print(f"-- {log.name}\n{log.read_text()[-3000:]}", file=sys.stderr)
            raise
        finally:
            failures = cluster.stop()
        if failures:
            raise DeploymentError("; ".join(failures))
    print("demo: ok")


if __name__ == "__main__":
    main(sys.argv[1])
