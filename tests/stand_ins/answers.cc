#include "tests/stand_ins/answers.h"

#include <array>
#include <nlohmann/json.hpp>

#include "base/base.h"

namespace lovagecleat::stand_ins {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kDocumentCount = 5;
constexpr std::uint64_t kLibraryDocumentCount = 1000;
constexpr std::uint64_t kEmbeddingDimensions = 4;
constexpr std::uint64_t kEmbeddingValues = 1000;
constexpr std::uint64_t kEntryCount = 100000;
constexpr std::array<std::string_view, 8> kWords = {
    " check", " the",  " signal", " lock",
    " again", " then", " report", " back"};

std::string FindStringIn(const Json& value, const std::string& key) {
  if (value.is_object()) {
    const auto found = value.find(key);
    if (found != value.end() && found->is_string()) {
      return found->get<std::string>();
    }
  }
  if (!value.is_structured()) return {};
  for (const Json& child : value) {
    std::string text = FindStringIn(child, key);
    if (!text.empty()) return text;
  }
  return {};
}

Json DocumentsFor(const std::string& input) {
  Json documents = Json::array();
  for (std::uint64_t i = 0; i < kDocumentCount; ++i) {
    documents.push_back("document-" + std::to_string(StableHash(input, i) %
                                                     kLibraryDocumentCount));
  }
  return documents;
}

Json EmbeddingFor(const std::string& input) {
  Json embedding = Json::array();
  for (std::uint64_t i = 0; i < kEmbeddingDimensions; ++i) {
    embedding.push_back(StableHash(input, i) % kEmbeddingValues);
  }
  return embedding;
}

}  // namespace

std::string FindString(const std::string& json, std::string_view key) {
  const Json document = Json::parse(json, nullptr, false);
  if (document.is_discarded()) return {};
  return FindStringIn(document, std::string(key));
}

std::string TokenText(const std::string& input, std::uint64_t offset) {
  if (offset == 0) {
    const std::string marker = FindString(input, "marker");
    return marker.empty() ? "answer" : marker;
  }
  return std::string(kWords[StableHash(input, offset) % kWords.size()]);
}

std::uint64_t TokenCount(const std::string& input, std::uint32_t max_tokens) {
  if (max_tokens <= 1) return 1;
  const std::uint64_t half = max_tokens / 2;
  return max_tokens - StableHash(input) % (half + 1);
}

std::string FullText(const std::string& input, std::uint64_t tokens) {
  std::string text;
  for (std::uint64_t i = 0; i < tokens; ++i) text += TokenText(input, i);
  return text;
}

std::string NonEngineOutput(configuration::ServiceKind kind,
                            const std::string& input) {
  Json output = Json::object();
  const std::string marker = FindString(input, "marker");
  const std::string context = FindString(input, "context");
  if (!marker.empty()) output["marker"] = marker;
  if (!context.empty()) output["context"] = context;
  switch (kind) {
    case configuration::ServiceKind::kEncoder:
      output["embedding"] = EmbeddingFor(input);
      break;
    case configuration::ServiceKind::kRetriever:
    case configuration::ServiceKind::kReranker:
      output["documents"] = DocumentsFor(input);
      break;
    case configuration::ServiceKind::kEngine:
    case configuration::ServiceKind::kPlain:
      output["entry"] =
          "entry-" + std::to_string(StableHash(input) % kEntryCount);
      break;
  }
  return output.dump();
}

}  // namespace lovagecleat::stand_ins
