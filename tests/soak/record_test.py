"""Tests that each check of the soak reports its violation and reports nothing for a conforming record."""

import unittest

from record import Response, Arrival, Record, Execution, SentRequest, ServerRun, Span, violations


def conforming_record():
    """A record without violations."""
    record = Record()
    record.zone_of = {"s": "zone-a"}
    record.versions = [(0.0, 5)]
    for number in range(8):
        id = f"r{number}"
        record.sent[id] = SentRequest(id, "unsafe", "host", 1, 10.0 + number)
        record.executions.append(Execution(id, "s", 10.1 + number, False))
        record.arrivals.append(Arrival(id, "s", "plain", "host", 10.1 + number, 10.0 + number))
        record.responses.append(Response(id, "unsafe", "host", 1, 10.2 + number, 200, True, id, True))
    return record


def add_probe(record, at, version, host="host", incarnation=1):
    id = f"p{at}"
    record.sent[id] = SentRequest(id, "probe", host, incarnation, at)
    record.responses.append(
        Response(id, "probe", host, incarnation, at + 0.1, 200, True, id, True, version_seen=version)
    )


def add_stream(record, id, events, versions, resumes="", host="host"):
    resumed_after = events[0] - 1 if events else 1
    begun_at = "v1" if resumes else ""
    record.sent[id] = SentRequest(id, "stream", host, 1, 20.0, 6.0, 2, resumes, resumed_after, begun_at)
    record.responses.append(
        Response(id, "stream", host, 1, 21.0, 200, False, id, events=events, versions=versions, is_left=True)
    )


