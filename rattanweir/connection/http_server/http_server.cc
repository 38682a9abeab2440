#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_server/http_server.h"
#include "rattanweir/connection/http_server/internal/server_connection.h"
#include "rattanweir/connection/http_server/internal/server_state.h"

#include <boost/asio/redirect_error.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace rattanweir {
namespace {

using asio::ip::tcp;
using State = std::shared_ptr<ServerState>;

// Connections over the limit that are sent a refusal at the same time; further
// ones are closed without a response.
constexpr std::uint32_t kMaxConcurrentRefusals = 256;
// Delay after a failed accept, for example when file descriptors run out.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

Task<void>
Serve(std::unique_ptr<ServerConnection> aConnection)
{
  const std::unique_ptr<ServerConnection> connection = std::move(aConnection);
  co_await connection->Run();
}

Task<void>
Refuse(State aState, tcp::socket aSocket)
{
  co_await RefuseConnection(aState, std::move(aSocket));
  aState->m_changed.cancel();
}

void
ServeOrRefuse(const State& aState, tcp::socket aSocket)
{
  const Executor executor = aState->m_options.m_executor;
  if (aState->m_connections.size() < aState->m_options.m_limits.m_connections) {
    // Counted at once, so that a drain waits for it.
    auto connection =
      std::make_unique<ServerConnection>(aState, std::move(aSocket));
    co_spawn(executor, Serve(std::move(connection)), asio::detached);
  } else if (aState->m_refusalsInProgress < kMaxConcurrentRefusals) {
    co_spawn(executor, Refuse(aState, std::move(aSocket)), asio::detached);
  }
}

Task<void>
Accept(State aState)
{
  while (aState->m_acceptor.is_open()) {
    ErrorCode error;
    tcp::socket socket = co_await aState->m_acceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      ServeOrRefuse(aState, std::move(socket));
      continue;
    }
    if (aState->m_acceptor.is_open()) {
      asio::steady_timer pause(aState->m_options.m_executor, kAcceptPause);
      co_await pause.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    }
  }
  aState->m_isAccepting = false;
  aState->m_changed.cancel();
}

// Serves the connections in the listener's backlog, which closing the acceptor
// would reset.
void
ServePendingConnections(const State& aState)
{
  ErrorCode error;
  aState->m_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(aState->m_options.m_executor);
    aState->m_acceptor.accept(socket, error);
    if (!error) {
      ServeOrRefuse(aState, std::move(socket));
    }
  }
}

// Calls the function with each open connection, which it may close.
void
ForEachConnection(const ServerState& aState,
                  const std::function<void(ServerConnection&)>& aFunction)
{
  const std::vector<ServerConnection*> connections(aState.m_connections.begin(),
                                                   aState.m_connections.end());
  for (ServerConnection* connection : connections) {
    if (aState.m_connections.contains(connection)) {
      aFunction(*connection);
    }
  }
}

} // namespace

HttpServer::HttpServer(const HttpServerOptions& aOptions)
  : m_state(std::make_shared<ServerState>(aOptions))
{
  const tcp::endpoint endpoint = ToAsioEndpoint(aOptions.m_address);
  tcp::acceptor& acceptor = m_state->m_acceptor;
  acceptor.open(endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen();
  m_state->m_localEndpoint = FromAsioEndpoint(acceptor.local_endpoint());
}

HttpServer::~HttpServer()
{
  Abort();
}

Endpoint
HttpServer::LocalEndpoint() const
{
  return m_state->m_localEndpoint;
}

void
HttpServer::Start()
{
  m_state->m_isAccepting = true;
  co_spawn(m_state->m_options.m_executor, Accept(m_state), asio::detached);
}

void
HttpServer::SetLimits(const CallerLimits& aLimits)
{
  m_state->m_options.m_limits = aLimits;
}

void
HttpServer::CloseAfterResponses()
{
  m_state->m_closesAfterResponses = true;
}

void
HttpServer::Drain()
{
  if (std::exchange(m_state->m_isDraining, true)) {
    return;
  }
  for (ServerConnection* connection : m_state->m_connections) {
    connection->CloseIfIdle();
  }
  ServePendingConnections(m_state);
  ErrorCode ignored;
  m_state->m_acceptor.close(ignored);
  m_state->m_changed.cancel();
}

void
HttpServer::HandOverResponses()
{
  m_state->m_handsOverResponses = true;
  ForEachConnection(*m_state,
                    [](ServerConnection& aOpen) { aOpen.HandOverResponse(); });
}

void
HttpServer::CancelRequests()
{
  ForEachConnection(*m_state,
                    [](ServerConnection& aOpen) { aOpen.CancelRequest(); });
}

void
HttpServer::Abort()
{
  Drain();
  ForEachConnection(*m_state, [](ServerConnection& aOpen) { aOpen.Abort(); });
}

Task<void>
HttpServer::WaitUntilDone()
{
  const State state = m_state;
  while (!state->IsDone()) {
    ErrorCode ignored;
    co_await state->m_changed.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

bool
HttpServer::IsDone() const
{
  return m_state->IsDone();
}

std::uint32_t
HttpServer::Connections() const
{
  return static_cast<std::uint32_t>(m_state->m_connections.size());
}

std::uint32_t
HttpServer::RequestsInFlight() const
{
  return m_state->m_requests;
}

std::uint32_t
HttpServer::UnansweredRequests() const
{
  return m_state->m_unanswered;
}

} // namespace rattanweir
