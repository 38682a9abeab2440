// Reads the API key of a caller's request, and selects the parts of the request
// that may be forwarded. Belongs to the pipeline, the path of the product's own
// interface.
//
//   const std::optional<std::string> key = PresentedKey(request.m_headers);
//   outbound.m_headers = ForwardedHeaders(request.m_headers, key);
//   outbound.m_target = ForwardedTarget(request.m_target);
//
// Header fields are selected by an allowlist, so that a key in an unexpected
// field is not forwarded. Keys in bodies are removed by request/body.

#pragma once

#include "rattanweir/request/exchange/exchange.h"

#include <optional>
#include <string>

namespace rattanweir {

// Returns the key in `Authorization: Bearer` or `x-api-key`, or nullopt if the
// request has neither. Throws RequestError with MalformedRequest if the two
// differ.
std::optional<std::string>
PresentedKey(const HeaderFields& aHeaders);

// Returns the header fields to forward to backend servers and peers. A field
// whose value contains `aKey` is omitted.
HeaderFields
ForwardedHeaders(const HeaderFields& aHeaders,
                 const std::optional<std::string>& aKey);

// Returns the target without the query parameters that can contain a key.
std::string
ForwardedTarget(const std::string& aTarget);

// Returns the path of the target, without its query and fragment.
std::string
TargetPath(const std::string& aTarget);

} // namespace rattanweir
