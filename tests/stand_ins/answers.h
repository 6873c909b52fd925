#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "configuration/configuration.h"

// What stand-in servers answer: a function of the input alone, so that any
// server gives the same answer and a mixed-up answer shows.
namespace lovagecleat::stand_ins {

// The first string under `key` at any depth of a JSON text; empty if none.
std::string FindText(const std::string& json, std::string_view key);

// The token at `offset`. Token 0 repeats the input's "marker".
std::string TokenText(const std::string& input, std::uint64_t offset);

// How many tokens an engine makes of an input: half of `max_tokens` to all.
std::uint64_t TokenCount(const std::string& input, std::uint32_t max_tokens);

// The whole text of `tokens` tokens.
std::string WholeText(const std::string& input, std::uint64_t tokens);

// The JSON answer of a server that is not an engine; it repeats the "marker"
// and the "context" of the input.
std::string PlainAnswer(configuration::ServiceKind kind,
                        const std::string& input);

}  // namespace lovagecleat::stand_ins
