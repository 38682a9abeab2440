// Mutates well-formed texts to test parsers with input that an external party
// or a damaged disk could produce.
//
//   Mutator mutator(seed);
//   const std::string text = mutator.Damage(corpus);
//
// The same seed produces the same texts.

#pragma once

#include "rattanweir/base/random/random.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanweir {

class Mutator
{
public:
  explicit Mutator(std::uint64_t aSeed);

  // Returns one of the texts with a few mutations: replaced bytes, removed or
  // duplicated spans, spans copied from another text, truncation, and tokens
  // that often cause parser errors. `aCorpus` must not be empty.
  std::string Mutate(const std::vector<std::string>& aCorpus);

private:
  void ChangeOnce(std::string& aText, const std::vector<std::string>& aCorpus);
  // Returns a random offset into the text, up to and including its end.
  std::size_t RandomOffset(const std::string& aText);
  // Returns the length of a random span that starts at `aOffset`; it may be 0.
  std::size_t RandomLength(const std::string& aText, std::size_t aOffset);

  RandomEngine m_random;
};

} // namespace rattanweir