class RecordTest(unittest.TestCase):
    def assert_violation(self, record, name):
        found = violations(record)
        self.assertTrue(any(text.startswith(f"{name}:") for text in found), found)

    def test_conforming_record_has_no_violations(self):
        self.assertEqual(violations(conforming_record()), [])

    def test_second_execution_of_an_unsafe_request(self):
        record = conforming_record()
        record.executions.append(Execution("r1", "other", 12.0, False))
        self.assert_violation(record, "at most once")

    def test_repeatable_request_may_be_executed_twice(self):
        record = conforming_record()
        record.executions += [Execution("s1", "s", 1.0, True), Execution("s1", "s", 2.0, True)]
        self.assertEqual(violations(record), [])

    def test_executed_request_with_a_not_executed_status(self):
        for status in (408, 421, 429, 503):
            record = conforming_record()
            record.responses[1].status = status
            self.assert_violation(record, "not run")

    def test_response_to_another_request(self):
        record = conforming_record()
        record.responses[2].owner = "r3"
        self.assert_violation(record, "answers")

    def test_truncated_response_body(self):
        record = conforming_record()
        record.responses[2].is_body_intact = False
        self.assert_violation(record, "answers")

    def test_missing_and_repeated_stream_events(self):
        for events in ([1, 3], [1, 2, 2], [2]):
            record = conforming_record()
            record.sent["st"] = SentRequest("st", "stream", "host", 1, 10)
            record.responses.append(Response("st", "stream", "host", 1, 11, 200, False, events=events))
            self.assert_violation(record, "streams")

    def test_stream_that_is_resumed_at_the_wrong_event(self):
        record = conforming_record()
        add_stream(record, "a", [1, 2], ["v1", "v1"])
        add_stream(record, "b", [3, 4], ["v1", "v1"], "a")
        self.assertEqual(violations(record), [])
        record.sent["b"].resumed_after = 1
        self.assert_violation(record, "streams")

    def test_events_of_two_versions_in_one_response(self):
        record = conforming_record()
        add_stream(record, "a", [1, 2], ["v1", "v1.1"])
        self.assert_violation(record, "versions")

    def test_events_of_two_versions_in_two_responses(self):
        record = conforming_record()
        add_stream(record, "a", [1], ["v1"])
        add_stream(record, "b", [2], ["v1"], "a")
        add_stream(record, "other", [1], ["v1.1"])
        self.assertEqual(violations(record), [])
        add_stream(record, "c", [3], ["v1.1"], "a")
        self.assert_violation(record, "versions")

    def test_streams_that_are_taken_up_again_and_do_not_go_on(self):
        def record_with(servers, going_on, host="host"):
            record = conforming_record()
            record.zone_of |= {"m1": "zone-a", "m2": "zone-b"}
            record.server_runs = [ServerRun(server, "v1", 0.0) for server in servers]
            record.disturbances.append(Span(20.0, 21.0, "disturbed"))
            for number in range(12):
                add_stream(record, f"a{number}", [1], ["v1"])
                resumed = number < going_on
                add_stream(record, f"b{number}", [2] if resumed else [], ["v1"] if resumed else [], f"a{number}", host)
            return record

        self.assertEqual(violations(record_with(["m1", "m2"], 6)), [])
        self.assertEqual(violations(record_with(["m1"], 5)), [])
        self.assertEqual(violations(record_with(["m1", "m2"], 5, "disturbed")), [])
        record = record_with(["m1", "m2"], 5)
        self.assert_violation(record, "resumed")
        record.evacuations.append(Span(19.0, 30.0, "", "zone-b"))
        self.assertEqual(violations(record), [])

    def test_request_to_a_drained_server(self):
        record = conforming_record()
        record.drained_at["s"] = 12.0
        self.assert_violation(record, "leaving")
        record.disturbances.append(Span(13.0, 14.0, "host"))
        self.assertEqual(violations(record), [])

    def test_request_to_an_evacuated_zone(self):
        record = conforming_record()
        record.evacuations.append(Span(10.0, 30.0, "", "zone-a"))
        self.assert_violation(record, "evacuations")

    def test_cold_server_above_its_rate_limit(self):
        record = conforming_record()
        record.cold_starts.append(("s", 0.0, 100.0, 1))
        self.assertEqual(violations(record), [])
        record.arrivals += [Arrival(f"c{i}", "s", "plain", "host", 50 + i / 100, 50) for i in range(8)]
        self.assert_violation(record, "cold")

    def test_version_decreases_within_a_process(self):
        record = conforming_record()
        add_probe(record, 20, 5)
        record.disturbances.append(Span(0, 100))
        add_probe(record, 21, 4)
        self.assert_violation(record, "configuration")

    def test_restarted_process_may_have_an_older_version(self):
        record = conforming_record()
        record.disturbances.append(Span(0, 100))
        add_probe(record, 20, 5)
        add_probe(record, 21, 4, incarnation=2)
        self.assertEqual(violations(record), [])

    def test_version_in_force_too_late(self):
        record = conforming_record()
        record.versions.append((30.0, 6))
        add_probe(record, 31, 5)
        self.assertEqual(violations(record), [])
        add_probe(record, 33, 5)
        self.assert_violation(record, "configuration")

    def test_request_aborted_by_a_graceful_stop(self):
        record = conforming_record()
        record.graceful_stops.append(Span(12.05, 16.0, "host"))
        record.responses[2].is_complete = False
        self.assert_violation(record, "stops")

    def test_stream_of_an_interrupted_server_during_a_graceful_stop(self):
        record = conforming_record()
        record.graceful_stops.append(Span(12.05, 16.0, "host"))
        record.responses[2].is_complete = False
        record.interrupted.add("r2")
        self.assert_violation(record, "stops")
        record.sent["r2"].attempts = 1
        self.assertEqual(violations(record), [])

    def test_stream_of_a_sound_server_cut_by_the_gateway(self):
        record = conforming_record()
        record.sent["st"] = SentRequest("st", "stream", "host", 1, 10, 6.0)
        record.responses.append(Response("st", "stream", "host", 1, 12, 200, events=[1, 2], is_cut=True))
        self.assert_violation(record, "losses")
        record.interrupted.add("st")
        self.assertEqual(violations(record), [])

    def test_request_without_an_answer(self):
        record = conforming_record()
        record.responses[2] = Response("r2", "unsafe", "host", 1, 12.2, is_cut=True)
        self.assert_violation(record, "losses")
        for span in (Span(11.0, 12.0, "host"), Span(11.0, 12.0, "other")):
            record.disturbances = [span]
            self.assertEqual(bool(violations(record)), span.host == "other")

    def test_request_that_crosses_the_close_of_its_connection(self):
        record = conforming_record()
        record.sent["r8"] = SentRequest("r8", "unsafe", "host", 1, 18.0)
        record.responses.append(Response("r8", "unsafe", "host", 1, 18.1, is_cut=True))
        self.assertEqual(violations(record), [])
        record.responses[-1].at = 18.9
        self.assert_violation(record, "losses")

    def test_too_many_retries(self):
        record = conforming_record()
        record.arrivals += [Arrival("r1", "s", "plain", "host", 12 + i / 100, 11) for i in range(60)]
        self.assert_violation(record, "retries")

    def test_inputs_of_another_request(self):
        record = conforming_record()
        record.mixed_inputs.append("request a got a result of request b")
        self.assert_violation(record, "inputs")

    def test_too_few_successful_requests(self):
        record = conforming_record()
        for response in record.responses:
            response.status = 502
        self.assert_violation(record, "service")


if __name__ == "__main__":
    unittest.main()
