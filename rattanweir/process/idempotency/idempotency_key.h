// Idempotency keys that instances issue to callers.
//
// A key identifies the instance, and the incarnation (process lifetime) of that
// instance, that issued it. Only this incarnation may dispatch a request with
// the key. The key is opaque to callers; instances parse its text.
//
//   const std::string text = key.ToString();
//   const IdempotencyKey same = ParseIdempotencyKey(text);
//
// The text is `k1.INCARNATION.NONCE.OWNER`: 16 and 32 lower-case hexadecimal
// digits, then the instance id, at most kMaxIdempotencyKeyBytes bytes in all.
// Each key has exactly one text form.

#pragma once

#include "rattanweir/base/ids/ids.h"

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>

namespace rattanweir {

// Maximum size of a key's text.
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 192;

struct IdempotencyKey
{
  InstanceId m_owner;
  Incarnation m_incarnation;
  // Random, so that a caller cannot guess a key; 32 lower-case hexadecimal
  // digits.
  std::string m_nonce;

  // Returns the text form. Throws std::invalid_argument if the nonce or the
  // owner is malformed or the text would exceed kMaxIdempotencyKeyBytes.
  std::string ToString() const;

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

// Parses the text form of a key. Throws RequestError with
// IdempotencyKeyMalformed for any text that ToString does not produce.
IdempotencyKey
ParseIdempotencyKey(std::string_view aText);

} // namespace rattanweir
