// HTTP/1.1 client for requests to backend servers, peers and the platform.
//
//   HttpUpstream upstream({ .m_executor = context.get_executor() });
//   auto exchange = co_await upstream.Send(endpoint, request, cancel);
//
// Keeps a bounded number of idle connections per endpoint for reuse. An idle
// connection that has become readable is closed instead of reused: the bytes
// belong to a late or duplicate response. If such a response arrives only after
// the next request was sent, this class can't detect it; attempt ids do.
//
// All errors are RequestError, as listed in exchange.h:
// - BackendConnectFailed: no byte was sent. ConnectionRefused if the other end
//   refused the connection.
// - BackendReset: the connection broke after a byte was sent and before the
//   response head arrived.
// - AnswerIncomplete: the response is malformed, its status is not one of 100
//   to 599 or is 101, its header exceeds the limit, its body is truncated or
//   has a transfer coding other than chunked, or it has neither a
//   Content-Length nor chunked encoding, so that its end can't be distinguished
//   from a broken connection. With m_acceptsCloseDelimitedResponses, an orderly
//   close ends such a response, unless the request could not be written
//   entirely.
// - DeadlineExceeded and the reason of the cancel source.
// HasRun() is Ran::No until the first byte was sent. It covers this exchange
// only: code that retries a request combines the values of its attempts.
//
// Not thread-safe. The upstream may be destroyed before its exchanges.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/request/exchange/exchange.h"

#include <chrono>
#include <functional>
#include <memory>

namespace rattanweir {

// When a connection whose other end vanished without closing it counts as
// broken.
struct TcpLivenessOptions
{
  // TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged; 0 selects
  // the system's default.
  std::chrono::milliseconds m_unacknowledgedTimeout{ 0 };
  // TCP keepalive: idle time before the first probe, interval between probes,
  // and the number of unanswered probes after which the connection is broken.
  std::chrono::seconds m_probeAfter{ 5 };
  std::chrono::seconds m_probeInterval{ 2 };
  int m_maxProbes = 3;
};

struct HttpUpstreamOptions
{
  Executor m_executor;
  const Clock& m_clock = SystemClock();
  std::chrono::nanoseconds m_connectTimeout{ std::chrono::seconds(1) };
  // Limit on a response header.
  ByteCount m_headerBytes{ 32UL * 1024 };
  // Limits on idle connections, per endpoint and in total.
  std::size_t m_maxIdlePerEndpoint = 32;
  std::size_t m_maxIdleTotal = 512;
  // Shorter than the idle timeout of the servers, so that a server rarely
  // closes an idle connection first.
  std::chrono::nanoseconds m_idleTimeout{ std::chrono::seconds(15) };
  // Accepts a response with neither a Content-Length nor chunked encoding; its
  // body ends with the orderly close of the connection.
  bool m_acceptsCloseDelimitedResponses = false;
  TcpLivenessOptions m_tcpLiveness;
  // Called for each new connection: with true once it is open, with false if
  // the other end refused it or did not respond. Must not throw.
  std::function<void(const Endpoint&, bool)> m_onConnect;
};

class ConnectionPool;

class HttpUpstream final : public Upstream
{
public:
  explicit HttpUpstream(const HttpUpstreamOptions& aOptions);
  ~HttpUpstream() override;
  HttpUpstream(const HttpUpstream&) = delete;
  HttpUpstream& operator=(const HttpUpstream&) = delete;

  Task<std::unique_ptr<UpstreamExchange>> Send(Endpoint aEndpoint,
                                               OutboundRequest aRequest,
                                               CancelSource& aCancel) override;

  // Returns the number of pooled idle connections.
  std::size_t IdleConnections() const;

private:
  HttpUpstreamOptions m_options;
  std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace rattanweir
