// What running processes use, as the kernel counts it.

#pragma once

#include <chrono>
#include <cstdint>

namespace rattanweir::bench {

// Processor time of one process since its start, user and system together.
std::chrono::milliseconds
ProcessorTime(int aPid);

// Resident memory of one process in bytes.
std::uint64_t
ResidentBytes(int aPid);

// Bytes that crossed the loopback interface since the machine started, TCP and
// IP headers included, each counted once.
std::uint64_t
LoopbackBytes();

} // namespace rattanweir::bench
