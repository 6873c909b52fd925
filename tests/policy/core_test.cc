#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/policy/entry_host_harness.h"

namespace lovagecleat::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StartBackendCall TakeOnlyCall(EntryHostHarness& host) {
  const auto calls = host.Take<StartBackendCall>();
  REQUIRE(calls.size() == 1);
  return calls.front();
}

messages::PeerMessage StageRequestFrom(const char* sender) {
  messages::PeerMessage message;
  message.set_sender(sender);
  message.set_incarnation(7);
  message.set_sequence(1);
  messages::StageRequest* request = message.mutable_stage_request();
  request->set_attempt(31);
  request->set_request("r");
  request->set_stage("encode");
  request->set_service("encoder");
  request->set_request_class("lookup");
  request->set_team("team");
  request->set_input("{}");
  request->set_remaining_us(2000000);
  request->set_stage_remaining_us(2000000);
  return message;
}

std::vector<messages::StageResult> TakeStageResults(EntryHostHarness& host) {
  std::vector<messages::StageResult> results;
  for (const SendPeerMessage& send : host.Take<SendPeerMessage>()) {
    if (send.message.has_stage_result()) {
      results.push_back(send.message.stage_result());
    }
  }
  return results;
}

TEST_CASE("Stages run in order, and each gets the results of those before it") {
  EntryHostHarness host({});
  const CallId call = host.SubmitRequest("lookup");
  const StartBackendCall encode = TakeOnlyCall(host);
  REQUIRE(encode.stage == "encode");
  host.Finish(encode, AttemptOutcome::kOk, R"({"vector":[1]})");
  const StartBackendCall generate = TakeOnlyCall(host);
  REQUIRE(generate.stage == "generate");
  REQUIRE(generate.input ==
          R"({"input":{"text":"x"},"previous":{"encode":{"vector":[1]}}})");
  host.Finish(generate, AttemptOutcome::kOk, R"({"text":"done"})");
  const auto answers = host.Take<DeliverAnswer>();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].call == call);
  REQUIRE(answers[0].output == R"({"text":"done"})");
  REQUIRE(answers[0].trace.size() == 2);
}

TEST_CASE("A duplicate or late result changes nothing") {
  EntryHostHarness host({});
  host.SubmitRequest("lookup");
  const StartBackendCall encode = TakeOnlyCall(host);
  host.Finish(encode, AttemptOutcome::kOk);
  host.Finish(encode, AttemptOutcome::kOk);
  REQUIRE(host.Take<StartBackendCall>().size() == 1);
  REQUIRE(host.Take<DeliverAnswer>().empty());
}

TEST_CASE("A stream is passed on in order, without repetitions or gaps") {
  EntryHostHarness host({});
  host.SubmitRequest("lookup", "", std::nullopt, Delivery::kStream);
  host.Finish(TakeOnlyCall(host), AttemptOutcome::kOk);
  const StartBackendCall generate = TakeOnlyCall(host);
  host.Send(BackendToken{generate.attempt, 0, "a"});
  host.Send(BackendToken{generate.attempt, 0, "a"});
  host.Send(BackendToken{generate.attempt, 2, "c"});
  host.Send(BackendToken{generate.attempt, 1, "b"});
  const auto tokens = host.Take<DeliverToken>();
  REQUIRE(tokens.size() == 2);
  REQUIRE(tokens[1].offset == 1);
  host.Finish(generate, AttemptOutcome::kConnectionLost);
  // The stream is resumed at another server at the offset where it broke off.
  REQUIRE(TakeOnlyCall(host).offset == 2);
}

TEST_CASE("An idempotent stage is retried at another server") {
  EntryHostHarness host({});
  host.SubmitRequest("lookup");
  const StartBackendCall first = TakeOnlyCall(host);
  host.Finish(first, AttemptOutcome::kServerError);
  const StartBackendCall second = TakeOnlyCall(host);
  REQUIRE(second.server != first.server);
}

// Guards against failed requests: the last attempt was abandoned at a silent
// server, although nothing could take its place.
TEST_CASE("The last attempt at a stage waits until its deadline") {
  EntryHostHarness host({.servers = 3});
  host.SubmitRequest("lookup");
  for (int i = 0; i < 2; ++i)
    host.Finish(TakeOnlyCall(host), AttemptOutcome::kNoProgress);
  const StartBackendCall last = TakeOnlyCall(host);
  const Duration remaining = last.deadline - host.now();
  REQUIRE(last.first_byte_timeout >= remaining);
  REQUIRE(last.progress_timeout >= remaining);
}

