// Reads the resource usage of running processes and of the loopback interface
// from /proc. The functions throw std::runtime_error if a file cannot be read.

#pragma once

#include <chrono>
#include <cstdint>

namespace rattanweir::bench {

// Returns the user plus system processor time of one process since its start.
std::chrono::milliseconds
ProcessorTime(int aPid);

// Returns the resident memory of one process in bytes.
std::uint64_t
ResidentBytes(int aPid);

// Returns the bytes received on the loopback interface since the machine
// started, including TCP and IP headers. Each byte counts once.
std::uint64_t
LoopbackBytes();

} // namespace rattanweir::bench
