"""Tests that each check of the soak reports its violation and reports nothing for a conforming record."""

import unittest

from record import (Arrival, Execution, LostRow, NamedLimit, Notice, QuietAnswer, Record, Response, Rollout, SentRequest,
                    ServerRun, Silence, Span, StageCall, violations)


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


def record_with_notice(server="s"):
    """A record in which a host passed on the notice of a server 2.5 s before the last request of its callers."""
    record = conforming_record()
    record.notices[(server, "host", 1)] = Notice(server, "host", 1, 14.5)
    return record


def record_with_quiet(requests):
    """A record in which a server answered at 40 s with 3 s of quiet and got so many requests 1 s later."""
    record = conforming_record()
    record.quiet_answers.append(QuietAnswer("s", "host", 1, 40.0, 3.0))
    # They don't count: too early, too late, of another host and of another process of the host.
    others = [(40.4, "host", 1)] * 3 + [(43.1, "host", 1)] * 3 + [(41.0, "other", 1)] * 3 + [(41.0, "host", 2)] * 3
    for number, (at, host, incarnation) in enumerate(others + [(41.0, "host", 1)] * requests):
        record.arrivals.append(Arrival(f"q{number}", "s", "plain", host, at, at - 0.1, incarnation))
    return record


def record_with_restore(begin=30.0):
    """A record in which the store went back to an older copy and a request reached a server 1 s later."""
    record = conforming_record()
    record.restores.append(Span(begin, begin + 0.5))
    record.disturbances.append(Span(begin, begin + 2.0, "", "restore"))
    record.arrivals.append(Arrival("late", "s2", "plain", "host", begin + 1.0, begin + 0.9))
    record.zone_of["s2"] = "zone-b"
    return record


def record_with_silence(is_closed=False):
    """A record in which a server was silent for 1 s in its answer to a request."""
    record = conforming_record()
    record.sent["r1"].at = 10.9
    record.silences.append(Silence("r1", "s", "host", 11.1, 12.1, "answer", is_closed))
    return record


