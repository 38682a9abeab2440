// Looks up HTTP header fields by name, without regard to case.
//
//   if (const std::string* type = FindHeader(fields, "content-type")) ...

#pragma once

#include "rattanweir/request/exchange/exchange.h"

#include <string>
#include <string_view>

namespace rattanweir {

// Whether two header names are the same.
bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight);

// The value of the first field with this name, or null.
const std::string*
FindHeader(const HeaderFields& aFields, std::string_view aName);

// Whether the name starts with `aPrefix`, given in lower case.
bool
HeaderNameStartsWith(std::string_view aName, std::string_view aPrefix);

// A whole number in decimal digits, or nothing for any other text.
std::optional<std::uint64_t>
ParseDecimal(std::string_view aText);

// Whether the field's value is a media type that begins with `aType`, given
// in lower case.
bool
HasMediaType(const HeaderFields& aFields, std::string_view aType);

} // namespace rattanweir
