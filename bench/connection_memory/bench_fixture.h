// A backend server, and a gateway that passes requests on to it, each in a
// thread of its own, for measuring the connections between them.
//
//   BenchFixture world;
//   world.m_gateway.Endpoint();

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

// One thread that runs one io_context.
class IoThread
{
public:
  IoThread();
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  asio::io_context& Context() { return m_context; }

  // Runs the function in the thread and waits for it.
  void Call(const std::function<void()>& aFunction);

  // Processor time that the thread has used.
  std::chrono::nanoseconds Used();

private:
  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_guard;
  std::thread m_thread;
};

// Answers `/small` with two bytes, `/stream` with kStreamEvents events, and
// `/hold` with one event and then nothing more until the caller leaves.
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

// Passes each request on and its answer back, with no decision made.
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

// A server in its thread.
class BenchServer
{
public:
  using MakeHandler =
    std::function<std::unique_ptr<RequestHandler>(Executor aExecutor)>;
  explicit BenchServer(const MakeHandler& aMake);
  ~BenchServer();
  BenchServer(const BenchServer&) = delete;
  BenchServer& operator=(const BenchServer&) = delete;

  Endpoint LocalEndpoint() const { return m_endpoint; }
  std::uint32_t Connections();
  std::chrono::nanoseconds Used() { return m_thread.Used(); }

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
