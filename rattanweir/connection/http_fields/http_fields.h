// Hop-by-hop header fields, which apply to one connection and are never
// forwarded.
//
//   DropConnectionFields(head.m_headers);
//
// Thread-safe.

#pragma once

#include "rattanweir/request/exchange/exchange.h"

namespace rattanweir {

// Removes Connection and the fields that it lists, Transfer-Encoding,
// Content-Length, Keep-Alive, Expect and similar ones. The length of the body
// is a member of the struct that holds the fields.
void
DropConnectionFields(HeaderFields& aFields);

} // namespace rattanweir
