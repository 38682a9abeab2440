// What the gateway reads out of a request's body, and the body it passes on.
//
//   const RequestBody body = ReadRequestBody(request);
//   const Route* route = catalog.FindRoute(path, body.m_model);
//
// JSON objects are read for the fields that routing and cost need; the fields
// that can carry a caller's key are taken out. Bodies of other media types
// pass unchanged, except that key fields of a form are taken out as well.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/prefix_view/prefix_view.h"
#include "rattanweir/request/exchange/exchange.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace rattanweir {

struct RequestBody
{
  // What backend servers and peers get.
  std::shared_ptr<const std::string> m_text;
  // The top-level `model`.
  std::optional<ModelId> m_model;
  // The length of the top-level `prompt`, or of the whole body without one.
  std::uint64_t m_promptBytes = 0;
  // The beginning of the top-level `prompt`, told apart by the model.
  PromptPrefix m_promptPrefix;
  // The top-level `max_tokens`.
  std::optional<std::int64_t> m_maxTokens;
};

// Throws RequestError with MalformedRequest if a body that claims to be JSON
// is not, names a field twice, or has a field of the wrong type.
RequestBody
ReadRequestBody(const HeaderFields& aHeaders, std::string aText);

// The query or form text without the parameters that can carry a key. Names
// are compared after percent-decoding.
std::string
RemoveKeyParameters(const std::string& aQuery);

} // namespace rattanweir
