// The key that a caller shows, and what of its request may be passed on.
//
//   const std::optional<std::string> key = PresentedKey(request.m_headers);
//   outbound.m_headers = ForwardedHeaders(request.m_headers, key);
//   outbound.m_target = ForwardedTarget(request.m_target);
//
// Header fields go on by an allowlist, so a key cannot slip through in a field
// that nobody thought of. Bodies: request/body.

#pragma once

#include "rattanweir/request/exchange/exchange.h"

#include <optional>
#include <string>

namespace rattanweir {

// The key in `Authorization: Bearer` or `x-api-key`, or nothing. Throws
// RequestError with MalformedRequest if the two differ.
std::optional<std::string>
PresentedKey(const HeaderFields& aHeaders);

// The fields of a caller's request that backend servers and peers may see. A
// field that holds the key's text is left out.
HeaderFields
ForwardedHeaders(const HeaderFields& aHeaders,
                 const std::optional<std::string>& aKey);

// The target without query parameters that can carry a key.
std::string
ForwardedTarget(const std::string& aTarget);

// The target's path, without its query.
std::string
TargetPath(const std::string& aTarget);

} // namespace rattanweir