def record_with_rollout(fault, state, exposed=30, others=170, bad_answers=()):
    """A record in which a version was ordered at 40 s for 20 s and got some of the service's requests at 45 s."""
    record = conforming_record()
    rollout = Rollout("model", "v2", fault, 40.0, 60.0, {"n"}, list(bad_answers))
    rollout.states = [(40.5, "v2", "running"), (58.0, "v2", state)]
    record.rollouts.append(rollout)
    for number in range(exposed + others):
        server = "n" if number < exposed else "o"
        record.arrivals.append(Arrival(f"m{number}", server, "model", "host", 45.0, 44.9))
    return record


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

    def assert_excused_by_interruptions(self, make_record, name, begin, end):
        """Expects a violation unless the host itself is disturbed in the given time."""
        for span in (Span(begin, end, "host"), Span(begin, end, "other"), Span(begin, end)):
            record = make_record()
            record.disturbances.append(span)
            found = [text for text in violations(record) if text.startswith(f"{name}:")]
            self.assertEqual(bool(found), span.host != "host", (span, found))

    def test_request_to_a_server_that_gave_notice(self):
        self.assert_violation(record_with_notice(), "leaving")
        self.assertEqual(violations(record_with_notice("other")), [])
        self.assert_excused_by_interruptions(record_with_notice, "leaving", 15.0, 15.5)

    def test_request_that_was_sent_within_the_bound_of_a_notice(self):
        record = record_with_notice()
        record.notices[("s", "host", 1)].at = 15.0
        record.arrivals[-1].at = 18.0
        self.assertEqual(violations(record), [])

    def test_request_of_a_restarted_host_to_a_server_that_gave_notice(self):
        record = record_with_notice()
        record.arrivals[-1].incarnation = 2
        self.assertEqual(violations(record), [])

    def test_stage_call_to_a_server_that_gave_notice(self):
        record = record_with_notice("e")
        record.stage_calls.append(StageCall("r7", "e", "encoder", "host", 17.2, 17.0, 1, [("r7", 0, 0)]))
        self.assert_violation(record, "leaving")
        record.server_cuts.append(("e", 14.4))
        self.assertEqual(violations(record), [])

    def test_requests_to_a_server_that_asked_for_quiet(self):
        self.assertEqual(violations(record_with_quiet(2)), [])
        self.assert_violation(record_with_quiet(3), "quiet")
        self.assert_excused_by_interruptions(lambda: record_with_quiet(3), "quiet", 41.5, 42.0)
        record = record_with_quiet(3)
        record.server_cuts.append(("other", 40.2))
        self.assert_violation(record, "quiet")
        record.server_cuts.append(("s", 40.2))
        self.assertEqual(violations(record), [])

    def test_stage_calls_to_a_server_that_asked_for_quiet(self):
        record = record_with_quiet(2)
        record.stage_calls.append(StageCall("r7", "s", "encoder", "host", 41.2, 17.0, 1, [("r7", 0, 0)]))
        self.assert_violation(record, "quiet")

    def test_request_to_a_drained_server_after_a_restore(self):
        def record_with_drain(at=25.0):
            record = record_with_restore()
            record.drained_at["s2"] = at
            return record

        self.assertEqual(violations(record_with_restore()), [])
        self.assert_violation(record_with_drain(), "era")
        # The drain was not in force yet.
        self.assertEqual(violations(record_with_drain(28.5)), [])
        self.assert_excused_by_interruptions(record_with_drain, "era", 30.6, 30.7)
        # The host was never in touch for long enough between the drain and the restore, so it may not know of it.
        for name, host in (("disturbances", ""), ("store_cuts", "host")):
            record = record_with_drain()
            getattr(record, name).append(Span(24.0, 26.5, host))
            self.assert_violation(record, "era")
            getattr(record, name).append(Span(27.0, 28.0, host))
            self.assertEqual(violations(record), [])

    def test_stage_call_to_a_drained_server_after_a_restore(self):
        record = record_with_restore()
        record.drained_at["e"] = 25.0
        record.stage_calls.append(StageCall("r7", "e", "encoder", "host", 31.2, 31.0, 1, [("r7", 0, 0)]))
        self.assert_violation(record, "era")

    def test_request_to_an_evacuated_zone_after_a_restore(self):
        record = record_with_restore()
        record.evacuations.append(Span(24.0, 40.0, "", "zone-b"))
        self.assert_violation(record, "era")
        for begin, end in ((26.0, 40.0), (24.0, 30.9)):
            record.evacuations = [Span(begin, end, "", "zone-b")]
            self.assertEqual(violations(record), [])

    def test_configuration_goes_back_after_a_restore(self):
        record = record_with_restore()
        add_probe(record, 29.5, 5)
        add_probe(record, 30.7, 4)
        self.assert_violation(record, "configuration")

    def test_own_row_that_is_not_written_again_after_a_restore(self):
        def record_with_row(is_written_again=False):
            record = record_with_restore()
            record.lost_rows.append(LostRow("host", 30.5, 35.5, is_written_again))
            return record

        self.assertEqual(violations(record_with_row(True)), [])
        self.assert_violation(record_with_row(), "era")
        for disturbance in (Span(33.0, 34.0), Span(33.0, 34.0, "host")):
            record = record_with_row()
            record.disturbances.append(disturbance)
            self.assertEqual(violations(record), [])
        record = record_with_row()
        record.store_cuts.append(Span(33.0, 34.0, "host"))
        self.assertEqual(violations(record), [])
        record = record_with_row()
        record.restores.append(Span(34.0, 35.0))
        self.assertEqual(violations(record), [])

    def test_connection_that_a_gateway_closes_during_a_silence(self):
        self.assertEqual(violations(record_with_silence()), [])
        self.assert_violation(record_with_silence(True), "silence")
        self.assert_excused_by_interruptions(lambda: record_with_silence(True), "silence", 11.5, 11.6)

    def test_request_that_is_sent_again_during_a_silence(self):
        record = record_with_silence()
        record.arrivals.append(Arrival("r1", "other", "plain", "host", 11.8, 10.9))
        self.assert_violation(record, "silence")
        record.arrivals[-1].at = 12.2
        self.assertEqual(violations(record), [])

    def test_stage_item_that_is_sent_again_during_a_silence(self):
        items = [("r1", 0, 0), ("r2", 0, 0)]
        record = conforming_record()
        record.sent["r1"].at = 10.9
        record.stage_calls.append(StageCall("r2", "e", "encoder", "host", 11.0, 10.9, 1, items))
        record.silences.append(Silence("r1", "e", "host", 11.1, 12.1, "stage call", False, items))
        self.assertEqual(violations(record), [])
        record.stage_calls.append(StageCall("r2", "e2", "encoder", "host", 11.8, 10.9, 1, items[1:]))
        self.assert_violation(record, "silence")

    def test_silences_that_prove_nothing(self):
        def check_excused(change):
            record = record_with_silence(True)
            change(record)
            self.assertEqual(violations(record), [])

        check_excused(lambda record: setattr(record.silences[0], "begin", 10.5))  # longer than the bound
        check_excused(lambda record: record.server_cuts.append(("s", 11.5)))
        check_excused(lambda record: setattr(record.sent["r1"], "time_limit", 1.5))
        check_excused(lambda record: setattr(record.responses[1], "is_left", True))
        check_excused(lambda record: record.graceful_stops.append(Span(11.5, 12.0, "host")))

    def test_crashing_part_that_goes_on_reaching_servers(self):
        def make(count):
            record = conforming_record()
            record.crashing_part = "bad1"
            record.part_crashes = [1.0 + i for i in range(5)]
            for i in range(count):
                id = f"c{i}"
                record.sent[id] = SentRequest(id, "stream", "host", 1, 20.0 + i, is_crashing=True)
                record.arrivals.append(Arrival(id, "s", "model", "host", 20.1 + i, 20.0 + i))
            return record

        self.assertEqual(violations(make(3)), [])
        self.assert_violation(make(4), "crashing part")
        record = make(4)
        record.disturbances.append(Span(20.0, 24.0, "host"))
        self.assertEqual(violations(record), [])

    def test_health_checks_are_no_crashing_requests(self):
        record = conforming_record()
        record.crashing_part = "bad1"
        record.part_crashes = [1.0 + i for i in range(5)]
        record.arrivals.extend(Arrival("", "s", "model", "", 20.0 + i, 0.0) for i in range(4))
        self.assertEqual(violations(record), [])

    def test_crashing_request_that_goes_on_reaching_servers(self):
        def make(count, kind="safe"):
            record = conforming_record()
            record.request_crashes = [1.0 + i for i in range(3)]
            for i in range(count):
                id = f"c{i}"
                record.sent[id] = SentRequest(id, kind, "host", 1, 20.0 + i, is_crashing=True)
                record.arrivals.append(Arrival(id, "s", "plain", "host", 20.1 + i, 20.0 + i))
            return record

        self.assertEqual(violations(make(3)), [])
        self.assert_violation(make(4), "crashing request")
        self.assertEqual(violations(make(4, "stream")), [])
        record = make(4)
        record.disturbances.append(Span(20.0, 24.0, "host"))
        self.assertEqual(violations(record), [])

    def test_sound_part_that_is_blocked(self):
        record = conforming_record()
        record.crashing_part = "bad1"
        record.blocked_parts = [("host", "bad1")]
        self.assertEqual(violations(record), [])
        record.blocked_parts.append(("host", "a1"))
        self.assert_violation(record, "crashing part")

    def test_sound_streams_that_are_refused_beside_a_crashing_part(self):
        def make(served_after):
            record = conforming_record()
            record.part_crashes = [100.0 + i for i in range(5)]
            for begin, served in ((50.0, 20), (120.0, served_after)):
                for i in range(20):
                    id = f"{begin}-{i}"
                    record.sent[id] = SentRequest(id, "stream", "host", 1, begin + i / 10)
                    response = Response(id, "stream", "host", 1, begin + i / 10 + 0.1, 200, True, id, True)
                    response.events = [1] if i < served else []
                    record.responses.append(response)
            return record

        self.assertEqual(violations(make(10)), [])
        self.assert_violation(make(9), "crashing part")

    def test_limit_that_is_exceeded(self):
        def make(count):
            record = conforming_record()
            record.limits.append(NamedLimit("s", 40.0, 60.0, 1.0))
            record.limit_notices[("s", "host", 1)] = [30.0, 41.0]
            for i in range(count):
                list_ = (record.stage_calls, record.control_calls, record.arrivals)[i % 3]
                call = StageCall if i % 3 == 0 else Arrival
                list_.append(call("r1", "s", "plain", "host", 50.0 + i / 10, 50.0))
            return record

        self.assertEqual(violations(make(11)), [])
        self.assert_violation(make(12), "limits")
        record = make(12)
        record.limit_notices.clear()
        self.assertEqual(violations(record), [])
        record = make(12)
        record.disturbances.append(Span(50.0, 50.5, "host"))
        self.assertEqual(violations(record), [])

    def test_bad_version_exposed(self):
        # 50 and a tenth of 200 are allowed.
        self.assertEqual(violations(record_with_rollout("late", "rolled_back", 70, 130)), [])
        self.assert_violation(record_with_rollout("late", "rolled_back", 71, 129), "exposure")
        self.assertEqual(violations(record_with_rollout("", "completed", 71, 129)), [])
        record = record_with_rollout("late", "rolled_back", 71, 129)
        record.disturbances.append(Span(45.0, 45.5, "host"))
        self.assertEqual(violations(record), [])

    def test_bad_version_used_long_after_its_bad_answers(self):
        def make(at, bad_answers):
            record = record_with_rollout("late", "rolled_back", bad_answers=[45.0] * bad_answers)
            record.arrivals.append(Arrival("late", "n", "model", "host", at, at - 0.1))
            return record

        self.assertEqual(violations(make(49.9, 50)), [])
        self.assertEqual(violations(make(50.1, 49)), [])
        self.assert_violation(make(50.1, 50), "exposure")

    def test_exposure_of_a_stage_service(self):
        record = record_with_rollout("late", "rolled_back", 0, 200)
        call = StageCall("r1", "n", "model", "host", 45.0, 44.9, 1, [("r1", 0, piece) for piece in range(8)])
        record.stage_calls += [call] * 8
        self.assertEqual(violations(record), [])
        record.stage_calls += [call] * 2
        self.assert_violation(record, "exposure")

    def test_version_with_the_wrong_end(self):
        self.assertEqual(violations(record_with_rollout("", "completed")), [])
        self.assert_violation(record_with_rollout("", "rolled_back"), "rollouts")
        late = record_with_rollout("", "completed")
        late.rollouts[0].states[-1] = (60.1, "v2", "completed")
        self.assert_violation(late, "rollouts")
        bad = [45.0] * 10
        self.assertEqual(violations(record_with_rollout("late", "rolled_back", bad_answers=bad)), [])
        self.assert_violation(record_with_rollout("late", "completed", bad_answers=bad), "rollouts")
        self.assert_violation(record_with_rollout("late", "running", bad_answers=bad), "rollouts")
        self.assertEqual(violations(record_with_rollout("late", "completed", bad_answers=bad[1:])), [])
        # The system had not been told of the last one when it completed the order at 58 s.
        self.assertEqual(violations(record_with_rollout("late", "completed", bad_answers=bad[1:] + [57.4])), [])
        self.assert_violation(record_with_rollout("late", "completed", bad_answers=bad[1:] + [57.2]), "rollouts")
        self.assertEqual(violations(record_with_rollout("one server", "completed", bad_answers=bad)), [])

    def test_state_that_does_not_stay(self):
        record = record_with_rollout("", "completed")
        record.rollouts[0].states.append((59.0, "v2", "running"))
        self.assert_violation(record, "rollouts")
        record.rollouts[0].states[-1] = (59.0, "v2", "rolled_back")
        self.assert_violation(record, "rollouts")
        record.rollouts[0].states[-1] = (59.0, "v3", "completed")
        self.assert_violation(record, "rollouts")

    def test_version_used_after_roll_back(self):
        record = record_with_rollout("late", "rolled_back")
        record.arrivals.append(Arrival("late", "n", "model", "host", 60.1, 59.9))
        self.assertEqual(violations(record), [])
        record.arrivals.append(Arrival("later", "n", "model", "host", 60.2, 60.1))
        self.assert_violation(record, "rollouts")

    def test_requests_cut_by_completion(self):
        record = record_with_rollout("", "completed")
        record.rollouts[0].stopped_at = 58.1
        record.rollouts[0].stopped_requests = ["host"] * 3
        self.assertEqual(violations(record), [])
        record.rollouts[0].stopped_requests = ["host"] * 4
        self.assert_violation(record, "rollouts")
        record.disturbances.append(Span(50.0, 51.0, "host"))
        self.assertEqual(violations(record), [])
        # One host has twice its part of the requests.
        record.disturbances.clear()
        record.arrivals += [Arrival(f"b{i}", "o", "model", "b", 45.0, 44.9) for i in range(400)]
        self.assert_violation(record, "rollouts")
        record.rollouts[0].stopped_requests = ["b"] * 4
        self.assertEqual(violations(record), [])

    def test_health_checks_are_no_retries(self):
        record = conforming_record()
        record.arrivals += [Arrival("", "s", "plain", "host", 12 + i / 100, 11) for i in range(60)]
        self.assertEqual(violations(record), [])

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
