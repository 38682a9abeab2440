// The outcome of one request as its caller observes it.
//
//   Outcome outcome;
//   asio::co_spawn(context, HandleInto(handler, request, outcome),
//                  asio::detached);
//   context.run();
//   REQUIRE(outcome.m_isComplete);

#pragma once

#include "rattanweir/request/exchange/exchange.h"

#include <chrono>
#include <optional>
#include <string>

namespace rattanweir {

// Result, response and completion of one request, and its cancellation.
struct Outcome
{
  bool m_isDone = false;
  ResultCode m_code = ResultCode::Ok;
  Ran m_ran = Ran::Yes;
  std::optional<std::chrono::milliseconds> m_retryAfter;
  std::optional<ResponseHead> m_head;
  std::string m_body;
  bool m_isComplete = false;
  CancelSource m_cancel;
};

// Handles the request and records its outcome. `aOutcome` must outlive the
// task.
Task<void>
HandleAndRecord(RequestHandler& aHandler,
                InboundRequest aRequest,
                Outcome& aOutcome);

} // namespace rattanweir