TEST_CASE("A non-idempotent stage that may have run is never retried") {
  for (const auto outcome :
       {AttemptOutcome::kServerError, AttemptOutcome::kConnectionLost,
        AttemptOutcome::kNoProgress, AttemptOutcome::kDeadlineReached}) {
    EntryHostHarness host({});
    host.SubmitRequest("dispatch", "k");
    host.Finish(TakeOnlyCall(host), outcome);
    REQUIRE(host.Take<StartBackendCall>().empty());
    const auto refusals = host.Take<DeliverRefusal>();
    REQUIRE(refusals.size() == 1);
    REQUIRE(refusals[0].outcome == RequestOutcome::kUnknown);
  }
}

TEST_CASE(
    "Without the table, a non-idempotent request is refused and not sent") {
  EntryHostHarness host({});
  host.SetTableOutcome(TableOutcome::kUnavailable);
  host.SubmitRequest("dispatch", "k");
  for (int i = 0; i < 10; ++i) host.Advance(milliseconds(100));
  REQUIRE(host.Take<StartBackendCall>().empty());
  const auto refusals = host.Take<DeliverRefusal>();
  REQUIRE(refusals.size() == 1);
  REQUIRE(refusals[0].reason == RefusalReason::kStoreUnavailable);
  // An earlier call with this key may have run, and no host can read it now.
  REQUIRE(refusals[0].outcome == RequestOutcome::kUnknown);
  REQUIRE(refusals[0].retry_after.has_value());
}

TEST_CASE(
    "A request recovers from a lost table answer within a short deadline") {
  EntryHostHarness host({});
  host.DropResponses(1);
  host.SubmitRequest("dispatch", "k", milliseconds(900));
  for (int i = 0; i < 40; ++i) host.Advance(milliseconds(20));
  REQUIRE(host.Take<DeliverRefusal>().empty());
  REQUIRE(host.Take<StartBackendCall>().size() == 1);
}

TEST_CASE(
    "A non-idempotent stage that servers refuse is attempted three times") {
  EntryHostHarness host({});
  host.SubmitRequest("dispatch", "k");
  int calls = 0;
  while (true) {
    const auto started = host.Take<StartBackendCall>();
    if (started.empty()) break;
    ++calls;
    host.Finish(started.front(), AttemptOutcome::kRefused);
  }
  REQUIRE(calls == 3);
  const auto refusals = host.Take<DeliverRefusal>();
  REQUIRE(refusals.size() == 1);
  REQUIRE(refusals[0].outcome == RequestOutcome::kNotRun);
}

TEST_CASE("Invalid requests are refused with the reason and start nothing") {
  EntryHostHarness host({});
  host.SubmitRequest("nothing");
  host.SubmitRequest("dispatch");
  host.SubmitRequest("lookup", "", milliseconds(49));
  host.SubmitRequest("lookup", "", seconds(11));
  const auto refusals = host.Take<DeliverRefusal>();
  REQUIRE(refusals.size() == 4);
  REQUIRE(refusals[0].reason == RefusalReason::kUnknownClass);
  REQUIRE(refusals[1].reason == RefusalReason::kMissingIdempotencyKey);
  REQUIRE(refusals[2].reason == RefusalReason::kDeadlineOutOfRange);
  REQUIRE(refusals[3].reason == RefusalReason::kDeadlineOutOfRange);
  for (const auto& refusal : refusals) {
    REQUIRE(refusal.outcome == RequestOutcome::kNotRun);
  }
  REQUIRE(host.Take<StartBackendCall>().empty());
}

TEST_CASE(
    "A second call with a key in progress is refused with outcome unknown") {
  EntryHostHarness host({});
  host.SubmitRequest("dispatch", "k");
  host.SubmitRequest("dispatch", "k");
  REQUIRE(host.Take<StartBackendCall>().size() == 1);
  const auto refusals = host.Take<DeliverRefusal>();
  REQUIRE(refusals.size() == 1);
  REQUIRE(refusals[0].reason == RefusalReason::kDuplicateInFlight);
  REQUIRE(refusals[0].outcome == RequestOutcome::kUnknown);
}

TEST_CASE("Server limits hold, and queued work starts when capacity is free") {
  EntryHostHarness host({.servers = 2, .limit = 1});
  for (int i = 0; i < 3; ++i) host.SubmitRequest("lookup");
  const auto calls = host.Take<StartBackendCall>();
  REQUIRE(calls.size() == 2);
  host.Finish(calls[0], AttemptOutcome::kOk);
  const auto next = host.Take<StartBackendCall>();
  REQUIRE(next.size() == 2);  // stage 2 of this request, stage 1 of the third
}

