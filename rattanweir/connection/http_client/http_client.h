// Sends requests to backend servers, peers and the platform over HTTP/1.1.
//
//   HttpUpstream upstream({ .m_executor = context.get_executor() });
//   auto exchange = co_await upstream.Send(endpoint, request, cancel);
//
// Connections are kept open between requests, a bounded number for each
// endpoint. One that has become readable while idle is closed before it is
// used: what it holds, an answer that came late or twice, belongs to no later
// request. Such an answer that arrives only after the next request was sent
// can't be told apart here; attempt ids do that.
//
// Errors are as exchange.h lists them, all RequestError:
// - BackendConnectFailed: no byte was sent.
// - BackendReset: the connection broke after a byte was sent and before a head.
// - AnswerIncomplete: the answer is no HTTP, its header is over the limit, its
//   body broke off, or it has neither a length nor chunks, so that its end
//   can't be told from a broken connection; the latter is taken as whole at the
//   orderly end of the connection where the options say so.
// - DeadlineExceeded and the reason of the cancel source.
// HasRun() is Ran::No until the first byte was sent, and speaks of this
// exchange alone: who sends a request twice joins the two.
//
// For one thread. The upstream may be destroyed before its exchanges.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/request/exchange/exchange.h"

#include <chrono>
#include <memory>

namespace rattanweir {

// When a connection whose other end is gone without a word counts as broken.
struct TcpLivenessOptions
{
  // Sent bytes that are not acknowledged for this long; 0 leaves it to the
  // system.
  std::chrono::milliseconds m_unacknowledgedTimeout{ 0 };
  // A connection without traffic for this long is probed at this interval, and
  // broken after this many probes without an answer.
  std::chrono::seconds m_probeAfter{ 5 };
  std::chrono::seconds m_probeInterval{ 2 };
  int m_maxProbes = 3;
};

struct HttpUpstreamOptions
{
  Executor m_executor;
  const Clock& m_clock = SystemClock();
  std::chrono::nanoseconds m_connectTimeout{ std::chrono::seconds(1) };
  // Of an answer.
  ByteCount m_headerBytes{ 32UL * 1024 };
  // The most connections without a request, for one endpoint and in all.
  std::size_t m_maxIdlePerEndpoint = 32;
  std::size_t m_maxIdleTotal = 512;
  // Below the idle timeout of the servers, which then rarely close first.
  std::chrono::nanoseconds m_idleTimeout{ std::chrono::seconds(15) };
  // Takes an answer without a length whose connection is closed in order.
  bool m_acceptsCloseDelimitedResponses = false;
  TcpLivenessOptions m_tcpLiveness;
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

  // Connections kept without a request.
  std::size_t IdleConnections() const;

private:
  HttpUpstreamOptions m_options;
  std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace rattanweir
