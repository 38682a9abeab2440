// Writes a small JSON answer of the instance's own.

#pragma once

#include "rattanweir/base/json/json.h"
#include "rattanweir/request/exchange/exchange.h"

namespace rattanweir {

// The JSON object in a request's body. Throws RequestError with
// MalformedRequest.
Json::Value
RequireJsonObject(const std::string& aText);

// The text field of this name. Throws RequestError with MalformedRequest.
std::string
RequireText(const Json::Value& aObject, const char* aName);

// Writes a whole answer with status 200.
Task<void>
WriteJsonResponse(std::string aText, ResponseSink& aSink);

} // namespace rattanweir
