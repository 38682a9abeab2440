// Test fixture with an HttpUpstream and a raw listener that acts as its server.
//
//   ClientBench bench;
//   bench.Run([&]() -> Task<void> { ... });

#pragma once

#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "testing/raw_peer/raw_peer.h"

#include <boost/asio/detached.hpp>

#include <optional>

namespace rattanweir {

using namespace std::chrono_literals;

inline const std::string kHeadWithLength2 =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
inline const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string kCompleteResponse = kHeadWithLength2 + "ok";

// Holds an HTTP client and the listener to which Send() connects. Run() runs a
// coroutine to its end on the fixture's io_context.
struct ClientBench
{
  explicit ClientBench(std::chrono::nanoseconds aIdleTimeout = 10s)
    : m_listener(m_context)
    , m_upstream({ .m_executor = m_context.get_executor(),
                   .m_connectTimeout = 200ms,
                   .m_headerBytes = ByteCount(1024),
                   .m_maxIdlePerEndpoint = 2,
                   .m_idleTimeout = aIdleTimeout })
  {
  }

  OutboundRequest Request(const std::string& aBody = "") const
  {
    return OutboundRequest{
      .m_method = "POST",
      .m_target = "/t?q=1",
      .m_headers = { { "x-request-id", "r" } },
      .m_body = std::make_shared<const std::string>(aBody),
      .m_deadline = SystemClock().SteadyNow() + m_timeout,
    };
  }

  Task<std::unique_ptr<UpstreamExchange>> Send(OutboundRequest aRequest)
  {
    return m_upstream.Send(
      m_listener.LocalEndpoint(), std::move(aRequest), m_cancel);
  }

  void Run(std::function<Task<void>()> aTask)
  {
    RunTask(m_context, std::move(aTask));
  }

  asio::io_context m_context;
  RawListener m_listener;
  CancelSource m_cancel;
  std::chrono::nanoseconds m_timeout = 10s;
  HttpUpstream m_upstream;
};

// Returns the response body, read to its end.
inline Task<std::string>
ReadBody(UpstreamExchange& aExchange)
{
  std::string body;
  for (;;) {
    const std::optional<std::string> chunk = co_await aExchange.ReadChunk();
    if (!chunk) {
      co_return body;
    }
    body += *chunk;
  }
}

// Runs the task. Returns the RequestError that it throws, or nullopt if it
// completes.
inline Task<std::optional<RequestError>>
CatchRequestError(std::function<Task<void>()> aTask)
{
  try {
    co_await aTask();
  } catch (const RequestError& error) {
    co_return error;
  }
  co_return std::nullopt;
}

// Sends the request and returns the complete response body.
inline Task<std::string>
SendAndReadBody(ClientBench& aBench, OutboundRequest aRequest)
{
  const auto exchange = co_await aBench.Send(aRequest);
  co_await exchange->ReadHead();
  std::string body = co_await ReadBody(*exchange);
  co_return body;
}

// Reads one request head from the connection, then writes these bytes.
inline Task<void>
ReadRequestAndRespond(RawPeer& aPeer, std::string aResponse)
{
  co_await aPeer.ReadUntil("\r\n\r\n");
  co_await aPeer.Write(aResponse);
}

} // namespace rattanweir
