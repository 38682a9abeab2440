// Header fields that belong to one connection and are never passed on.
//
//   DropConnectionFields(head.m_headers);
//
// Safe from any thread.

#pragma once

#include "rattanweir/request/exchange/exchange.h"

namespace rattanweir {

// Removes Connection and the fields that it names, Transfer-Encoding,
// Content-Length, Keep-Alive, Expect and the like. A body's length is told by
// the struct that the fields are part of.
void
DropConnectionFields(HeaderFields& aFields);

} // namespace rattanweir
