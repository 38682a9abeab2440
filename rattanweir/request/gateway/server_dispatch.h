// Accounts one dispatch to a backend server or to another region in the load
// view until the dispatch ends. Used on the users' platform (settings with
// `fleet`).
//
//   ServerDispatch dispatch({ .m_clock = clock, .m_backends = backends,
//                             .m_queues = queues, .m_server = incarnation });
//   dispatch.RecordResponseStart();
//   dispatch.EndWith(ResultCode::Ok);

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/result/result_code.h"
#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/process/server_performance/server_performance.h"
#include "rattanweir/request/gateway/pool_queues.h"
#include "rattanweir/request/placement/placement.h"

#include <optional>

namespace rattanweir {

// What was expected of a dispatch to a server or region of a profiled pool.
struct StartExpectation
{
  ServerPerformance& m_performance;
  // The estimated time to first byte, and its part without the recent excess
  // delay.
  std::chrono::nanoseconds m_estimate{};
  std::chrono::nanoseconds m_withoutExcessDelay{};
  // Prompt tokens that the estimate assumes to be processed.
  Tokens m_tokens;
};

struct ServerDispatchOptions
{
  const Clock& m_clock;
  BackendView& m_backends;
  PoolQueues& m_queues;
  BackendServerId m_server;
  PoolId m_pool;
  // Prompt tokens that the server has to process because they are not cached.
  Tokens m_uncached;
  // The ratio of the request's expected time at the server, including the wait
  // behind others, to its slot time.
  double m_queueingFactor = 1;
  // nullopt if the pool is not profiled.
  std::optional<StartExpectation> m_expectation{};
};

// One dispatch to a backend server, counted in the load view from construction
// to destruction.
class ServerDispatch
{
public:
  explicit ServerDispatch(ServerDispatchOptions aOptions);
  // Ends the dispatch; without EndWith, the server's health is not affected.
  ~ServerDispatch();
  ServerDispatch(const ServerDispatch&) = delete;
  ServerDispatch& operator=(const ServerDispatch&) = delete;

  // Records that the response has started. Returns the time since the dispatch.
  std::chrono::nanoseconds RecordResponseStart();

  // Sets the result with which the destructor ends the dispatch.
  void EndWith(ResultCode aCode);

private:
  // Returns the uncached tokens, which are the load in BackendView.
  std::uint64_t Load() const;

  ServerDispatchOptions m_options;
  SteadyTime m_sentAt;
  bool m_hasResponseStarted = false;
  AttemptOutcome m_outcome = AttemptOutcome::Neutral;
  bool m_isComplete = false;
};

struct RegionDispatchOptions
{
  const Clock& m_clock;
  BackendView& m_regions;
  // The key of the region and the pool in that view (RegionKey).
  BackendServerId m_key;
  // The time that the hop and back takes.
  std::chrono::nanoseconds m_hopLatency{ kCrossRegionLatency };
  PoolId m_pool;
  // nullopt if the pool is not profiled.
  std::optional<StartExpectation> m_expectation{};
};

// One dispatch to a peer of this or another region, counted in the view of
// regions from construction to destruction.
class RegionDispatch
{
public:
  explicit RegionDispatch(RegionDispatchOptions aOptions);
  ~RegionDispatch();
  RegionDispatch(const RegionDispatch&) = delete;
  RegionDispatch& operator=(const RegionDispatch&) = delete;

  // Records that the response has started. Returns the time since the dispatch.
  // `aPromptTokens` is the maximum that an engine there had to process.
  std::chrono::nanoseconds RecordResponseStart(Tokens aPromptTokens);

  // Sets the result with which the destructor ends the dispatch.
  void EndWith(ResultCode aCode);

private:
  RegionDispatchOptions m_options;
  SteadyTime m_sentAt;
  bool m_hasResponseStarted = false;
  AttemptOutcome m_outcome = AttemptOutcome::Neutral;
};

} // namespace rattanweir
