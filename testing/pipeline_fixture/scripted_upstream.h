// An upstream whose endpoints do as scripted, and that records what was sent.
//
//   ScriptedUpstream upstream(context);
//   upstream.m_scripts[kDesk].push_back({ .m_kind = ResponseKind::Resets });
//
// An endpoint without a script answers every request with `{}`.

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
  // No byte is sent.
  ConnectFails,
  // After the request was sent, before a head.
  Resets,
  DeadlinePasses,
  // Waits for its cancellation or for ReleaseHeld.
  Holds,
};

// What an endpoint does with one request.
struct ScriptedResponse
{
  ResponseKind m_kind = ResponseKind::Responds;
  unsigned m_status = 200;
  HeaderFields m_headers;
  std::vector<std::string> m_pieces = { "{}" };
  // Without it the body breaks off after its pieces.
  bool m_isComplete = true;
  // Waits after the pieces as Holds does before them.
  bool m_holdsAfterPieces = false;
  // In place of the attempt id that was sent.
  std::string m_attemptId;
};

// The events of an engine's stream, and its end.
std::string
StreamEventText(int aOffset);
inline constexpr const char* kStreamEnd = "data: [DONE]\n\n";

// A stream that carries these events.
ScriptedResponse
ScriptedStream(int aFirst, int aCount, bool aHasEnd);

// Answers as scripted and records what was sent.
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

  // Lets everything that is held go on.
  void ReleaseHeld();

  std::map<std::string, std::deque<ScriptedResponse>> m_scripts;
  // Requests of which a byte was sent, in their order.
  std::vector<Sent> m_sent;
  unsigned m_connects = 0;

private:
  class Exchange;

  asio::io_context& m_context;
  std::vector<std::weak_ptr<WakeableTimer>> m_held;
};

} // namespace rattanweir
