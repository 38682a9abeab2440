// Takes HTTP/1.1 requests and hands each to a RequestHandler. The caller, peer
// and admin sides of an instance are three of these.
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
// One coroutine serves one connection. Everything that a connection holds is
// bounded: its header, its body, what waits to be written. The bodies of all
// requests together have a bound as well.
//
// A RequestError of the handler is answered as a refusal while nothing of the
// answer was sent. After that an event stream gets a last event `error`, and
// any other answer just breaks off; neither gets the mark of a whole answer.
// Other exceptions count as InternalError.
//
// HTTP/1.0 is refused: without chunks a caller can't tell a whole answer from a
// broken one. A caller that ends its sending side counts as gone.
//
// For one thread. The handler must outlive the coroutines: either await
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

// How this side's own words are put into answers.
struct ResponseStyle
{
  std::function<Refusal(const RequestError&, const RequestId&)>
    m_formatRefusal = RefusalResponse;
  // Adds the request's id to the header of each answer.
  bool m_addsRequestIdHeader = true;
  // Ends a stream that fails with an event that says why.
  bool m_sendsErrorEvents = true;
};

struct HttpServerOptions
{
  Executor m_executor;
  // Port 0 picks a free one.
  Endpoint m_address;
  RequestHandler& m_handler;
  CallerLimits m_limits;
  // The bodies of all requests, read or being read.
  ByteCount m_maxTotalBodyBytes{ 512UL * 1024 * 1024 };
  const Clock& m_clock = SystemClock();
  // Keeps the request id that the sender names. Only for the side that peers
  // use; every other request gets an id of its own.
  bool m_trustsRequestId = false;
  // What the body of unknown length takes from the bound on all bodies until
  // it was read; nothing takes the most that it may have.
  std::optional<ByteCount> m_unknownLengthReservation;
  ResponseStyle m_responses;
  // Runs for each request or connection that ends in an error, those of the
  // handler included. Must not throw.
  std::function<void(const RequestError&)> m_onError;
};

struct ServerState;

class HttpServer
{
public:
  // Listens, so that LocalEndpoint is known, but does not accept yet. Throws
  // boost::system::system_error.
  explicit HttpServer(const HttpServerOptions& aOptions);

  // Stops as Abort does.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Endpoint LocalEndpoint() const;

  // Begins to accept.
  void Start();

  // For connections accepted from now on, but for the idle timeout, which
  // holds from the next request of each connection.
  void SetLimits(const CallerLimits& aLimits);

  // Takes requests as before, but closes each connection after its next
  // answer.
  void CloseAfterResponses();

  // Stops accepting, closes idle connections and lets running requests end;
  // each connection closes after its answer.
  void Drain();

  // Drains, and cancels what still runs with InstanceDraining.
  void Abort();

  // Ends once it accepts no more and the last connection is closed.
  Task<void> WaitUntilDone();

  std::uint32_t Connections() const;
  std::uint32_t RequestsInFlight() const;

private:
  std::shared_ptr<ServerState> m_state;
};

} // namespace rattanweir
