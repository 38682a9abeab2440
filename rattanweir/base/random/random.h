// Random numbers: unguessable ones for ids, seeded ones for decisions.
//
//   std::string nonce = RandomHex(16);
//   RandomEngine engine(seed);
//   std::size_t index = UniformIndex(engine, servers.size());
//
// RandomHex is safe from any thread; an engine belongs to one thread.

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace rattanweir {

// The engine that decisions draw from. A test passes a fixed seed.
using RandomEngine = std::mt19937_64;

// Unguessable bytes from the operating system as lower-case hexadecimal text
// of twice that length. Throws std::runtime_error if the system has none.
std::string
RandomHex(std::size_t aBytes);

// An unguessable 64-bit number, never zero.
std::uint64_t
RandomNumber();

// An index below `aSize`, which must be above zero.
std::size_t
UniformIndex(RandomEngine& aEngine, std::size_t aSize);

} // namespace rattanweir
