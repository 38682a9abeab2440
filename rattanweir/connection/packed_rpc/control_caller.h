// Sends control calls to peers in MessagePack, or in JSON-RPC to a peer of an
// earlier release, so that a fleet can be upgraded instance by instance.
//
//   ControlCaller caller({ .m_upstream = upstream, .m_clock = clock, ... });
//   co_await caller.Call(endpoint, call, deadline);
//
// A peer that answers a call in MessagePack with JSON is called in JSON for a
// minute. Counts messages and bytes for each method. Not thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/connection/packed_rpc/packed_rpc.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/request/exchange/exchange.h"

#include <json/value.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace rattanweir {

// One call in both encodings. The functions are called at most once each, of
// one encoding or, if the peer turns out to be of an earlier release, of both.
struct ControlCall
{
  std::string m_method;
  WritePacked m_writeParameters;
  ReadPacked m_readResult = [](const PackedValue&) {};
  std::function<Json::Value()> m_jsonParameters;
  std::function<void(const Json::Value&)> m_readJsonResult =
    [](const Json::Value&) {};
};

struct ControlCallerOptions
{
  Upstream& m_upstream;
  const Clock& m_clock;
  Metrics& m_metrics;
  // How long a peer of an earlier release is called in JSON before MessagePack
  // is tried again.
  std::chrono::nanoseconds m_jsonPeriod{ std::chrono::minutes(1) };
};

class ControlCaller
{
public:
  explicit ControlCaller(const ControlCallerOptions& aOptions);

  // Throws RpcError if the peer rejects the call or its response is invalid,
  // and RequestError if the peer is unreachable or does not respond before the
  // deadline. Must outlive the task.
  Task<void> Call(Endpoint aPeer, ControlCall aCall, SteadyTime aDeadline);

private:
  bool IsOfEarlierRelease(const Endpoint& aPeer);
  Task<void> CallInJson(Endpoint aPeer,
                        ControlCall aCall,
                        SteadyTime aDeadline);
  void CountCall(const std::string& aMethod,
                 std::size_t aSentBytes,
                 std::size_t aReceivedBytes);

  ControlCallerOptions m_options;
  // When peers of an earlier release were last found to be such.
  std::map<Endpoint, SteadyTime> m_jsonPeers;
};

} // namespace rattanweir
