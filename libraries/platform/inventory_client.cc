#include "platform/inventory_client.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace lovagecleat::platform {

namespace {

using nlohmann::json;
using policy::HostInfo;
using policy::Inventory;
using policy::MemberState;
using policy::ServerInfo;

constexpr int kOkStatus = 200;

// Reads members of a JSON object and records whether all of them were valid.
class MemberReader {
 public:
  explicit MemberReader(const json& object) : object_(object) {}

  std::string Text(const char* name) {
    const json* member = Find(name);
    if (member != nullptr && member->is_string() &&
        !member->get_ref<const std::string&>().empty())
      return member->get<std::string>();
    is_valid_ = false;
    return {};
  }

  std::uint32_t Limit(const char* name) {
    constexpr auto maximum = std::numeric_limits<std::uint32_t>::max();
    const json* member = Find(name);
    if (member != nullptr && member->is_number_unsigned() &&
        member->get<std::uint64_t>() <= maximum)
      return member->get<std::uint32_t>();
    is_valid_ = false;
    return 0;
  }

  MemberState State(const char* name) {
    const std::string text = Text(name);
    if (text == "leaving") return MemberState::kLeaving;
    if (text != "live") is_valid_ = false;
    return MemberState::kActive;
  }

  bool is_valid() const { return is_valid_; }

 private:
  const json* Find(const char* name) const {
    if (!object_.is_object()) return nullptr;
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
  }

  const json& object_;
  bool is_valid_ = true;
};

std::optional<HostInfo> ReadHost(const json& object) {
  MemberReader reader(object);
  HostInfo host;
  host.id = HostId(reader.Text("id"));
  host.zone = ZoneId(reader.Text("zone"));
  host.peer_address = reader.Text("peer_address");
  host.state = reader.State("state");
  if (!reader.is_valid()) return std::nullopt;
  return host;
}

std::optional<ServerInfo> ReadServer(const json& object) {
  MemberReader reader(object);
  ServerInfo server;
  server.id = ServerId(reader.Text("id"));
  server.service = ServiceId(reader.Text("service"));
  server.zone = ZoneId(reader.Text("zone"));
  server.address = reader.Text("address");
  server.state = reader.State("state");
  server.cold_limit = reader.Limit("cold_limit");
  server.warm_limit = reader.Limit("warm_limit");
  if (!reader.is_valid()) return std::nullopt;
  return server;
}

template <typename Item>
bool HasDuplicate(const std::vector<Item>& items) {
  std::set<decltype(Item::id)> ids;
  for (const auto& item : items)
    if (!ids.insert(item.id).second) return true;
  return false;
}

// Returns nullopt unless every item of the array is valid.
template <typename Item>
std::optional<std::vector<Item>> ReadItems(
    const json& document, const char* name,
    std::optional<Item> (*read)(const json&)) {
  const auto array = document.find(name);
  if (array == document.end() || !array->is_array()) return std::nullopt;
  std::vector<Item> items;
  items.reserve(array->size());
  for (const auto& object : *array) {
    auto item = read(object);
    if (!item) return std::nullopt;
    items.push_back(std::move(*item));
  }
  return items;
}

}  // namespace

std::optional<Inventory> InventoryReader::Read(std::string_view text) {
  const auto fail = [this](InventoryError error) -> std::optional<Inventory> {
    last_error_ = error;
    return std::nullopt;
  };
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return fail(InventoryError::kMalformedJson);
  const auto sequence = document.find("sequence");
  if (sequence == document.end() || !sequence->is_number_unsigned())
    return fail(InventoryError::kMalformedJson);
  auto hosts = ReadItems(document, "hosts", ReadHost);
  if (!hosts) return fail(InventoryError::kInvalidHost);
  auto servers = ReadItems(document, "servers", ReadServer);
  if (!servers) return fail(InventoryError::kInvalidServer);
  if (HasDuplicate(*hosts) || HasDuplicate(*servers))
    return fail(InventoryError::kDuplicateId);
  last_error_ = InventoryError::kNone;
  return Inventory{sequence->get<std::uint64_t>(), std::move(*hosts),
                   std::move(*servers)};
}

InventoryClient::InventoryClient(transport::Loop& loop,
                                 transport::HttpClient& http,
                                 std::string address, std::uint64_t seed)
    : loop_(loop),
      http_(http),
      address_(std::move(address)),
      random_(seed),
      self_(std::make_shared<InventoryClient*>(this)) {}

InventoryClient::~InventoryClient() {
  loop_.Cancel(timer_);
  if (call_) http_.Cancel(*call_);
}

void InventoryClient::OnInventory(InventoryCallback callback) {
  on_inventory_ = std::move(callback);
}

void InventoryClient::OnError(ErrorCallback callback) {
  on_error_ = std::move(callback);
}

void InventoryClient::Start() { Poll(); }

void InventoryClient::Poll() {
  transport::HttpRequest request;
  request.method = "GET";
  request.address = address_;
  request.path = "/v1/inventory";
  request.connection = transport::ConnectionChoice::kFresh;
  request.first_byte_timeout = kResponseTimeout;
  request.progress_timeout = kResponseTimeout;
  request.deadline = loop_.clock().Now() + kResponseTimeout;
  call_ = http_.Start(
      std::move(request),
      [self = std::weak_ptr(self_)](const transport::HttpResponse& r) {
        if (const auto client = self.lock()) (*client)->HandleResponse(r);
      });
}

void InventoryClient::HandleResponse(const transport::HttpResponse& response) {
  call_.reset();
  const InventoryError error = Deliver(response);
  if (error != InventoryError::kNone && on_error_) on_error_(error);
  // Jitter keeps the hosts from polling the platform at the same time.
  timer_ =
      loop_.After(random_.Jitter(kPollInterval, kJitter), [this] { Poll(); });
}

InventoryError InventoryClient::Deliver(
    const transport::HttpResponse& response) {
  if (response.failure != transport::HttpFailure::kNone)
    return InventoryError::kNoResponse;
  if (response.status != kOkStatus) return InventoryError::kUnexpectedStatus;
  InventoryReader reader;
  const auto inventory = reader.Read(response.body);
  if (!inventory) return reader.last_error();
  if (on_inventory_) on_inventory_(*inventory);
  return InventoryError::kNone;
}

}  // namespace lovagecleat::platform
