// Formats the error response for a failed request.
//
//   const Refusal refusal = RefusalResponse(error, requestId);
//   co_await sink.WriteHead(refusal.m_head);
//
// Callers and peers receive the same format. Thread-safe.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/result/result_code.h"
#include "rattanweir/request/exchange/exchange.h"

#include <string>

namespace rattanweir {

// A complete response that states why a request failed.
struct Refusal
{
  ResponseHead m_head;
  std::string m_body;
};

// Returns the response for an error that occurred before any part of a response
// was sent.
Refusal
RefusalResponse(const RequestError& aError, const RequestId& aRequest);

// Returns the final event of an event stream that fails after its head was
// sent.
std::string
RefusalEvent(const RequestError& aError);

} // namespace rattanweir