TEST_CASE("An abandoned call keeps its credit while it may still run") {
  EntryHostHarness host({.servers = 1, .limit = 1});
  host.SubmitRequest("lookup");
  host.Finish(TakeOnlyCall(host), AttemptOutcome::kNoProgress);
  host.Advance(milliseconds(100));
  REQUIRE(host.Take<StartBackendCall>().empty());
  host.Advance(seconds(2));
  host.SubmitRequest("lookup");
  // The deadline has passed, but the server may not have stopped the call yet.
  REQUIRE(host.Take<StartBackendCall>().empty());
  host.Advance(milliseconds(150));
  REQUIRE(host.Take<StartBackendCall>().size() == 1);
}

TEST_CASE(
    "A call that ends at its deadline keeps its credit for a short time") {
  EntryHostHarness host({1, 1});
  host.SubmitRequest("lookup", "", milliseconds(500));
  const StartBackendCall first = TakeOnlyCall(host);
  host.SubmitRequest("lookup");
  host.Advance(first.deadline - host.now());
  // The server may receive the next call before it sees this one's connection
  // close.
  host.Finish(first, AttemptOutcome::kDeadlineReached);
  REQUIRE(host.Take<StartBackendCall>().empty());
  host.Advance(milliseconds(250));
  REQUIRE(host.Take<StartBackendCall>().size() == 1);
}

TEST_CASE("Requests that would be late are refused early with a retry time") {
  EntryHostHarness host({.servers = 1, .limit = 1});
  for (int i = 0; i < 20; ++i) {
    host.SubmitRequest("lookup");
    const StartBackendCall encode = TakeOnlyCall(host);
    host.Advance(milliseconds(300));
    host.Finish(encode, AttemptOutcome::kOk);
    host.Finish(TakeOnlyCall(host), AttemptOutcome::kOk);
  }
  host.Take<DeliverAnswer>();
  for (int i = 0; i < 20; ++i) host.SubmitRequest("lookup");
  const auto refusals = host.Take<DeliverRefusal>();
  REQUIRE(refusals.size() >= 10);
  for (const auto& refusal : refusals) {
    REQUIRE(refusal.reason == RefusalReason::kCannotMeetDeadline);
    REQUIRE(refusal.outcome == RequestOutcome::kNotRun);
    REQUIRE(refusal.retry_after >= seconds(1));
  }
}

TEST_CASE("Every placement gives a final answer by the deadline") {
  for (const auto placement :
       {PlacementKind::kExpectedFinish, PlacementKind::kRoundRobin,
        PlacementKind::kLeastOutstanding}) {
    EntryHostHarness host({.servers = 1, .limit = 1, .placement = placement});
    host.SubmitRequest("lookup");
    host.SubmitRequest("lookup");
    for (int i = 0; i < 22; ++i) host.Advance(milliseconds(100));
    // The second request waited for a server that never became free.
    const auto refusals = host.Take<DeliverRefusal>();
    REQUIRE(refusals.size() == 1);
    REQUIRE(refusals[0].outcome == RequestOutcome::kNotRun);
  }
}

TEST_CASE("When the caller disconnects, an idempotent request is cancelled") {
  EntryHostHarness host({});
  const CallId call = host.SubmitRequest("lookup");
  const StartBackendCall encode = TakeOnlyCall(host);
  host.Send(CallerDisconnected{call});
  const auto cancelled = host.Take<CancelBackendCall>();
  REQUIRE(cancelled.size() == 1);
  REQUIRE(cancelled[0].attempt == encode.attempt);
}

TEST_CASE("When the caller disconnects, a non-idempotent request completes") {
  EntryHostHarness host({});
  const CallId call = host.SubmitRequest("dispatch", "k");
  const StartBackendCall order = TakeOnlyCall(host);
  host.Send(CallerDisconnected{call});
  REQUIRE(host.Take<CancelBackendCall>().empty());
  host.Finish(order, AttemptOutcome::kOk, R"({"entry":1})");
  // A repeated call gets the recorded answer and runs nothing.
  host.SubmitRequest("dispatch", "k");
  REQUIRE(host.Take<StartBackendCall>().empty());
  REQUIRE(host.Take<DeliverAnswer>().size() == 1);
}

TEST_CASE("A stopping host finishes open requests and refuses new ones") {
  EntryHostHarness host({});
  host.SubmitRequest("lookup");
  const StartBackendCall encode = TakeOnlyCall(host);
  host.Send(StopRequested{});
  host.Send(StopRequested{});
  REQUIRE(host.Take<FinishStop>().empty());
  host.SubmitRequest("lookup");
  REQUIRE(host.Take<DeliverRefusal>().at(0).reason == RefusalReason::kStopping);
  host.Finish(encode, AttemptOutcome::kOk);
  host.Finish(TakeOnlyCall(host), AttemptOutcome::kOk);
  REQUIRE(host.Take<DeliverAnswer>().size() == 1);
  REQUIRE(host.Take<FinishStop>().size() == 1);
}

