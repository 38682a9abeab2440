// Interfaces between the handling of requests and the connections that carry
// them. Used by both the pipeline and the gateway.
//
// A connection passes a caller's request to a RequestHandler with a
// ResponseSink; the handler reaches backend servers and peers through an
// Upstream. Neither side depends on the other's sockets, so a test can replace
// either one.
//
//   auto exchange = co_await upstream.Send(endpoint, outbound, cancel);
//   co_await sink.WriteHead(co_await exchange->ReadHead());
//   while (auto chunk = co_await exchange->ReadChunk()) {
//     co_await sink.WriteChunk(*chunk);
//   }
//   co_await sink.Finish();
//
// All calls are made from the single thread of the process. Failures are thrown
// as RequestError.

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

// Path of control calls on the listener for peers.
inline constexpr char kControlPath[] = "/rattanweir/control";

// One HTTP header field. Names are case-insensitive.
struct HeaderField
{
  std::string m_name;
  std::string m_value;
};

using HeaderFields = std::vector<HeaderField>;

// A complete request as received. Its body is within the size limit.
struct InboundRequest
{
  std::string m_method;
  // Path and query as received.
  std::string m_target;
  HeaderFields m_headers;
  std::string m_body;
  // When the first bytes were noticed, and when the last bytes arrived, as far
  // as the system tells.
  SteadyTime m_begunAt;
  SteadyTime m_receivedAt;
  // How long the complete request lay unread, if the system tells.
  std::optional<std::chrono::milliseconds> m_unreadFor;
  // Assigned by the connection, which includes it in every response. On the
  // listener for peers it is the ID that the entry instance assigned.
  RequestId m_id;
};

// The status and header of a response, without the fields that apply to one
// connection only (Connection, Transfer-Encoding, Keep-Alive).
struct ResponseHead
{
  unsigned m_status = 0;
  HeaderFields m_headers;
  // The length of the body in bytes, if known in advance.
  std::optional<std::uint64_t> m_contentLength;
  // The body has neither a length nor chunks and ends with its connection. Only
  // in received responses.
  bool m_isCloseDelimited = false;
};

// Writes one response to the caller.
class ResponseSink
{
public:
  virtual ~ResponseSink() = default;

  // Must be called once, before any chunk. Like the other calls, throws
  // RequestError with CallerGone or CallerTooSlow.
  virtual Task<void> WriteHead(ResponseHead aHead) = 0;

  // Waits until the caller has read enough to keep the buffered data bounded.
  virtual Task<void> WriteChunk(std::string aChunk) = 0;

  // Marks the response as complete. Without this call the caller receives a
  // truncated response, which it cannot mistake for a complete one.
  virtual Task<void> Finish() = 0;

  // Returns whether WriteHead was called. After that a refusal can no longer be
  // sent.
  virtual bool HasHead() const = 0;
};

// Handles one request: writes the complete response, or throws RequestError.
// The connection converts an error before the head into a refusal. On an error
// after the head it truncates the response; it ends an event stream with an
// event that carries the error.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;

  // The connection cancels `aCancel` with CallerGone if the caller disconnects.
  // `aSink` and `aCancel` must outlive the task.
  virtual Task<void> Handle(InboundRequest aRequest,
                            ResponseSink& aSink,
                            CancelSource& aCancel) = 0;
};

// A request to a backend server or a peer.
struct OutboundRequest
{
  std::string m_method;
  std::string m_target;
  HeaderFields m_headers;
  // Shared by all attempts of a request.
  std::shared_ptr<const std::string> m_body;
  // When this time is reached, the exchange fails with DeadlineExceeded.
  SteadyTime m_deadline;
  // The request must not be sent on a reused connection. If the peer closes a
  // reused connection, it is unknown whether the request was read.
  bool m_needsFreshConnection = false;
};

// One request in flight upstream. Unless the complete response was read, the
// destructor closes the connection, so that the other side stops processing.
class UpstreamExchange
{
public:
  virtual ~UpstreamExchange() = default;

  // Throws RequestError with BackendReset, DeadlineExceeded or the reason of
  // the cancel source.
  virtual Task<ResponseHead> ReadHead() = 0;

  // Returns the next chunk of the body as received, or nullopt once the
  // response is complete. Throws RequestError with AnswerIncomplete if the
  // response is truncated.
  virtual Task<std::optional<std::string>> ReadChunk() = 0;
};

// Sends requests to endpoints.
class Upstream
{
public:
  virtual ~Upstream() = default;

  // Connects and writes the complete request. Throws RequestError with
  // BackendConnectFailed (no byte was sent) or BackendReset (bytes may have
  // been sent). `aCancel` must outlive the exchange.
  virtual Task<std::unique_ptr<UpstreamExchange>>
  Send(Endpoint aEndpoint, OutboundRequest aRequest, CancelSource& aCancel) = 0;
};

} // namespace rattanweir
