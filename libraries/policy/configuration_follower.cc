#include "policy/configuration_follower.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// At this interval, 350 hosts read 117 rows per second.
constexpr Duration kPollInterval = seconds(3);
// A host without a configuration cannot serve requests, so it polls more often.
constexpr Duration kInitialPollInterval = seconds(1);
constexpr double kPollJitter = 0.3;
constexpr Duration kReadTimeout = seconds(1);
constexpr Duration kFetchInterval = milliseconds(300);
constexpr std::size_t kMaximumDocumentBytes = 1048576;
constexpr std::size_t kMaximumOutgoing = 1024;

RecordDecision Record(std::string text) {
  return {RequestId(), "configuration", std::move(text)};
}

}  // namespace

ConfigurationFollower::ConfigurationFollower(HostId self,
                                             OperationCounter& counter,
                                             std::uint64_t seed)
    : self_(std::move(self)),
      counter_(counter),
      random_(StableHash(self_.value(), seed)) {}

std::vector<Command> ConfigurationFollower::Tick(TimePoint now) {
  std::vector<Command> commands;
  FetchIfBehind(now);
  if (operation_ && now >= read_deadline_) operation_.reset();
  if (operation_ || (poll_due_ && now < *poll_due_)) return commands;
  const Duration interval =
      current_.revision == 0 ? kInitialPollInterval : kPollInterval;
  poll_due_ = now + random_.Jitter(interval, kPollJitter);
  operation_ = counter_.Next();
  read_deadline_ = now + kReadTimeout;
  commands.emplace_back(ReadTable{*operation_, {kConfigurationRowKey}});
  return commands;
}

std::vector<Command> ConfigurationFollower::HandleTableAnswer(
    const TableAnswered& answer, TimePoint now) {
  if (!Owns(answer.operation)) return {};
  operation_.reset();
  // A failed read is retried only at the next poll, so that a recovering table
  // does not get reads from all hosts at once.
  if (answer.outcome != TableOutcome::kOk) return {};
  table_answered_at_ = now;
  if (answer.rows.empty()) return {};
  const TableRow& row = answer.rows.front();
  if (row.version <= evaluated_row_version_) return {};
  evaluated_row_version_ = row.version;
  return EvaluateDocument(row.value, "the table");
}

std::vector<Command> ConfigurationFollower::HandlePush(
    const messages::ConfigurationPush& push) {
  if (push.revision() <= current_.revision) return {};
  const std::uint64_t hash = StableHash(push.document());
  if (hash == rejected_push_hash_) return {};
  std::vector<Command> commands =
      EvaluateDocument(push.document(), "another host");
  if (push.revision() > current_.revision) rejected_push_hash_ = hash;
  return commands;
}

void ConfigurationFollower::HandleFetch(
    const HostId& from, const messages::ConfigurationFetch& fetch) {
  if (fetch.known_revision() < current_.revision) Push(from);
}

void ConfigurationFollower::ObservePeerRevision(const HostId& host,
                                                std::uint64_t revision) {
  if (host == self_ || revision <= current_.revision) return;
  // The latest report replaces earlier ones, since its host is known to be
  // alive.
  newer_host_ = host;
  newer_revision_ = revision;
}

void ConfigurationFollower::AdoptAccepted(
    const configuration::Configuration& accepted,
    std::span<const HostId> peers) {
  if (accepted.revision <= current_.revision) return;
  Adopt(accepted);
  for (const HostId& peer : peers) Push(peer);
}

std::optional<TimePoint> ConfigurationFollower::NextDue() const {
  if (!poll_due_) return std::nullopt;
  TimePoint due = operation_ ? read_deadline_ : *poll_due_;
  if (newer_revision_ > current_.revision) {
    due = std::min(due, fetch_allowed_at_);
  }
  return due;
}

std::vector<OutgoingMessage> ConfigurationFollower::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

std::optional<configuration::Configuration>
ConfigurationFollower::TakeAdopted() {
  return std::exchange(adopted_, std::nullopt);
}

std::vector<Command> ConfigurationFollower::EvaluateDocument(
    std::string_view document, std::string_view source) {
  if (document.size() > kMaximumDocumentBytes) {
    return {Record("refused a document of " + std::to_string(document.size()) +
                   " bytes from " + std::string(source))};
  }
  configuration::ConfigurationReader reader;
  std::optional<configuration::Configuration> read = reader.Read(document);
  if (!read) {
    std::string text = "refused the document of " + std::string(source);
    if (!reader.problems().empty()) {
      text += ": " + configuration::DescribeProblem(kConfigurationRowKey,
                                                    reader.problems().front());
    }
    return {Record(std::move(text))};
  }
  if (read->revision <= current_.revision) return {};
  const std::string text = "revision " + std::to_string(read->revision) +
                           " from " + std::string(source) + " replaces " +
                           std::to_string(current_.revision);
  Adopt(std::move(*read));
  return {Record(text)};
}

void ConfigurationFollower::Adopt(configuration::Configuration configuration) {
  current_ = std::move(configuration);
  adopted_ = current_;
}

void ConfigurationFollower::Push(const HostId& host) {
  if (outgoing_.size() >= kMaximumOutgoing) return;
  OutgoingMessage& outgoing = outgoing_.emplace_back();
  outgoing.host = host;
  messages::ConfigurationPush* push =
      outgoing.message.mutable_configuration_push();
  push->set_revision(current_.revision);
  push->set_document(configuration::WriteConfiguration(current_));
}

void ConfigurationFollower::FetchIfBehind(TimePoint now) {
  if (newer_revision_ <= current_.revision || now < fetch_allowed_at_) return;
  fetch_allowed_at_ = now + kFetchInterval;
  OutgoingMessage& outgoing = outgoing_.emplace_back();
  outgoing.host = newer_host_;
  outgoing.message.mutable_configuration_fetch()->set_known_revision(
      current_.revision);
}

}  // namespace lovagecleat::policy
