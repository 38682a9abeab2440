// Passes a backend server's answer on as it is, whole or not at all.
//
//   ResponsePass pass({ .m_sink = sink, .m_progress = progress });
//   co_await pass.Run(exchange, std::move(head));
//
// An event stream passes in whole events; where the route resumes streams, the
// next attempt goes on after the last event that the caller has, under the
// first attempt's head. Another answer of a known, moderate length is held back
// until it is whole, so that a broken one can be asked for again.

#pragma once

#include "rattanweir/request/exchange/exchange.h"

#include <functional>
#include <optional>
#include <string>

namespace rattanweir {

// How far the answer to one request has come, over all its attempts.
struct PassProgress
{
  // The head was passed on.
  bool m_hasHead = false;
  // The number of the newest event that the caller has.
  std::optional<std::uint64_t> m_lastEvent;
  // An event came without a number: the stream cannot be resumed.
  bool m_isUnnumbered = false;
};

struct ResponsePassOptions
{
  ResponseSink& m_sink;
  PassProgress& m_progress;
  // Runs when the first piece of the body, or its end, has come.
  std::function<void()> m_onBegin;
};

class ResponsePass
{
public:
  explicit ResponsePass(ResponsePassOptions aOptions);

  // Throws RequestError: AnswerIncomplete, AnswerMismatch, what the exchange
  // throws, or what the sink throws.
  Task<void> Run(UpstreamExchange& aExchange, ResponseHead aHead);

private:
  Task<void> PassStream(UpstreamExchange& aExchange, ResponseHead aHead);
  Task<void> PassHeldBack(UpstreamExchange& aExchange, ResponseHead aHead);
  Task<void> PassPieces(UpstreamExchange& aExchange, ResponseHead aHead);
  void Begin();

  ResponsePassOptions m_options;
  bool m_hasBegun = false;
};

} // namespace rattanweir
