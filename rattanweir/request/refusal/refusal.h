// How a request that failed is told to whoever sent it.
//
//   const Refusal refusal = RefusalResponse(error, requestId);
//   co_await sink.WriteHead(refusal.m_head);
//
// The same form goes to callers and to peers. Safe from any thread.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/result/result_code.h"
#include "rattanweir/request/exchange/exchange.h"

#include <string>

namespace rattanweir {

// A whole answer that says why a request failed.
struct Refusal
{
  ResponseHead m_head;
  std::string m_body;
};

// The answer for an error before anything of the real answer was sent.
Refusal
RefusalResponse(const RequestError& aError, const RequestId& aRequest);

// The last event of an event stream that fails after its head was sent.
std::string
RefusalEvent(const RequestError& aError);

} // namespace rattanweir
