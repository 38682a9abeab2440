// Looks up HTTP header fields by case-insensitive name. Used by both the
// pipeline and the gateway.
//
//   if (const std::string* type = FindHeader(fields, "content-type")) ...

#pragma once

#include "rattanweir/request/exchange/exchange.h"

#include <string>
#include <string_view>

namespace rattanweir {

// Returns whether two header names are equal, ignoring ASCII case.
bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight);

// Returns the value of the first field with this name, or null if `aFields` has
// none. The pointer is valid as long as `aFields` is unchanged.
const std::string*
FindHeader(const HeaderFields& aFields, std::string_view aName);

// Returns whether the name starts with `aPrefix`, ignoring ASCII case.
bool
HeaderNameStartsWith(std::string_view aName, std::string_view aPrefix);

// Parses an unsigned decimal integer. Returns nullopt if `aText` is anything
// else or the number exceeds 64 bits.
std::optional<std::uint64_t>
ParseDecimal(std::string_view aText);

// Returns whether the Content-Type field starts with `aType`, ignoring ASCII
// case.
bool
HasMediaType(const HeaderFields& aFields, std::string_view aType);

} // namespace rattanweir
