// A backend server and a gateway that forwards requests to it, each on its own
// thread, for measuring the cost of connections.
//
//   BenchFixture fixture;
//   fixture.m_gateway.LocalEndpoint();

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/http_server/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace rattanweir {

// Owns an io_context and the thread that runs it.
class IoThread
{
public:
  IoThread();
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  asio::io_context& Context() { return m_context; }

  // Runs the function on the thread and blocks until the function returns.
  void RunAndWait(const std::function<void()>& aFunction);

  // Returns the processor time that the thread has used.
  std::chrono::nanoseconds ProcessorTime();

private:
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_guard;
  std::thread m_thread;
};

// Responds to `/small` with two bytes, to `/stream` with kStreamEvents events,
// and to `/hold` with one event, after which the response stays open until the
// caller disconnects.
class BackendHandler final : public RequestHandler
{
public:
  explicit BackendHandler(Executor aExecutor)
    : m_executor(std::move(aExecutor))
  {
  }
  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

private:
  Executor m_executor;
};

inline constexpr int kStreamEvents = 64;

// Forwards each request to the backend server and its response to the caller,
// without any routing decision.
class PassThroughHandler final : public RequestHandler
{
public:
  PassThroughHandler(Executor aExecutor, Endpoint aBackend)
    : m_upstream({ .m_executor = std::move(aExecutor),
                   .m_maxIdlePerEndpoint = kIdleConnections })
    , m_backend(std::move(aBackend))
  {
  }
  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

private:
  static constexpr std::size_t kIdleConnections = 64;

  HttpUpstream m_upstream;
  Endpoint m_backend;
};

// An HTTP server that runs on its own thread.
class BenchServer
{
public:
  using HandlerFactory =
    std::function<std::unique_ptr<RequestHandler>(Executor aExecutor)>;
  explicit BenchServer(const HandlerFactory& aFactory);
  ~BenchServer();
  BenchServer(const BenchServer&) = delete;
  BenchServer& operator=(const BenchServer&) = delete;

  Endpoint LocalEndpoint() const { return m_endpoint; }
  std::uint32_t Connections();
  std::chrono::nanoseconds ProcessorTime() { return m_thread.ProcessorTime(); }

private:
  IoThread m_thread;
  std::unique_ptr<RequestHandler> m_handler;
  std::optional<HttpServer> m_server;
  Endpoint m_endpoint;
};

struct BenchFixture
{
  BenchFixture();

  BenchServer m_backend;
  BenchServer m_gateway;
};

} // namespace rattanweir
