// Idempotency keys as instances issue them.
//
// A key names the one incarnation of the one instance that may ever dispatch
// it. Callers treat it as opaque text; instances read it back.
//
//   const std::string text = key.ToString();
//   const IdempotencyKey same = ParseIdempotencyKey(text);
//
// The text is `k1.INCARNATION.NONCE.OWNER`: 16 and 32 lower-case hexadecimal
// digits, then the instance id, at most kLargestIdempotencyKey bytes in all.
// Exactly one text stands for one key.

#pragma once

#include "rattanweir/base/ids/ids.h"

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>

namespace rattanweir {

// The most bytes in a key's text.
inline constexpr std::size_t kLargestIdempotencyKey = 192;

struct IdempotencyKey
{
  InstanceId m_owner;
  Incarnation m_incarnation;
  // Unguessable; 32 lower-case hexadecimal digits.
  std::string m_nonce;

  // The text that callers carry. Throws std::invalid_argument for a key that
  // ParseIdempotencyKey would not read back.
  std::string ToString() const;

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

// Reads the text back. Throws RequestError with IdempotencyKeyMalformed for
// anything that ToString does not write.
IdempotencyKey
ParseIdempotencyKey(std::string_view aText);

} // namespace rattanweir
