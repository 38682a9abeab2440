// Test fixture with an HttpServer on loopback that has small limits.
//
//   ServerBench bench;
//   bench.m_handler.m_scripts["/wait"] = ...;
//   bench.Run([&]() -> Task<void> { ... });

#pragma once

#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_server/http_server.h"
#include "testing/raw_peer/raw_peer.h"

#include <map>
#include <utility>

namespace rattanweir {

using namespace std::chrono_literals;

inline ResponseHead
Head(const std::string& aType, std::optional<std::uint64_t> aLength = {})
{
  return ResponseHead{ .m_status = 200,
                       .m_headers = { { "content-type", aType },
                                      { "Connection", "x-hop" },
                                      { "x-hop", "1" } },
                       .m_contentLength = aLength };
}

// Runs the script registered for the request's target. Without one, responds
// with the request's method and body.
class ScriptedHandler final : public RequestHandler
{
public:
  using Script = std::function<
    Task<void>(const InboundRequest&, ResponseSink&, CancelSource&)>;

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override
  {
    m_receivedRequests.push_back(aRequest);
    const auto script = m_scripts.find(aRequest.m_target);
    if (script != m_scripts.end()) {
      co_await script->second(aRequest, aSink, aCancel);
      co_return;
    }
    std::string text = aRequest.m_method + " " + aRequest.m_body;
    ResponseHead head = Head("text/plain", text.size());
    co_await aSink.WriteHead(head);
    co_await aSink.WriteChunk(text);
    co_await aSink.Finish();
  }

  std::map<std::string, Script> m_scripts;
  std::vector<InboundRequest> m_receivedRequests;
};

// Holds the server and the error codes that it reported.
struct ServerBench
{
  explicit ServerBench(CallerLimits aLimits = SmallLimits(),
                       ByteCount aBodyBytesInAll = ByteCount(1024))
    : m_server({ .m_executor = m_context.get_executor(),
                 .m_address = { .m_address = "127.0.0.1" },
                 .m_handler = m_handler,
                 .m_limits = aLimits,
                 .m_maxTotalBodyBytes = aBodyBytesInAll,
                 .m_onError = [this](const RequestError& aError) {
                   m_errors.push_back(aError.Code());
                 } })
  {
    m_server.Start();
  }

  static CallerLimits SmallLimits()
  {
    return { .m_headerBytes = ByteCount(512),
             .m_bodyBytes = ByteCount(256),
             .m_connections = 3,
             .m_requests = 2,
             .m_idleTimeout = 10s,
             .m_readTimeout = 10s,
             .m_writeTimeout = 10s };
  }

  Task<RawPeer> Connect()
  {
    return RawPeer::Connect(m_context, m_server.LocalEndpoint());
  }

  void Run(std::function<Task<void>()> aTask)
  {
    RunTask(m_context, std::move(aTask));
  }

  ScriptedHandler m_handler;
  asio::io_context m_context;
  std::vector<ResultCode> m_errors;
  HttpServer m_server;
};

inline std::string
Get(const std::string& aTarget, const std::string& aFields = "")
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n";
}

inline std::string
Post(const std::string& aFields, const std::string& aBody)
{
  return "POST / HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n" + aBody;
}

// Returns the three-digit result code in the response, or an empty string if
// there is none.
inline std::string
ResultCodeIn(const std::string& aResponse)
{
  const std::string field = "rattanweir-result: ";
  const std::size_t found = aResponse.find(field);
  return found == std::string::npos ? ""
                                    : aResponse.substr(found + field.size(), 3);
}

} // namespace rattanweir
