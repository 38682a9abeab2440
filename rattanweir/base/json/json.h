// Parses and serializes JSON with the project's JsonCpp settings.
//
//   if (const std::optional<Json::Value> value = ParseJson(text)) {
//     std::string same = JsonText(*value);
//   }
//
// Thread-safe.

#pragma once

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace rattanweir {

// ParseJson rejects values nested deeper than this, so that no input exhausts
// the stack.
inline constexpr int kMaximumJsonDepth = 200;

// Parses a JSON text. Returns nullopt if the text is not valid JSON, has a
// duplicate member, or is nested too deeply.
std::optional<Json::Value>
ParseJson(std::string_view aText);

// Serializes a value on one line.
std::string
JsonText(const Json::Value& aValue);

} // namespace rattanweir
