#include "rattanweir/base/asio/asio.h"

#include "testing/gossip_network/gossip_network.h"

#include <optional>
#include <string>
#include <utility>

namespace rattanweir::testing {
namespace {

// A response that is available immediately.
class ImmediateExchange final : public UpstreamExchange
{
public:
  explicit ImmediateExchange(std::string aBody)
    : m_body(std::move(aBody))
  {
  }
  Task<ResponseHead> ReadHead() override
  {
    co_return ResponseHead{ .m_status = 200 };
  }
  Task<std::optional<std::string>> ReadChunk() override
  {
    co_return std::exchange(m_body, std::nullopt);
  }

private:
  std::optional<std::string> m_body;
};

} // namespace

Task<std::unique_ptr<UpstreamExchange>>
GossipNetwork::Send(Endpoint aEndpoint,
                    OutboundRequest aRequest,
                    CancelSource& /*aCancel*/)
{
  const auto found = m_gossips.find(aEndpoint);
  if (m_isPartitioned || found == m_gossips.end()) {
    throw RequestError(
      ResultCode::BackendConnectFailed, "unreachable", Ran::No);
  }
  std::string response =
    m_jsonOnly.contains(aEndpoint)
      ? found->second->JsonDispatcher().Handle(*aRequest.m_body)
      : found->second->HandleCall(*aRequest.m_body);
  co_return std::make_unique<ImmediateExchange>(std::move(response));
}

} // namespace rattanweir::testing
