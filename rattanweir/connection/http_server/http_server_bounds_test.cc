#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/timed_socket/timed_socket.h"
#include "testing/server_bench/server_bench.h"

#include <catch2/catch.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace rattanweir {
namespace {

TEST_CASE("each wait for the caller is bounded by a timeout")
{
  const struct
  {
    std::string m_what;
    std::string m_sent;
    std::string m_result;
  } cases[] = {
    { "idle", "", "" },
    { "a slow header", "GET / HT", "103" },
    { "a slow body", Post("Content-Length: 5\r\n", "abc"), "103" },
  };
  for (const auto& row : cases) {
    CallerLimits limits = ServerBench::SmallLimits();
    limits.m_idleTimeout = 20ms;
    limits.m_readTimeout = 20ms;
    ServerBench bench(limits);
    bench.Run([&]() -> Task<void> {
      RawPeer caller = co_await bench.Connect();
      co_await caller.Write(row.m_sent);
      const std::string response = co_await caller.ReadToEnd();
      CAPTURE(row.m_what, response);
      CHECK(ResultCodeIn(response) == row.m_result);
    });
  }
}

TEST_CASE("a caller that does not read its response times out")
{
  CallerLimits limits = ServerBench::SmallLimits();
  limits.m_writeTimeout = 20ms;
  ServerBench bench(limits);
  bench.m_handler.m_scripts["/endless"] = [](const InboundRequest&,
                                             ResponseSink& aSink,
                                             CancelSource&) -> Task<void> {
    co_await aSink.WriteHead(Head("text/plain"));
    for (;;) {
      co_await aSink.WriteChunk(std::string(65'536, 'x'));
    }
  };
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    co_await caller.Write(Get("/endless"));
    co_await WaitUntil([&] { return !bench.m_errors.empty(); });
    REQUIRE(bench.m_errors[0] == ResultCode::CallerTooSlow);
    co_await WaitUntil([&] { return bench.m_server.Connections() == 0; });
  });
}

TEST_CASE("a caller that disconnects cancels its request")
{
  const struct
  {
    std::string m_what;
    std::string m_pipelined;
    bool m_resets;
  } cases[] = { { "close", "", false },
                { "reset", "", true },
                { "close after pipelined bytes", Get("/next"), false } };
  for (const auto& row : cases) {
    ServerBench bench;
    std::optional<ResultCode> reason;
    bench.m_handler.m_scripts["/wait"] =
      [&](const InboundRequest&,
          ResponseSink& aSink,
          CancelSource& aCancel) -> Task<void> {
      co_await aSink.WriteHead(Head("text/plain"));
      co_await WaitUntil([&] { return aCancel.Reason().has_value(); });
      reason = aCancel.Reason();
      throw RequestError(*reason, "cancelled");
    };
    bench.Run([&]() -> Task<void> {
      RawPeer caller = co_await bench.Connect();
      co_await caller.Write(Get("/wait"));
      co_await caller.ReadUntil("\r\n\r\n");
      co_await caller.Write(row.m_pipelined);
      row.m_resets ? caller.Reset() : caller.Close();
      co_await WaitUntil([&] { return bench.m_server.Connections() == 0; });
      CAPTURE(row.m_what);
      CHECK(reason == ResultCode::CallerGone);
      CHECK(bench.m_handler.m_receivedRequests.size() == 1);
    });
  }
}

// Handler whose response ends once `m_mayEnd` is set.
struct BlockingHandler
{
  ScriptedHandler::Script Script()
  {
    return [this](const InboundRequest&,
                  ResponseSink& aSink,
                  CancelSource&) -> Task<void> {
      co_await aSink.WriteHead(Head("text/plain"));
      co_await WaitUntil([this] { return m_mayEnd; });
      co_await aSink.WriteChunk("end");
      co_await aSink.Finish();
    };
  }
  bool m_mayEnd = false;
};

TEST_CASE(
  "requests over the connection, request or body limits are refused at once")
{
  ServerBench bench(ServerBench::SmallLimits(), ByteCount(100));
  BlockingHandler blockingHandler;
  bench.m_handler.m_scripts["/gate"] = blockingHandler.Script();
  bench.Run([&]() -> Task<void> {
    RawPeer first = co_await bench.Connect();
    RawPeer second = co_await bench.Connect();
    RawPeer third = co_await bench.Connect();
    co_await first.Write(Get("/gate"));
    co_await first.ReadUntil("\r\n\r\n");
    co_await second.Write(Post("Content-Length: 60\r\n", "incomplete"));
    co_await WaitUntil([&] { return bench.m_server.Connections() == 3; });

    RawPeer over = co_await bench.Connect();
    const std::string refused = co_await over.ReadToEnd();
    REQUIRE(ResultCodeIn(refused) == "201");
    REQUIRE_FALSE(over.WasReset());

    co_await third.Write(Post("Content-Length: 60\r\n", ""));
    const std::string bodyRefused = co_await third.ReadToEnd();
    REQUIRE(ResultCodeIn(bodyRefused) == "202");
    second.Close();
    third.Close();
    co_await WaitUntil([&] { return bench.m_server.Connections() == 1; });

    RawPeer fourth = co_await bench.Connect();
    RawPeer fifth = co_await bench.Connect();
    co_await fourth.Write(Get("/gate"));
    co_await fourth.ReadUntil("\r\n\r\n");
    co_await fifth.Write(Get("/gate"));
    const std::string busy = co_await fifth.ReadUntil("}\n");
    REQUIRE(ResultCodeIn(busy) == "202");
    blockingHandler.m_mayEnd = true;
    co_await fourth.ReadUntil("end");
    // The connection of a refused request stays open. Its next request is
    // served once a running request has ended.
    co_await fifth.Write(Get("/gate"));
    const std::string response = co_await fifth.ReadUntil("end");
    REQUIRE(response.starts_with("HTTP/1.1 200"));
  });
}

TEST_CASE(
  "draining closes idle connections, finishes requests and accepts none")
{
  ServerBench bench;
  BlockingHandler blockingHandler;
  bench.m_handler.m_scripts["/gate"] = blockingHandler.Script();
  bench.Run([&]() -> Task<void> {
    RawPeer running = co_await bench.Connect();
    co_await running.Write(Get("/gate"));
    co_await running.ReadUntil("\r\n\r\n");
    RawPeer idle = co_await bench.Connect();
    co_await idle.Write(Get("/"));
    co_await idle.ReadUntil("GET ");
    // This connection has sent its request but is still in the listener's
    // backlog: no other task runs between its connect and the drain.
    asio::ip::tcp::socket socket(bench.m_context);
    const Endpoint endpoint = bench.m_server.LocalEndpoint();
    socket.connect(
      { asio::ip::make_address(endpoint.m_address), endpoint.m_port });
    const std::string request = Get("/");
    socket.write_some(asio::buffer(request));
    bench.m_server.Drain();
    RawPeer waiting(std::move(socket));
    const std::string rest = co_await idle.ReadToEnd();
    REQUIRE(rest.empty());
    const std::string served = co_await waiting.ReadToEnd();
    REQUIRE(served.starts_with("HTTP/1.1 200"));
    REQUIRE(served.find("Connection: close") != std::string::npos);
    bool isRefused = false;
    try {
      co_await bench.Connect();
    } catch (const boost::system::system_error&) {
      isRefused = true;
    }
    REQUIRE(isRefused);

    REQUIRE(bench.m_server.RequestsInFlight() == 1);
    blockingHandler.m_mayEnd = true;
    const std::string completeResponse = co_await running.ReadToEnd();
    REQUIRE(completeResponse.ends_with("0\r\n\r\n"));
    running.Close();
    idle.Close();
    waiting.Close();
    co_await bench.m_server.WaitUntilDone();
    REQUIRE(bench.m_server.Connections() == 0);
  });
}

TEST_CASE("Abort cancels running requests and sends their callers an error")
{
  ServerBench bench;
  bench.m_handler.m_scripts["/wait"] = [](const InboundRequest&,
                                          ResponseSink&,
                                          CancelSource& aCancel) -> Task<void> {
    co_await WaitUntil([&] { return aCancel.Reason().has_value(); });
    throw RequestError(*aCancel.Reason(), "cancelled", Ran::Maybe);
  };
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    co_await caller.Write(Get("/wait"));
    co_await WaitUntil([&] { return bench.m_server.RequestsInFlight() == 1; });
    bench.m_server.Abort();
    const std::string response = co_await caller.ReadToEnd();
    REQUIRE(ResultCodeIn(response) == "204");
    REQUIRE(response.find("rattanweir-ran: maybe") != std::string::npos);
    caller.Close();
    co_await bench.m_server.WaitUntilDone();
  });
}

