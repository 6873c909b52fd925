#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "configuration/configuration.h"

// Outputs of simulated servers. They depend on the input alone, so that every
// server gives the same output and a test can detect one of another request.
namespace lovagecleat::stand_ins {

// Returns the first string value of `key` at any depth of a JSON text; empty
// if there is none.
std::string FindString(const std::string& json, std::string_view key);

// Returns the token at `offset`. Token 0 is the input's "marker".
std::string TokenText(const std::string& input, std::uint64_t offset);

// Returns the number of tokens that an engine generates for an input: from half
// of `max_tokens` to `max_tokens`, at least 1.
std::uint64_t TokenCount(const std::string& input, std::uint32_t max_tokens);

// Returns the text of the first `tokens` tokens.
std::string FullText(const std::string& input, std::uint64_t tokens);

// Returns the JSON output of a server that is not an engine. It repeats the
// "marker" and the "context" of the input.
std::string NonEngineOutput(configuration::ServiceKind kind,
                            const std::string& input);

}  // namespace lovagecleat::stand_ins
