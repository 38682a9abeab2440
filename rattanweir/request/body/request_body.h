// Reads the fields of a request body that routing and cost estimation need, and
// removes API keys from the body. Belongs to the pipeline, the path of the
// product's own interface.
//
//   const RequestBody body =
//     ReadRequestBody(request.m_headers, std::move(request.m_body));
//   const Route* route = catalog.FindRoute(path, body.m_model);
//
// From JSON objects and forms, the fields that can contain a caller's key are
// removed. All other bodies are forwarded unchanged.

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
  // The body to forward to backend servers and peers.
  std::shared_ptr<const std::string> m_text;
  // The top-level field `model`.
  std::optional<ModelId> m_model;
  // The size of the top-level field `prompt` in bytes, or of the complete body
  // if it has no such string.
  std::uint64_t m_promptBytes = 0;
  // The hashed prefix of the top-level field `prompt`, scoped by the model.
  PromptPrefix m_promptPrefix;
  // The top-level field `max_tokens`.
  std::optional<std::int64_t> m_maxTokens;
};

// Parses the body. Text is treated as JSON if it is not empty and has a JSON
// media type, or if it starts with `{` after whitespace or a byte order mark.
// Throws RequestError with MalformedRequest if such text is not valid JSON, is
// nested too deeply, contains a field twice or has a field of the wrong type.
RequestBody
ReadRequestBody(const HeaderFields& aHeaders, std::string aText);

// Returns the query or form text without the parameters that can contain a key.
// Parameter names are percent-decoded and compared ignoring ASCII case.
std::string
RemoveKeyParameters(const std::string& aQuery);

} // namespace rattanweir
