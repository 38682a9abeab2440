#include "testing/parser_fuzz/mutator.h"

#include <algorithm>

namespace rattanweir {
namespace {

constexpr std::size_t kMaxChanges = 6;
// In bytes.
constexpr std::size_t kLongestSpan = 40;
constexpr std::size_t kByteValues = 256;

// Limits of number types, nesting, control bytes, broken UTF-8, and the
// separators of the formats that are read.
const std::vector<std::string> kTokens{
  "0",
  "-1",
  "1e309",
  "-1e309",
  "NaN",
  "2147483648",
  "9223372036854775808",
  "18446744073709551616",
  "null",
  "true",
  "{}",
  "[]",
  "[[[[[[[[",
  "{\"a\":{\"a\":{\"a\":",
  "\"",
  "\\u0000",
  "\\ud800",
  "%",
  "%zz",
  "%00",
  "\xff\xfe",
  "\xc3",
  ":",
  ",",
  "=",
  "&",
  ";",
  "\n\n",
  "\r\n",
  "\t",
  "- ",
  "? ",
  "&a *a",
  "!!binary",
  "data:",
  "id: ",
  std::string(1, '\0'),
  std::string(300, '9'),
  std::string(300, ' '),
};

} // namespace

Mutator::Mutator(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

std::string
Mutator::Damage(const std::vector<std::string>& aCorpus)
{
  std::string text = aCorpus[UniformIndex(m_random, aCorpus.size())];
  const std::size_t changes = 1 + UniformIndex(m_random, kMaxChanges);
  for (std::size_t change = 0; change < changes; ++change) {
    ChangeOnce(text, aCorpus);
  }
  return text;
}

std::size_t
Mutator::Place(const std::string& aText)
{
  return UniformIndex(m_random, aText.size() + 1);
}

std::size_t
Mutator::Length(const std::string& aText, std::size_t aPlace)
{
  return UniformIndex(m_random,
                      std::min(kLongestSpan, aText.size() - aPlace) + 1);
}

void
Mutator::ChangeOnce(std::string& aText, const std::vector<std::string>& aCorpus)
{
  enum Kind : std::size_t
  {
    FlipByte,
    PutToken,
    Remove,
    Double,
    Splice,
    CutOff,
    Kinds
  };
  const std::size_t place = Place(aText);
  const std::size_t length = Length(aText, place);
  switch (static_cast<Kind>(UniformIndex(m_random, Kinds))) {
    case FlipByte:
      if (place < aText.size()) {
        aText[place] = static_cast<char>(UniformIndex(m_random, kByteValues));
      }
      break;
    case PutToken:
      aText.replace(
        place, length, kTokens[UniformIndex(m_random, kTokens.size())]);
      break;
    case Remove:
      aText.erase(place, length);
      break;
    case Double:
      aText.insert(place, aText.substr(place, length));
      break;
    case Splice: {
      const std::string& other =
        aCorpus[UniformIndex(m_random, aCorpus.size())];
      const std::size_t from = Place(other);
      aText.insert(place, other.substr(from, Length(other, from)));
      break;
    }
    case CutOff:
      // Rarely, or most texts would be short.
      if (UniformIndex(m_random, 4) == 0) {
        aText.resize(place);
      }
      break;
    case Kinds:
      break;
  }
}

} // namespace rattanweir
