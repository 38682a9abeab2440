// Writes a small JSON answer of the instance's own.

#pragma once

#include "rattanweir/request/exchange/exchange.h"

#include <json/value.h>

namespace rattanweir {

// The text of a JSON value, without line breaks.
std::string
JsonText(const Json::Value& aValue);

// The JSON object in a request's body. Throws RequestError with
// MalformedRequest.
Json::Value
RequireJsonObject(const std::string& aText);

// The text field of this name. Throws RequestError with MalformedRequest.
std::string
RequireText(const Json::Value& aObject, const char* aName);

// Writes a whole answer with status 200.
Task<void>
WriteJsonAnswer(std::string aText, AnswerSink& aSink);

} // namespace rattanweir
