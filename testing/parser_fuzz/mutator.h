// Damages well-formed texts, to try parsers with what an outside party or a
// broken disk could send.
//
//   Mutator mutator(seed);
//   const std::string text = mutator.Damage(corpus);
//
// The same seed gives the same texts.

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

  // One of the texts with a few changes: bytes flipped, spans removed, doubled
  // or taken from another text, and tokens put in at which parsers tend to
  // fail. `aCorpus` must not be empty.
  std::string Mutate(const std::vector<std::string>& aCorpus);

private:
  void ChangeOnce(std::string& aText, const std::vector<std::string>& aCorpus);
  // A place in the text, its end included.
  std::size_t RandomOffset(const std::string& aText);
  // A span that begins there, perhaps empty.
  std::size_t RandomLength(const std::string& aText, std::size_t aOffset);

  RandomEngine m_random;
};

} // namespace rattanweir
