#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/packed_rpc/control_caller.h"

#include "rattanweir/connection/control/peer_call.h"
#include "rattanweir/process/logging/log.h"

#include <utility>

namespace rattanweir {

ControlCaller::ControlCaller(const ControlCallerOptions& aOptions)
  : m_options(aOptions)
{
}

Task<void>
ControlCaller::Call(Endpoint aPeer, ControlCall aCall, SteadyTime aDeadline)
{
  if (!IsOfEarlierRelease(aPeer)) {
    ControlMessage message{ .m_endpoint = aPeer,
                            .m_mediaType = "application/msgpack",
                            .m_body = EncodePackedCall(aCall.m_method,
                                                       aCall.m_writeParameters),
                            .m_deadline = aDeadline };
    const std::size_t sentBytes = message.m_body.size();
    const std::string response =
      co_await SendControlMessage(m_options.m_upstream, std::move(message));
    CountCall(aCall.m_method, sentBytes, response.size());
    try {
      DecodePackedResponse(response, aCall.m_readResult);
      co_return;
    } catch (const PeerOfEarlierRelease&) {
      m_jsonPeers[aPeer] = m_options.m_clock.SteadyNow();
    }
    Log(LogLevel::Info,
        "peer_of_earlier_release",
        { { "peer", aPeer.ToString() } });
  }
  co_await CallInJson(std::move(aPeer), std::move(aCall), aDeadline);
}

bool
ControlCaller::IsOfEarlierRelease(const Endpoint& aPeer)
{
  const auto found = m_jsonPeers.find(aPeer);
  if (found == m_jsonPeers.end()) {
    return false;
  }
  const auto age = m_options.m_clock.SteadyNow() - found->second;
  if (age < m_options.m_jsonPeriod) {
    return true;
  }
  m_jsonPeers.erase(found);
  return false;
}

Task<void>
ControlCaller::CallInJson(Endpoint aPeer,
                          ControlCall aCall,
                          SteadyTime aDeadline)
{
  PeerCall call{ .m_endpoint = std::move(aPeer),
                 .m_method = aCall.m_method,
                 .m_parameters = aCall.m_jsonParameters(),
                 .m_deadline = aDeadline };
  const Json::Value result =
    co_await CallPeer(m_options.m_upstream, std::move(call));
  m_options.m_metrics.Count("rattanweir_control_json_calls_total");
  aCall.m_readJsonResult(result);
}

void
ControlCaller::CountCall(const std::string& aMethod,
                         std::size_t aSentBytes,
                         std::size_t aReceivedBytes)
{
  const std::string prefix = "rattanweir_control_" + aMethod;
  m_options.m_metrics.Count(prefix + "_calls_total");
  m_options.m_metrics.Count(prefix + "_sent_bytes_total", aSentBytes);
  m_options.m_metrics.Count(prefix + "_received_bytes_total", aReceivedBytes);
}

} // namespace rattanweir
