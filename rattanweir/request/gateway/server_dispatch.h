// One dispatch at a backend server, held in the view of loads until it ends.
//
//   ServerDispatch dispatch(state, { .m_server = incarnation, ... });
//   dispatch.Begin();
//   dispatch.EndWith(ResultCode::Ok);

#pragma once

#include "rattanweir/request/gateway/gateway_state.h"
#include "rattanweir/request/placement/placement.h"

#include <optional>
#include <vector>

namespace rattanweir {

struct ServerDispatchOptions
{
  BackendServerId m_server;
  PoolId m_pool;
  // Prompt tokens that the server has to read.
  Tokens m_uncached;
  // When its answer was expected to begin.
  std::chrono::nanoseconds m_expected{};
};

class ServerDispatch
{
public:
  ServerDispatch(GatewayState& aState, ServerDispatchOptions aOptions);
  // Without EndWith it says nothing about the server's health.
  ~ServerDispatch();
  ServerDispatch(const ServerDispatch&) = delete;
  ServerDispatch& operator=(const ServerDispatch&) = delete;

  // The answer has begun; returns how long that took.
  std::chrono::nanoseconds Begin();

  void EndWith(ResultCode aCode);

private:
  GatewayState& m_state;
  ServerDispatchOptions m_options;
  SteadyTime m_sentAt;
  bool m_hasBegun = false;
  AttemptVerdict m_verdict = AttemptVerdict::Neutral;
  bool m_isWhole = false;
};

} // namespace rattanweir
