// Serves the requests of one accepted connection until it closes.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/http_server/internal/response_writer.h"
#include "rattanweir/connection/http_server/internal/server_state.h"
#include "rattanweir/connection/http_server/internal/server_stream.h"

#include <memory>
#include <optional>

namespace rattanweir {

class ServerConnection
{
public:
  ServerConnection(std::shared_ptr<ServerState> aState,
                   asio::ip::tcp::socket aSocket);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  Task<void> Run();

  // Interrupts the wait for the next request; a request in flight continues. A
  // connection accepted shortly before may still send its first request.
  void CloseIfIdle();
  // Lets the kernel take as much of the response as its send buffer holds.
  void HandOverResponse();
  // Cancels a request in flight with InstanceDraining; refuses one that is
  // being read.
  void CancelRequest();
  // The same, and interrupts whatever the connection waits for.
  void Abort();

private:
  enum class Next
  {
    // Another request may follow.
    Request,
    // Close after the last response has reached the caller.
    Linger,
    Close,
  };

  Task<bool> WaitForRequest();
  Task<Next> ServeRequest();
  Task<Next> ReadAndRespond(RequestFrame aFrame);
  Task<Next> Respond(InboundRequest aRequest, bool aKeepsAlive);
  // Returns the error that ended the handler, or nullopt.
  Task<std::optional<RequestError>> RunHandler(InboundRequest aRequest,
                                               ResponseWriter& aWriter);
  Task<Next> FinishResponse(ResponseWriter& aWriter,
                            std::optional<RequestError> aError);
  // Refuses a request that was not read completely.
  Task<Next> Refuse(ResultCode aCode, std::string aDetail);
  // The same for a request whose reading was cancelled.
  Task<Next> RefuseUnread();
  void Report(const RequestError& aError) const;

  std::shared_ptr<ServerState> m_server;
  ServerStream m_stream;
  SteadyTime m_acceptedAt;
  bool m_isIdle = false;
  bool m_isFirst = true;
  bool m_isWaitingForFirst = false;
  bool m_isReading = false;
  bool m_isReadCancelled = false;
  RequestId m_request;
  // When the first bytes of the current request were noticed.
  SteadyTime m_begunAt;
  // Cancel source of the request in flight.
  std::optional<CancelSource> m_cancel;
};

// Sends TooManyConnections on a connection over the limit and closes it.
Task<void>
RefuseConnection(std::shared_ptr<ServerState> aState,
                 asio::ip::tcp::socket aSocket);

} // namespace rattanweir
