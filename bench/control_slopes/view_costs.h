// What a peer costs in the view of the others, and what a decision costs as
// backend servers and peers grow.

#pragma once

namespace rattanweir {

// Prints a table of the same form as the ledgers', for 10 to 10,000 items.
void
PrintViewCosts();

} // namespace rattanweir
