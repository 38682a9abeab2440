// Cryptographically secure random numbers for ids, and a seedable generator for
// randomized decisions.
//
//   std::string nonce = RandomHex(16);
//   RandomEngine engine(seed);
//   std::size_t index = UniformIndex(engine, servers.size());
//
// RandomHex and RandomNumber are thread-safe; an engine is not.

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace rattanweir {

// The generator for randomized decisions. Tests pass a fixed seed.
using RandomEngine = std::mt19937_64;

// Returns `aBytes` cryptographically secure random bytes as lower-case
// hexadecimal text of twice that length. Throws std::runtime_error if the
// generator fails.
std::string
RandomHex(std::size_t aBytes);

// Returns a cryptographically secure random 64-bit number, never zero.
std::uint64_t
RandomNumber();

// Returns a uniformly distributed index below `aSize`, which must be positive.
std::size_t
UniformIndex(RandomEngine& aEngine, std::size_t aSize);

} // namespace rattanweir
