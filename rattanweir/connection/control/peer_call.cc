#include "rattanweir/connection/control/peer_call.h"

#include "rattanweir/connection/rpc/rpc.h"

#include <utility>

namespace rattanweir {
namespace {

constexpr unsigned kHttpOk = 200;

// Fits a configuration section of 1 MiB with JSON escaping.
constexpr std::size_t kMaxResponseBytes = 4ULL * 1024 * 1024;

Task<std::string>
ReadBody(UpstreamExchange& aExchange)
{
  std::string body;
  while (true) {
    std::optional<std::string> chunk = co_await aExchange.ReadChunk();
    if (!chunk) {
      co_return body;
    }
    body += *chunk;
    if (body.size() > kMaxResponseBytes) {
      throw RpcError("the peer's response exceeds 4 MiB");
    }
  }
}

} // namespace

Task<std::string>
SendControlMessage(Upstream& aUpstream, ControlMessage aMessage)
{
  OutboundRequest request;
  request.m_method = "POST";
  request.m_target = kControlPath;
  request.m_headers = { { "content-type", aMessage.m_mediaType } };
  request.m_body =
    std::make_shared<const std::string>(std::move(aMessage.m_body));
  request.m_deadline = aMessage.m_deadline;

  CancelSource cancel;
  const std::unique_ptr<UpstreamExchange> exchange =
    co_await aUpstream.Send(aMessage.m_endpoint, std::move(request), cancel);
  const ResponseHead head = co_await exchange->ReadHead();
  if (head.m_status != kHttpOk) {
    throw RpcError("the peer responded with HTTP status " +
                   std::to_string(head.m_status));
  }
  co_return co_await ReadBody(*exchange);
}

Task<Json::Value>
CallPeer(Upstream& aUpstream, PeerCall aCall)
{
  ControlMessage message;
  message.m_endpoint = aCall.m_endpoint;
  message.m_mediaType = "application/json";
  message.m_body = EncodeRpcRequest(aCall.m_method, aCall.m_parameters);
  message.m_deadline = aCall.m_deadline;
  const std::string response =
    co_await SendControlMessage(aUpstream, std::move(message));
  co_return DecodeRpcResponse(response);
}

} // namespace rattanweir