TEST_CASE("A host in a zone that is out refuses forwarded work at once") {
  EntryHostHarness host({.own_zone_state = "out"});
  host.Deliver(StageRequestFrom("z2-a"));
  const auto results = TakeStageResults(host);
  REQUIRE(results.size() == 1);
  REQUIRE(results[0].attempt() == 31);
  REQUIRE(static_cast<AttemptOutcome>(results[0].outcome()) ==
          AttemptOutcome::kRefused);
}

TEST_CASE(
    "With its zone out, a host forwards work to a host with free credits") {
  EntryHostHarness host({.own_zone_state = "out"});
  messages::PeerMessage message;
  message.set_sender("z2-a");
  message.set_incarnation(7);
  message.set_sequence(1);
  messages::ServiceSummary* summary =
      message.mutable_heartbeat()->add_services();
  summary->set_service("encoder");
  summary->set_servers(2);
  summary->set_free_credits(2);
  host.Deliver(message);
  host.SubmitRequest("lookup");
  std::vector<messages::StageRequest> forwarded;
  for (const SendPeerMessage& send : host.Take<SendPeerMessage>()) {
    if (!send.message.has_stage_request()) continue;
    REQUIRE(send.host == HostId("z2-a"));
    forwarded.push_back(send.message.stage_request());
  }
  REQUIRE(forwarded.size() == 1);
  REQUIRE(host.Take<StartBackendCall>().empty());

  message.set_sequence(2);
  messages::StageResult* result = message.mutable_stage_result();
  result->set_attempt(forwarded[0].attempt());
  result->set_outcome(static_cast<std::uint32_t>(AttemptOutcome::kOk));
  result->set_output("{}");
  result->set_server("enc-9");
  host.Deliver(message);
  // The second stage finds no free server; the trace names that of the first.
  for (int i = 0; i < 30; ++i) host.Advance(milliseconds(100));
  const auto refusals = host.Take<DeliverRefusal>();
  REQUIRE(refusals.size() == 1);
  REQUIRE(refusals[0].trace.at(0).server == ServerId("enc-9"));
  REQUIRE(refusals[0].trace.at(0).zone == ZoneId("z2"));
}

// Guards against the end of the process (std::out_of_range): a caller left
// while another zone ran its stage, and the next dispatch looked for the stage.
TEST_CASE("A caller that leaves while its work is forwarded ends nothing") {
  EntryHostHarness host({.own_zone_state = "out"});
  messages::PeerMessage message;
  message.set_sender("z2-a");
  message.set_incarnation(7);
  message.set_sequence(1);
  messages::ServiceSummary* summary =
      message.mutable_heartbeat()->add_services();
  summary->set_service("encoder");
  summary->set_servers(2);
  summary->set_free_credits(2);
  host.Deliver(message);
  const CallId call = host.SubmitRequest("lookup");
  const auto count = [&host](const auto& is_kind) {
    const auto sent = host.Take<SendPeerMessage>();
    return std::count_if(
        sent.begin(), sent.end(),
        [&](const SendPeerMessage& send) { return is_kind(send.message); });
  };
  REQUIRE(count([](const auto& sent) { return sent.has_stage_request(); }) ==
          1);
  host.Send(CallerDisconnected{call});
  REQUIRE(count([](const auto& sent) { return sent.has_stage_cancel(); }) == 1);
  host.Advance(milliseconds(100));
  message.set_sequence(2);
  host.Deliver(message);
  host.SubmitRequest("lookup");
  REQUIRE(count([](const auto& sent) { return sent.has_stage_request(); }) ==
          1);
}

TEST_CASE(
    "Queued forwarded work is refused when this zone's servers are removed") {
  EntryHostHarness host({.servers = 1, .limit = 1});
  host.SubmitRequest("lookup");
  REQUIRE(host.Take<StartBackendCall>().size() == 1);
  host.Deliver(StageRequestFrom("z2-a"));
  REQUIRE(TakeStageResults(host).empty());
  host.Send(InventoryArrived{});
  const auto results = TakeStageResults(host);
  REQUIRE(results.size() == 1);
  REQUIRE(static_cast<AttemptOutcome>(results[0].outcome()) ==
          AttemptOutcome::kRefused);
}

}  // namespace
}  // namespace lovagecleat::policy
