// HTTP/1.1 server that passes each request to a RequestHandler. An instance
// runs three of them: for callers, for peers and for operators.
//
//   HttpServer server({ .m_executor = executor,
//                       .m_address = settings.m_callerAddress,
//                       .m_handler = pipeline,
//                       .m_limits = settings.m_callerLimits });
//   Log(LogLevel::Info, "listening",
//       { { "caller", server.LocalEndpoint().ToString() } });
//   server.Start();
//   ...
//   server.Drain();
//   co_await server.WaitUntilDone();
//
// Each connection is served by its own coroutine. The memory of a connection is
// bounded: request header, request body and unsent response bytes each have a
// limit. The bodies of all requests together have a limit as well.
//
// If the handler throws a RequestError before any part of the response was
// sent, the server sends a refusal. After that point, an event stream gets a
// final `error` event and any other response is cut off; both are left without
// their end marker, so the caller can't take them for complete. Any other
// exception counts as InternalError.
//
// HTTP/1.0 requests are refused: without chunked encoding a caller can't
// distinguish a complete response from a truncated one. A caller that shuts
// down its sending side counts as disconnected.
//
// Not thread-safe. The handler must outlive the coroutines: either await
// WaitUntilDone, or destroy the io_context before the handler.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/process/settings/settings.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/request/refusal/refusal.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace rattanweir {

// Controls the responses that the server itself generates or extends.
struct ResponseStyle
{
  std::function<Refusal(const RequestError&, const RequestId&)>
    m_formatRefusal = RefusalResponse;
  // Adds the request id to the header of each response.
  bool m_addsRequestIdHeader = true;
  // Ends a failed event stream with an event that describes the error.
  bool m_sendsErrorEvents = true;
};

struct HttpServerOptions
{
  Executor m_executor;
  // Port 0 selects a free port.
  Endpoint m_address;
  RequestHandler& m_handler;
  CallerLimits m_limits;
  // Limit on the bodies of all requests together, read or being read.
  ByteCount m_maxTotalBodyBytes{ 512UL * 1024 * 1024 };
  const Clock& m_clock = SystemClock();
  // Adopts the request id sent in the request header. Only for the server that
  // peers connect to; without this option, every request gets a new id.
  bool m_trustsRequestId = false;
  // Bytes reserved from m_maxTotalBodyBytes for a body of unknown length until
  // the body has been read. If unset, the maximum body size is reserved.
  std::optional<ByteCount> m_unknownLengthReservation;
  ResponseStyle m_responses;
  // Called for each request or connection that ends in an error, including
  // errors thrown by the handler. Must not throw.
  std::function<void(const RequestError&)> m_onError;
};

struct ServerState;

class HttpServer
{
public:
  // Opens the listening socket, so that LocalEndpoint is known, but does not
  // accept connections yet. Throws boost::system::system_error.
  explicit HttpServer(const HttpServerOptions& aOptions);

  // Calls Abort.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Endpoint LocalEndpoint() const;

  // Starts accepting connections.
  void Start();

  // Applies to connections accepted from now on. The idle timeout also applies
  // to open connections, from their next request on.
  void SetLimits(const CallerLimits& aLimits);

  // Keeps accepting requests, but closes each connection after its next
  // response.
  void CloseAfterResponses();

  // Stops accepting connections, closes idle ones and lets running requests
  // finish; each connection closes after its response.
  void Drain();

  // Lets the kernel take as much of each response as its send buffer holds, on
  // open and later connections. It delivers what it has taken to callers that
  // read slowly, even after the process has ended.
  void HandOverResponses();

  // Cancels running requests with InstanceDraining, and refuses those that are
  // being read. Callers that have not received a response head get the error as
  // their response; other responses are truncated. Connections stay open until
  // that is written.
  void CancelRequests();

  // Drains, cancels running requests with InstanceDraining and interrupts what
  // is being written.
  void Abort();

  // Completes once the server no longer accepts connections and the last
  // connection is closed.
  Task<void> WaitUntilDone();

  // Returns whether WaitUntilDone would complete at once.
  bool IsDone() const;

  std::uint32_t Connections() const;
  // Returns the number of requests that are being handled.
  std::uint32_t RequestsInFlight() const;
  // Returns the number of requests that are being read or whose response is not
  // written yet.
  std::uint32_t UnansweredRequests() const;

private:
  std::shared_ptr<ServerState> m_state;
};

} // namespace rattanweir
