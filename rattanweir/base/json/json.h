// JSON texts from and to values, in the one way that the project uses JsonCpp.
//
//   if (const std::optional<Json::Value> value = ParseJson(text)) {
//     std::string same = JsonText(*value);
//   }
//
// Safe from any thread.

#pragma once

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace rattanweir {

// Values nested deeper than this are refused, so that no text exhausts the
// stack.
inline constexpr int kMaximumJsonDepth = 200;

// The value of a text, or nothing if it is not valid JSON, names a member
// twice, or is nested too deeply.
std::optional<Json::Value>
ParseJson(std::string_view aText);

// The value on one line.
std::string
JsonText(const Json::Value& aValue);

} // namespace rattanweir
