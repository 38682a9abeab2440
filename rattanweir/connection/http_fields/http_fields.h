// Header fields that belong to one connection and are never passed on.
//
//   DropConnectionFields(head.m_headers);
//
// Safe from any thread.

#pragma once

#include "rattanweir/request/exchange/exchange.h"

#include <string_view>

namespace rattanweir {

// Whether two field names are the same, without regard to case.
bool
IsSameFieldName(std::string_view aLeft, std::string_view aRight);

// The value of the first field of that name, or nothing.
std::optional<std::string>
FindField(const HeaderFields& aFields, std::string_view aName);

// Removes Connection and the fields that it names, Transfer-Encoding,
// Content-Length, Keep-Alive, Expect and the like. A body's length is told by
// the struct that the fields are part of.
void
DropConnectionFields(HeaderFields& aFields);

} // namespace rattanweir
