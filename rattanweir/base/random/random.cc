#include "rattanweir/base/random/random.h"

#include <openssl/rand.h>

#include <array>
#include <stdexcept>
#include <utility>
#include <vector>

namespace rattanweir {
namespace {

// Bytes requested from OpenSSL per call, because the cost of a call far exceeds
// the cost per byte.
constexpr std::size_t kRandomBufferBytes = 1'024;

class RandomBuffer
{
public:
  unsigned char Next()
  {
    if (m_used == m_bytes.size()) {
      Refill();
    }
    // Clears the byte, so that a later leak of this memory reveals no past ids.
    return std::exchange(m_bytes[m_used++], 0);
  }

private:
  void Refill()
  {
    if (RAND_bytes(m_bytes.data(), static_cast<int>(m_bytes.size())) != 1) {
      throw std::runtime_error("RAND_bytes failed to generate random bytes");
    }
    m_used = 0;
  }

  std::array<unsigned char, kRandomBufferBytes> m_bytes{};
  std::size_t m_used = kRandomBufferBytes;
};

void
FillRandom(unsigned char* aBytes, std::size_t aSize)
{
  thread_local RandomBuffer buffer;
  for (std::size_t index = 0; index < aSize; ++index) {
    aBytes[index] = buffer.Next();
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
