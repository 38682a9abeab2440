// What one exchange of each kind between instances costs.

#pragma once

namespace rattanweir {

// Prints the bytes of a call and its answer as JSON-RPC texts, without the
// head of HTTP, and the processor time of both sides together.
void
PrintMessageCosts();

} // namespace rattanweir