// Guards against an instance that ends before it has served a connection that
// was opened as it stopped to listen.
TEST_CASE("a drain waits for connections that were not accepted yet")
{
  ServerBench bench;
  bench.Run([&]() -> Task<void> {
    asio::ip::tcp::socket socket(bench.m_context);
    socket.connect(ToAsioEndpoint(bench.m_server.LocalEndpoint()));
    asio::write(socket, asio::buffer(Get("/")));
    bench.m_server.Drain();
    CHECK(bench.m_server.Connections() == 1);
    RawPeer caller(std::move(socket));
    const std::string response = co_await caller.ReadToEnd();
    CHECK(response.starts_with("HTTP/1.1 200"));
    caller.Close();
    co_await bench.m_server.WaitUntilDone();
  });
}

// Guards against connections that are closed while their first request is on
// its way.
TEST_CASE("a drain waits for the first request on a new connection")
{
  ServerBench bench;
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    RawPeer unused = co_await bench.Connect();
    co_await WaitUntil([&] { return bench.m_server.Connections() == 2; });
    bench.m_server.Drain();
    // The connections that are closed by the drain are closed by now.
    asio::steady_timer pause(bench.m_context, std::chrono::milliseconds(50));
    co_await pause.async_wait(asio::use_awaitable);
    co_await caller.Write(Get("/"));
    const std::string response = co_await caller.ReadToEnd();
    CHECK(response.starts_with("HTTP/1.1 200"));
    caller.Close();
    // Without a request, the connection is closed all the same.
    const std::string nothing = co_await unused.ReadToEnd();
    CHECK(nothing.empty());
    unused.Close();
    co_await bench.m_server.WaitUntilDone();
  });
}

