// One dispatch at a backend server, held in the view of loads until it ends.
//
//   ServerDispatch dispatch({ .m_clock = clock, .m_backends = backends,
//                             .m_queues = lines, .m_server = incarnation });
//   dispatch.Begin();
//   dispatch.EndWith(ResultCode::Ok);

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/result/result_code.h"
#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/request/gateway/pool_queues.h"
#include "rattanweir/request/placement/placement.h"

namespace rattanweir {

struct ServerDispatchOptions
{
  const Clock& m_clock;
  BackendView& m_backends;
  PoolQueues& m_queues;
  BackendServerId m_server;
  PoolId m_pool;
  // Prompt tokens that the server has to read.
  Tokens m_uncached;
  // How many times longer than its slot time the request takes, since others
  // wait before it.
  double m_queueingFactor = 1;
};

class ServerDispatch
{
public:
  explicit ServerDispatch(ServerDispatchOptions aOptions);
  // Without EndWith it says nothing about the server's health.
  ~ServerDispatch();
  ServerDispatch(const ServerDispatch&) = delete;
  ServerDispatch& operator=(const ServerDispatch&) = delete;

  // The answer has begun; returns how long that took.
  std::chrono::nanoseconds RecordResponseStart();

  void EndWith(ResultCode aCode);

private:
  // What the server has to read, as the view of loads counts it.
  std::uint64_t Load() const;

  ServerDispatchOptions m_options;
  SteadyTime m_sentAt;
  bool m_hasBegun = false;
  AttemptOutcome m_outcome = AttemptOutcome::Neutral;
  bool m_isComplete = false;
};

struct RegionDispatchOptions
{
  const Clock& m_clock;
  BackendView& m_regions;
  // Names the region and the pool in that view.
  BackendServerId m_key;
};

// One dispatch to another region, held in the view of regions until it ends.
class RegionDispatch
{
public:
  explicit RegionDispatch(RegionDispatchOptions aOptions);
  ~RegionDispatch();
  RegionDispatch(const RegionDispatch&) = delete;
  RegionDispatch& operator=(const RegionDispatch&) = delete;

  // The answer has begun; returns how long that took. `aPromptTokens` is what
  // an engine there had to read at most.
  std::chrono::nanoseconds RecordResponseStart(Tokens aPromptTokens);

  void EndWith(ResultCode aCode);

private:
  RegionDispatchOptions m_options;
  SteadyTime m_sentAt;
  bool m_hasBegun = false;
  AttemptOutcome m_outcome = AttemptOutcome::Neutral;
};

} // namespace rattanweir
