// Parses JSON request bodies and writes JSON responses that the instance itself
// generates.

#pragma once

#include "rattanweir/base/json/json.h"
#include "rattanweir/request/exchange/exchange.h"

namespace rattanweir {

// Parses a request's body as a JSON object. Throws RequestError with
// MalformedRequest if the body is anything else.
Json::Value
RequireJsonObject(const std::string& aText);

// Returns the string field `aName`. Throws RequestError with MalformedRequest
// if the field is missing, empty or of another type.
std::string
RequireText(const Json::Value& aObject, const char* aName);

// Writes `aText` as a complete response with status 200.
Task<void>
WriteJsonResponse(std::string aText, ResponseSink& aSink);

} // namespace rattanweir