// Guards against requests that end without an answer when an instance stops.
TEST_CASE("CancelRequests answers what has no response yet")
{
  ServerBench bench;
  bench.m_handler.m_scripts["/wait"] = [](const InboundRequest&,
                                          ResponseSink&,
                                          CancelSource& aCancel) -> Task<void> {
    co_await WaitUntil([&] { return aCancel.Reason().has_value(); });
    throw RequestError(*aCancel.Reason(), "cancelled", Ran::Maybe);
  };
  bench.m_handler.m_scripts["/begun"] =
    [](const InboundRequest&,
       ResponseSink& aSink,
       CancelSource& aCancel) -> Task<void> {
    ResponseHead head{ .m_status = 200 };
    co_await aSink.WriteHead(std::move(head));
    co_await aSink.WriteChunk("piece");
    co_await WaitUntil([&] { return aCancel.Reason().has_value(); });
    throw RequestError(*aCancel.Reason(), "cancelled", Ran::Maybe);
  };
  bench.Run([&]() -> Task<void> {
    RawPeer waiting = co_await bench.Connect();
    co_await waiting.Write(Get("/wait"));
    RawPeer begun = co_await bench.Connect();
    co_await begun.Write(Get("/begun"));
    co_await begun.ReadUntil("piece\r\n");
    co_await WaitUntil([&] { return bench.m_server.RequestsInFlight() == 2; });
    bench.m_server.Drain();
    CHECK(bench.m_server.UnansweredRequests() == 2);
    bench.m_server.CancelRequests();
    const std::string response = co_await waiting.ReadToEnd();
    CHECK(ResultCodeIn(response) == "204");
    CHECK(response.find("rattanweir-ran: maybe") != std::string::npos);
    const std::string rest = co_await begun.ReadToEnd();
    CHECK(rest.find("0\r\n\r\n") == std::string::npos);
    CHECK(bench.m_server.UnansweredRequests() == 0);
    waiting.Close();
    begun.Close();
    co_await bench.m_server.WaitUntilDone();
  });
}

// Guards against peers that take a request for one that may have run.
TEST_CASE("CancelRequests refuses what is still being read as not run")
{
  const std::string starts[] = { "GET / HT",
                                 Post("Content-Length: 60\r\n", "incomplete"),
                                 Post("Transfer-Encoding: chunked\r\n", "5") };
  for (const std::string& start : starts) {
    CAPTURE(start);
    ServerBench bench;
    bench.Run([&]() -> Task<void> {
      RawPeer caller = co_await bench.Connect();
      co_await caller.Write(start);
      co_await WaitUntil(
        [&] { return bench.m_server.UnansweredRequests() == 1; });
      bench.m_server.Drain();
      bench.m_server.CancelRequests();
      const std::string response = co_await caller.ReadToEnd();
      CHECK(ResultCodeIn(response) == "204");
      CHECK(response.find("rattanweir-ran: no") != std::string::npos);
      CHECK(bench.m_server.UnansweredRequests() == 0);
      CHECK(bench.m_handler.m_receivedRequests.empty());
      caller.Close();
      co_await bench.m_server.WaitUntilDone();
    });
  }
}

TEST_CASE("a request counts from its arrival, not from when it is read")
{
  ServerBench bench;
  asio::io_context context;
  asio::ip::tcp::socket caller(context);
  const Endpoint endpoint = bench.m_server.LocalEndpoint();
  caller.connect(
    { asio::ip::make_address(endpoint.m_address), endpoint.m_port });
  const SteadyTime sentAt = SystemClock().SteadyNow();
  asio::write(caller, asio::buffer(Get("/")));
  while (SystemClock().SteadyNow() < sentAt + 60ms) {
    // The server's thread is busy.
  }
  bench.Run([&]() -> Task<void> {
    co_await WaitUntil(
      [&] { return !bench.m_handler.m_receivedRequests.empty(); });
  });
  const InboundRequest& request = bench.m_handler.m_receivedRequests.front();
  CHECK(request.m_receivedAt < sentAt + 30ms);
  CHECK(request.m_unreadFor > 30ms);
}

} // namespace
} // namespace rattanweir
