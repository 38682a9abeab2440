#include "rattanweir/process/idempotency/idempotency_key.h"

#include "rattanweir/base/result/result_code.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>

namespace rattanweir {
namespace {

constexpr std::string_view kPrefix = "k1.";
constexpr std::size_t kIncarnationDigits = 16;
constexpr std::size_t kNonceDigits = 32;
constexpr std::size_t kOwnerOffset =
  kPrefix.size() + kIncarnationDigits + 1 + kNonceDigits + 1;
constexpr int kHexBase = 16;

bool
IsLowerHex(std::string_view aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

// Returns true if the text is non-empty and needs no escaping in a header value
// or a log line.
bool
IsValidOwner(std::string_view aText)
{
  return !aText.empty() &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "0123456789._-") == std::string_view::npos;
}

std::string
FormatIncarnation(Incarnation aIncarnation)
{
  std::array<char, kIncarnationDigits> digits{};
  const auto written = std::to_chars(digits.data(),
                                     digits.data() + digits.size(),
                                     aIncarnation.Value(),
                                     kHexBase);
  const std::string text(digits.data(), written.ptr);
  return std::string(kIncarnationDigits - text.size(), '0') + text;
}

Incarnation
ParseIncarnation(std::string_view aDigits)
{
  std::uint64_t number = 0;
  std::from_chars(
    aDigits.data(), aDigits.data() + aDigits.size(), number, kHexBase);
  return Incarnation(number);
}

} // namespace

std::string
IdempotencyKey::ToString() const
{
  if (m_nonce.size() != kNonceDigits || !IsLowerHex(m_nonce) ||
      !IsValidOwner(m_owner.Value()) ||
      kOwnerOffset + m_owner.Value().size() > kMaxIdempotencyKeyBytes) {
    throw std::invalid_argument(
      "idempotency key has a malformed nonce or owner, or is too long");
  }
  std::string text(kPrefix);
  text.append(FormatIncarnation(m_incarnation)).append(1, '.');
  text.append(m_nonce).append(1, '.');
  return text.append(m_owner.Value());
}

IdempotencyKey
ParseIdempotencyKey(std::string_view aText)
{
  const RequestError malformed(
    ResultCode::IdempotencyKeyMalformed,
    "idempotency key is not in the format that instances issue");
  if (aText.size() > kMaxIdempotencyKeyBytes || aText.size() <= kOwnerOffset ||
      !aText.starts_with(kPrefix)) {
    throw malformed;
  }
  const std::string_view incarnation =
    aText.substr(kPrefix.size(), kIncarnationDigits);
  const std::string_view nonce =
    aText.substr(kOwnerOffset - 1 - kNonceDigits, kNonceDigits);
  const std::string_view owner = aText.substr(kOwnerOffset);
  if (aText[kPrefix.size() + kIncarnationDigits] != '.' ||
      aText[kOwnerOffset - 1] != '.' || !IsLowerHex(incarnation) ||
      !IsLowerHex(nonce) || !IsValidOwner(owner)) {
    throw malformed;
  }
  return { .m_owner = InstanceId(std::string(owner)),
           .m_incarnation = ParseIncarnation(incarnation),
           .m_nonce = std::string(nonce) };
}

} // namespace rattanweir
