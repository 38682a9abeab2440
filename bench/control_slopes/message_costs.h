// Measures the cost of one call of each RPC method between instances.

#pragma once

namespace rattanweir {

// Prints the size in bytes of the JSON-RPC request and response, without the
// HTTP headers, and the processor time of client and server together.
void
PrintMessageCosts();

} // namespace rattanweir
