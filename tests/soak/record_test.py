"""Each check of the soak finds a violation, and nothing where all is well."""

import unittest

from record import Answer, Arrival, Record, Run, Sent, Span, violations


def calm():
    """A run in which everything was kept."""
    record = Record()
    record.zone_of = {"s": "zone-a"}
    record.versions = [(0.0, 5)]
    for number in range(8):
        id = f"r{number}"
        record.sent[id] = Sent(id, "unsafe", "host", 1, 10.0 + number)
        record.runs.append(Run(id, "s", 10.1 + number, False))
        record.arrivals.append(Arrival(id, "s", "plain", "host", 10.1 + number, 10.0 + number))
        record.answers.append(Answer(id, "unsafe", "host", 1, 10.2 + number, 200, True, id, True))
    return record


def probe(record, at, version, host="host", incarnation=1):
    id = f"p{at}"
    record.sent[id] = Sent(id, "probe", host, incarnation, at)
    record.answers.append(Answer(id, "probe", host, incarnation, at + 0.1, 200, True, id, True, version_seen=version))


class RecordTest(unittest.TestCase):
    def assert_found(self, record, name):
        found = violations(record)
        self.assertTrue(any(text.startswith(f"{name}:") for text in found), found)

    def test_calm_run(self):
        self.assertEqual(violations(calm()), [])

    def test_second_run(self):
        record = calm()
        record.runs.append(Run("r1", "other", 12.0, False))
        self.assert_found(record, "at most once")

    def test_repeatable_requests_may_run_twice(self):
        record = calm()
        record.runs += [Run("s1", "s", 1.0, True), Run("s1", "s", 2.0, True)]
        self.assertEqual(violations(record), [])

    def test_untrue_refusal(self):
        for status in (408, 421, 429, 503):
            record = calm()
            record.answers[1].status = status
            self.assert_found(record, "not run")

    def test_foreign_answer(self):
        record = calm()
        record.answers[2].owner = "r3"
        self.assert_found(record, "answers")

    def test_partial_answer(self):
        record = calm()
        record.answers[2].is_body_whole = False
        self.assert_found(record, "answers")

    def test_gap_and_repeat_in_a_stream(self):
        for events in ([1, 3], [1, 2, 2], [2]):
            record = calm()
            record.sent["st"] = Sent("st", "stream", "host", 1, 10)
            record.answers.append(Answer("st", "stream", "host", 1, 11, 200, False, events=events))
            self.assert_found(record, "streams")

    def test_request_to_a_server_that_left(self):
        record = calm()
        record.leaving["s"] = 12.0
        self.assert_found(record, "leaving")
        record.disturbances.append(Span(13.0, 14.0, "host"))
        self.assertEqual(violations(record), [])

    def test_request_to_an_evacuated_zone(self):
        record = calm()
        record.evacuations.append(Span(10.0, 30.0, "", "zone-a"))
        self.assert_found(record, "evacuations")

    def test_cold_server_with_too_much(self):
        record = calm()
        record.cold.append(("s", 0.0, 100.0, 1))
        self.assertEqual(violations(record), [])
        record.arrivals += [Arrival(f"c{i}", "s", "plain", "host", 50 + i / 100, 50) for i in range(8)]
        self.assert_found(record, "cold")

    def test_version_that_falls(self):
        record = calm()
        probe(record, 20, 5)
        record.disturbances.append(Span(0, 100))
        probe(record, 21, 4)
        self.assert_found(record, "configuration")

    def test_restarted_process_may_know_less(self):
        record = calm()
        record.disturbances.append(Span(0, 100))
        probe(record, 20, 5)
        probe(record, 21, 4, incarnation=2)
        self.assertEqual(violations(record), [])

    def test_version_that_comes_late(self):
        record = calm()
        record.versions.append((30.0, 6))
        probe(record, 31, 5)
        self.assertEqual(violations(record), [])
        probe(record, 33, 5)
        self.assert_found(record, "configuration")

    def test_request_cut_off_by_a_stop(self):
        record = calm()
        record.stops.append(Span(12.05, 16.0, "host"))
        record.answers[2].is_complete = False
        self.assert_found(record, "stops")

    def test_too_many_retries(self):
        record = calm()
        record.arrivals += [Arrival("r1", "s", "plain", "host", 12 + i / 100, 11) for i in range(60)]
        self.assert_found(record, "retries")

    def test_mixed_inputs(self):
        record = calm()
        record.mixed_inputs.append("request a was given results of b")
        self.assert_found(record, "inputs")

    def test_nothing_served(self):
        record = calm()
        for answer in record.answers:
            answer.status = 502
        self.assert_found(record, "service")


if __name__ == "__main__":
    unittest.main()
