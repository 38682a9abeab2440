// An Upstream whose endpoints respond as scripted and which records the
// requests sent.
//
//   ScriptedUpstream upstream(context);
//   upstream.m_scripts[kDesk].push_back({ .m_kind = ResponseKind::Resets });
//
// An endpoint without a script responds to every request with `{}`.

#pragma once

#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/request/wait/wait.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanweir {

inline constexpr const char* kEngineOne = "10.0.0.1:1";
inline constexpr const char* kEngineTwo = "10.0.0.1:2";
inline constexpr const char* kDesk = "10.0.0.1:3";
inline constexpr const char* kEastPeer = "10.0.1.2:2";
inline constexpr const char* kWestPeer = "10.0.2.1:2";

enum class ResponseKind
{
  Responds,
  // The connection fails before any byte is sent.
  ConnectFails,
  // The same, since no process listens at the endpoint.
  RefusesConnection,
  // The connection is reset after the request, before the response head.
  Resets,
  DeadlinePasses,
  // Waits for cancellation or ReleaseHeld before the response head.
  Holds,
};

// How an endpoint responds to one request.
struct ScriptedResponse
{
  ResponseKind m_kind = ResponseKind::Responds;
  unsigned m_status = 200;
  HeaderFields m_headers;
  std::vector<std::string> m_pieces = { "{}" };
  // If false, the body is truncated after its pieces.
  bool m_isComplete = true;
  // The body has neither a length nor chunks.
  bool m_isCloseDelimited = false;
  // Waits for cancellation or ReleaseHeld after the pieces.
  bool m_holdsAfterPieces = false;
  // If set, returned instead of the attempt id of the request.
  std::string m_attemptId;
  // Whether the response repeats the request's `id` field, unless it has one.
  bool m_namesRequest = true;
};

// Returns one event of an engine's stream. kStreamEnd is the final event.
std::string
StreamEventText(int aOffset);
inline constexpr const char* kStreamEnd = "data: [DONE]\n\n";

// Returns a stream of `aCount` events, numbered from `aFirst`.
ScriptedResponse
ScriptedStream(int aFirst, int aCount, bool aHasEnd);

// Not thread-safe.
class ScriptedUpstream final : public Upstream
{
public:
  struct Sent
  {
    std::string m_endpoint;
    OutboundRequest m_request;
  };

  explicit ScriptedUpstream(asio::io_context& aContext);

  Task<std::unique_ptr<UpstreamExchange>> Send(Endpoint aEndpoint,
                                               OutboundRequest aRequest,
                                               CancelSource& aCancel) override;

  // Resumes all exchanges that wait in a hold.
  void ReleaseHeld();

  std::map<std::string, std::deque<ScriptedResponse>> m_scripts;
  // Requests sent to a connected endpoint, in order.
  std::vector<Sent> m_sent;
  unsigned m_connects = 0;

private:
  class Exchange;

  asio::io_context& m_context;
  std::vector<std::weak_ptr<WakeableTimer>> m_held;
};

} // namespace rattanweir
