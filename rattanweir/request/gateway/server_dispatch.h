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
  // How many times longer than its slot time the request takes, since others
  // wait before it.
  double m_stretch = 1;
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

// One dispatch to another region, held in the view of regions until it ends.
class RegionDispatch
{
public:
  // `aKey` names the region and the pool in that view.
  RegionDispatch(GatewayState& aState, BackendServerId aKey);
  ~RegionDispatch();
  RegionDispatch(const RegionDispatch&) = delete;
  RegionDispatch& operator=(const RegionDispatch&) = delete;

  // The answer has begun; returns how long that took. `aPromptTokens` is what
  // an engine there had to read at most.
  std::chrono::nanoseconds Begin(Tokens aPromptTokens);

  void EndWith(ResultCode aCode);

private:
  GatewayState& m_state;
  BackendServerId m_key;
  SteadyTime m_sentAt;
  bool m_hasBegun = false;
  AttemptVerdict m_verdict = AttemptVerdict::Neutral;
};

} // namespace rattanweir
