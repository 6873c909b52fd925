"""Tests the checks of measure.py with records that violate each invariant and with valid records."""

import pathlib
import sys
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "meta"))
import measure  # noqa: E402  (needs the path that is added above)

OUT_AT, IN_AT = 100.0, 110.0


def run_of(start_ms, key="", stage="bill"):
    return {"stage": stage, "idempotency_key": key, "start_ms": start_ms, "end_ms": start_ms + 10}


def record_of(runs, cold=1, warm=2):
    return {"runs": runs, "maximum_in_flight_cold": cold, "maximum_in_flight_warm": warm}


def violations(records, not_run_keys=(), mismatched=0):
    servers = [{"id": "a", "zone": "z", "cold_limit": 1, "warm_limit": 2}]
    cluster = types.SimpleNamespace(inventory={"servers": servers})
    results = {"not_run_keys": list(not_run_keys), "mismatched": mismatched}
    counts = measure.violations_of(cluster, results, {"a": records}, "z", OUT_AT, IN_AT)
    return {name for name, count in counts.items() if count}


class ViolationsTest(unittest.TestCase):
    def test_valid_records_have_no_violations(self):
        runs = [run_of(99000, "k1"), run_of(99000, "k2"), run_of(104900), run_of(110100)]
        self.assertEqual(violations(record_of(runs), ["k3"]), set())

    def test_second_run_of_a_key_and_stage(self):
        self.assertEqual(violations(record_of([run_of(1, "k"), run_of(2, "k")])), {"ran_twice"})
        self.assertEqual(violations(record_of([run_of(1, "k"), run_of(2, "k", "other")])), set())

    def test_exceeded_limits(self):
        self.assertEqual(violations(record_of([], cold=2)), {"over_cold_limit"})
        self.assertEqual(violations(record_of([], warm=3)), {"over_warm_limit"})

    def test_execution_of_a_request_reported_not_run(self):
        self.assertEqual(violations(record_of([run_of(1, "k")]), ["k"]), {"not_run_ran"})

    def test_new_work_in_a_zone_out_of_service(self):
        self.assertEqual(violations(record_of([run_of(106000)])), {"late_in_zone"})

    def test_mismatched_answers(self):
        self.assertEqual(violations(record_of([]), mismatched=1), {"mismatched"})


class CostTest(unittest.TestCase):
    def test_all_server_time_counts_against_answered_requests(self):
        configuration = {
            "pipelines": [{"id": "p", "stages": [{"name": "bill"}]}],
            "classes": [{"id": "c", "pipeline": "p"}],
        }
        results = {"by_class": {"c": {"outcomes": {"done": 2, "failed": 1}}}}
        records = {"a": record_of([run_of(1), run_of(2), run_of(3)])}
        self.assertEqual(measure.cost_by_stage(configuration, results, records), {"bill": 15.0})


if __name__ == "__main__":
    unittest.main()
