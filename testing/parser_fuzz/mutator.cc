#include "testing/parser_fuzz/mutator.h"

#include <algorithm>

namespace rattanweir {
namespace {

constexpr std::size_t kMaxChanges = 6;
constexpr std::size_t kMaxSpanBytes = 40;
constexpr std::size_t kByteValues = 256;

// Limits of number types, nesting, control bytes, invalid UTF-8, and the
// separators of the parsed formats.
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
Mutator::Mutate(const std::vector<std::string>& aCorpus)
{
  std::string text = aCorpus[UniformIndex(m_random, aCorpus.size())];
  const std::size_t changes = 1 + UniformIndex(m_random, kMaxChanges);
  for (std::size_t change = 0; change < changes; ++change) {
    ChangeOnce(text, aCorpus);
  }
  return text;
}

std::size_t
Mutator::RandomOffset(const std::string& aText)
{
  return UniformIndex(m_random, aText.size() + 1);
}

std::size_t
Mutator::RandomLength(const std::string& aText, std::size_t aOffset)
{
  return UniformIndex(m_random,
                      std::min(kMaxSpanBytes, aText.size() - aOffset) + 1);
}

void
Mutator::ChangeOnce(std::string& aText, const std::vector<std::string>& aCorpus)
{
  enum Kind : std::size_t
  {
    FlipByte,
    ReplaceWithToken,
    Remove,
    Duplicate,
    Splice,
    Truncate,
    KindCount
  };
  const std::size_t offset = RandomOffset(aText);
  const std::size_t length = RandomLength(aText, offset);
  switch (static_cast<Kind>(UniformIndex(m_random, KindCount))) {
    case FlipByte:
      if (offset < aText.size()) {
        aText[offset] = static_cast<char>(UniformIndex(m_random, kByteValues));
      }
      break;
    case ReplaceWithToken:
      aText.replace(
        offset, length, kTokens[UniformIndex(m_random, kTokens.size())]);
      break;
    case Remove:
      aText.erase(offset, length);
      break;
    case Duplicate:
      aText.insert(offset, aText.substr(offset, length));
      break;
    case Splice: {
      const std::string& other =
        aCorpus[UniformIndex(m_random, aCorpus.size())];
      const std::size_t from = RandomOffset(other);
      aText.insert(offset, other.substr(from, RandomLength(other, from)));
      break;
    }
    case Truncate:
      // Truncates rarely; otherwise most texts would be short.
      if (UniformIndex(m_random, 4) == 0) {
        aText.resize(offset);
      }
      break;
    case KindCount:
      break;
  }
}

} // namespace rattanweir
