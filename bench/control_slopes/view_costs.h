// Measures the memory per peer in an instance's membership view, and the cost
// of a decision as the numbers of backend servers and peers grow.

#pragma once

namespace rattanweir {

// Prints a table for 10 to 10,000 items, in the format of the ledgers' table.
void
PrintViewCosts();

} // namespace rattanweir
