#include "rattanweir/base/random/random.h"

#include <openssl/rand.h>

#include <stdexcept>
#include <vector>

namespace rattanweir {
namespace {

void
FillRandom(unsigned char* aBytes, std::size_t aSize)
{
  if (RAND_bytes(aBytes, static_cast<int>(aSize)) != 1) {
    throw std::runtime_error("the system has no random bytes");
  }
}

} // namespace

std::string
RandomHex(std::size_t aBytes)
{
  constexpr char kDigits[] = "0123456789abcdef";
  std::vector<unsigned char> bytes(aBytes);
  FillRandom(bytes.data(), bytes.size());
  std::string text;
  text.reserve(2 * aBytes);
  for (const unsigned char byte : bytes) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0xFU]);
  }
  return text;
}

std::uint64_t
RandomNumber()
{
  std::uint64_t number = 0;
  while (number == 0) {
    FillRandom(reinterpret_cast<unsigned char*>(&number), sizeof number);
  }
  return number;
}

std::size_t
UniformIndex(RandomEngine& aEngine, std::size_t aSize)
{
  return std::uniform_int_distribution<std::size_t>(0, aSize - 1)(aEngine);
}

} // namespace rattanweir
