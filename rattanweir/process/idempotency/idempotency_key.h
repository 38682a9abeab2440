// Idempotency keys as instances issue them.
//
// A key names the one incarnation of the one instance that may ever dispatch
// it. Callers treat it as opaque text; instances read it back.
//
//   const std::string text = key.ToString();
//   const IdempotencyKey same = ParseIdempotencyKey(text);

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <compare>
#include <string>
#include <string_view>

namespace rattanweir {

struct IdempotencyKey
{
  InstanceId m_owner;
  Incarnation m_incarnation;
  // Unguessable.
  std::string m_nonce;

  std::string ToString() const;

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

// Throws RequestError with IdempotencyKeyMalformed.
IdempotencyKey
ParseIdempotencyKey(std::string_view aText);

} // namespace rattanweir
