#include "rattanweir/base/asio/asio.h"

#include "bench/connection_memory/bench_fixture.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ctime>
#include <future>
#include <limits>
#include <utility>

namespace rattanweir {
namespace {

constexpr auto kDeadline = std::chrono::minutes(10);
const std::string kEvent =
  "id: 1\ndata: {\"offset\":1,\"token\":\" forest\"}\n\n";

CallerLimits
HighLimits()
{
  return CallerLimits{ .m_connections = 100'000,
                       .m_requests = 100'000,
                       .m_idleTimeout = kDeadline };
}

Task<void>
WaitForCancel(Executor aExecutor, CancelSource& aCancel)
{
  asio::steady_timer timer(aExecutor, asio::steady_timer::time_point::max());
  const auto registration = aCancel.OnCancel([&] { timer.cancel(); });
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

IoThread::IoThread()
  : m_guard(m_context.get_executor())
  , m_thread([this] { m_context.run(); })
{
}

IoThread::~IoThread()
{
  m_guard.reset();
  m_context.stop();
  m_thread.join();
}

void
IoThread::RunAndWait(const std::function<void()>& aFunction)
{
  std::promise<void> done;
  asio::post(m_context, [&] {
    aFunction();
    done.set_value();
  });
  done.get_future().wait();
}

std::chrono::nanoseconds
IoThread::ProcessorTime()
{
  clockid_t clock = 0;
  pthread_getcpuclockid(m_thread.native_handle(), &clock);
  std::timespec used{};
  clock_gettime(clock, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

Task<void>
BackendHandler::Handle(InboundRequest aRequest,
                       ResponseSink& aSink,
                       CancelSource& aCancel)
{
  ResponseHead head{ .m_status = 200 };
  if (aRequest.m_target == "/small") {
    head.m_headers = { { "content-type", "text/plain" } };
    head.m_contentLength = 2;
    co_await aSink.WriteHead(head);
    co_await aSink.WriteChunk("ok");
    co_await aSink.Finish();
    co_return;
  }
  head.m_headers = { { "content-type", "text/event-stream" } };
  co_await aSink.WriteHead(head);
  const bool isHoldRequest = aRequest.m_target == "/hold";
  for (int event = 0; event < (isHoldRequest ? 1 : kStreamEvents); ++event) {
    co_await aSink.WriteChunk(kEvent);
  }
  if (isHoldRequest) {
    co_await WaitForCancel(m_executor, aCancel);
    throw RequestError(ResultCode::CallerGone, "caller disconnected");
  }
  co_await aSink.Finish();
}

Task<void>
PassThroughHandler::Handle(InboundRequest aRequest,
                           ResponseSink& aSink,
                           CancelSource& aCancel)
{
  OutboundRequest request{
    .m_method = std::move(aRequest.m_method),
    .m_target = std::move(aRequest.m_target),
    .m_body = std::make_shared<const std::string>(std::move(aRequest.m_body)),
    .m_deadline = SystemClock().SteadyNow() + kDeadline,
  };
  const auto exchange =
    co_await m_upstream.Send(m_backend, std::move(request), aCancel);
  ResponseHead head = co_await exchange->ReadHead();
  co_await aSink.WriteHead(std::move(head));
  for (;;) {
    std::optional<std::string> chunk = co_await exchange->ReadChunk();
    if (!chunk) {
      break;
    }
    co_await aSink.WriteChunk(std::move(*chunk));
  }
  co_await aSink.Finish();
}

BenchServer::BenchServer(const HandlerFactory& aFactory)
{
  m_thread.RunAndWait([&] {
    const Executor executor = m_thread.Context().get_executor();
    m_handler = aFactory(executor);
    const HttpServerOptions options{
      .m_executor = executor,
      .m_address = { .m_address = "127.0.0.1" },
      .m_handler = *m_handler,
      .m_limits = HighLimits(),
    };
    m_server.emplace(options);
    m_endpoint = m_server->LocalEndpoint();
    m_server->Start();
  });
}

BenchServer::~BenchServer()
{
  std::promise<void> done;
  m_thread.RunAndWait([&] {
    m_server->Abort();
    asio::co_spawn(m_thread.Context(),
                   m_server->WaitUntilDone(),
                   [&](const std::exception_ptr&) { done.set_value(); });
  });
  done.get_future().wait();
}

std::uint32_t
BenchServer::Connections()
{
  std::uint32_t count = 0;
  m_thread.RunAndWait([&] { count = m_server->Connections(); });
  return count;
}

BenchFixture::BenchFixture()
  : m_backend([](Executor aExecutor) {
    return std::make_unique<BackendHandler>(std::move(aExecutor));
  })
  , m_gateway([this](Executor aExecutor) {
    return std::make_unique<PassThroughHandler>(std::move(aExecutor),
                                                m_backend.LocalEndpoint());
  })
{
}

} // namespace rattanweir
