// The narrow interfaces between a request and the connections that carry it.
//
// Connections hand a caller's request to a RequestHandler with a ResponseSink;
// the handler reaches backend servers and peers through an Upstream. Neither
// side knows the other's sockets, so a test can stand on either end.
//
//   auto exchange = co_await upstream.Send(endpoint, outbound, cancel);
//   co_await sink.WriteHead(co_await exchange->ReadHead());
//   while (auto chunk = co_await exchange->ReadChunk()) {
//     co_await sink.WriteChunk(*chunk);
//   }
//   co_await sink.Finish();
//
// All calls are made from the process's one thread. Failures are thrown as
// RequestError.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanweir {

// The path on the peer side that takes control calls.
inline constexpr char kControlPath[] = "/rattanweir/control";

// One HTTP header field. Names compare without regard to case.
struct HeaderField
{
  std::string m_name;
  std::string m_value;
};

using HeaderFields = std::vector<HeaderField>;

// A whole request as it arrived, its body within the limits.
struct InboundRequest
{
  std::string m_method;
  // Path and query as received.
  std::string m_target;
  HeaderFields m_headers;
  std::string m_body;
  SteadyTime m_receivedAt;
  // Given by the connection, which names it in every answer. On the side that
  // peers use it is the id that the entry instance gave.
  RequestId m_id;
};

// The status and header of an answer. Fields that belong to one connection
// (Connection, Transfer-Encoding, Keep-Alive) are left out.
struct ResponseHead
{
  unsigned m_status = 0;
  HeaderFields m_headers;
  // Set if the answer's length is known beforehand.
  std::optional<std::uint64_t> m_contentLength;
};

// Takes one answer towards the caller.
class ResponseSink
{
public:
  virtual ~ResponseSink() = default;

  // Once, before any chunk. Throws RequestError (CallerGone, CallerTooSlow),
  // as the other calls do.
  virtual Task<void> WriteHead(ResponseHead aHead) = 0;

  // Waits until the caller has taken enough to hold memory bounded.
  virtual Task<void> WriteChunk(std::string aChunk) = 0;

  // Marks the answer whole. An answer without Finish reaches the caller as
  // broken off, never as whole.
  virtual Task<void> Finish() = 0;

  // Whether WriteHead was called; a refusal can no longer be sent then.
  virtual bool HasHead() const = 0;
};

// Serves one request to its end: writes the whole answer, or throws
// RequestError. The connection turns an error before the head into a refusal,
// and one after it into a broken-off answer with a typed last event where the
// answer is an event stream.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;

  // `aCancel` is cancelled by the connection with CallerGone if the caller
  // closes it. Request, sink and cancel live until the task ends.
  virtual Task<void> Handle(InboundRequest aRequest,
                            ResponseSink& aSink,
                            CancelSource& aCancel) = 0;
};

// A request towards a backend server or a peer.
struct OutboundRequest
{
  std::string m_method;
  std::string m_target;
  HeaderFields m_headers;
  // Shared between attempts.
  std::shared_ptr<const std::string> m_body;
  // The exchange ends with DeadlineExceeded then.
  SteadyTime m_deadline;
  // Never sent on a connection that carried another request before: a reused
  // one can break so that it is not known whether the request was read.
  bool m_needsFreshConnection = false;
};

// One request in flight upstream. Destroying it closes its connection unless
// the answer was read whole, which tells the other side to stop.
class UpstreamExchange
{
public:
  virtual ~UpstreamExchange() = default;

  // Throws RequestError: BackendReset, DeadlineExceeded, or the reason of the
  // cancel source.
  virtual Task<ResponseHead> ReadHead() = 0;

  // The next piece of the body as it arrives; nothing once the answer is
  // whole. Throws AnswerIncomplete if it broke off.
  virtual Task<std::optional<std::string>> ReadChunk() = 0;
};

// Sends requests to endpoints.
class Upstream
{
public:
  virtual ~Upstream() = default;

  // Connects and writes the whole request. Throws RequestError:
  // BackendConnectFailed (no byte was sent) or BackendReset (some may have
  // been). `aCancel` must outlive the exchange.
  virtual Task<std::unique_ptr<UpstreamExchange>>
  Send(Endpoint aEndpoint, OutboundRequest aRequest, CancelSource& aCancel) = 0;
};

} // namespace rattanweir
