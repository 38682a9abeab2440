#include "rattanweir/base/asio/asio.h"

#include "testing/client_bench/client_bench.h"

#include <catch2/catch.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace rattanweir {
namespace {

TEST_CASE("a request is sent completely and its response is read in chunks")
{
  ClientBench bench;
  bench.Run([&]() -> Task<void> {
    const std::string body(300'000, 'b');
    std::unique_ptr<UpstreamExchange> exchange;
    asio::co_spawn(
      bench.m_context,
      [&]() -> Task<void> {
        exchange = co_await bench.Send(bench.Request(body));
      },
      asio::detached);
    RawPeer server = co_await bench.m_listener.Accept();
    const std::string head = co_await server.ReadUntil("\r\n\r\n");
    const std::string host = bench.m_listener.LocalEndpoint().ToString();
    REQUIRE(head == "POST /t?q=1 HTTP/1.1\r\nHost: " + host +
                      "\r\nx-request-id: r\r\nContent-Length: 300000\r\n\r\n");
    const std::string received = co_await server.ReadUntil(body);
    REQUIRE(received == body);
    co_await WaitUntil([&] { return exchange != nullptr; });

    co_await server.Write("HTTP/1.1 100 Continue\r\n\r\n"
                          "HTTP/1.1 201 Created\r\nx-load: 3\r\n"
                          "Connection: x-hop\r\nx-hop: 1\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n");
    const ResponseHead response = co_await exchange->ReadHead();
    REQUIRE(response.m_status == 201);
    REQUIRE(response.m_headers.size() == 1);
    REQUIRE(*FindHeader(response.m_headers, "X-Load") == "3");
    REQUIRE_FALSE(response.m_contentLength);
    for (const std::string& text : { std::string("a"), std::string("bc") }) {
      co_await server.Write(std::to_string(text.size()) + "\r\n" + text +
                            "\r\n");
      const auto chunk = co_await exchange->ReadChunk();
      REQUIRE(chunk == text);
    }
    const std::string large(200'000, 'x');
    co_await server.Write("30D40\r\n" + large + "\r\n0\r\n\r\n");
    const std::string rest = co_await ReadBody(*exchange);
    REQUIRE(rest == large);
    const auto after = co_await exchange->ReadChunk();
    REQUIRE_FALSE(after);
  });
}

enum class End
{
  Close,
  Reset,
  Stay,
};

TEST_CASE("an incomplete response fails with a specific error")
{
  const struct
  {
    std::string m_what;
    std::string m_response;
    End m_end;
    ResultCode m_code;
  } cases[] = {
    { "no response", "", End::Close, ResultCode::BackendReset },
    { "reset", "", End::Reset, ResultCode::BackendReset },
    { "a truncated head",
      "HTTP/1.1 200 OK\r\nx:",
      End::Close,
      ResultCode::BackendReset },
    { "not HTTP", "hello\r\n\r\n", End::Stay, ResultCode::AnswerIncomplete },
    { "a large header",
      "HTTP/1.1 200 OK\r\nx: " + std::string(2000, 'a') + "\r\n\r\n",
      End::Stay,
      ResultCode::AnswerIncomplete },
    { "no length",
      "HTTP/1.1 200 OK\r\n\r\nbody",
      End::Close,
      ResultCode::AnswerIncomplete },
    { "shorter than Content-Length",
      kHeadWithLength2 + "o",
      End::Close,
      ResultCode::AnswerIncomplete },
    { "reset in the body",
      kHeadWithLength2 + "o",
      End::Reset,
      ResultCode::AnswerIncomplete },
    { "no last chunk",
      kChunkedHead + "2\r\nok\r\n",
      End::Close,
      ResultCode::AnswerIncomplete },
    { "a truncated chunk",
      kChunkedHead + "5\r\nok",
      End::Close,
      ResultCode::AnswerIncomplete },
    { "a bad chunk",
      kChunkedHead + "2\r\nok\r\nzz\r\n\r\n",
      End::Stay,
      ResultCode::AnswerIncomplete },
    { "stalled in the body",
      kHeadWithLength2 + "o",
      End::Stay,
      ResultCode::DeadlineExceeded },
    { "stalled before the head", "", End::Stay, ResultCode::DeadlineExceeded },
  };
  for (const auto& row : cases) {
    ClientBench bench;
    if (row.m_code == ResultCode::DeadlineExceeded) {
      bench.m_timeout = 50ms;
    }
    bench.Run([&]() -> Task<void> {
      std::optional<RequestError> error;
      bool hasHead = false;
      bool isDone = false;
      asio::co_spawn(
        bench.m_context,
        [&]() -> Task<void> {
          const OutboundRequest request = bench.Request();
          error = co_await CatchRequestError([&]() -> Task<void> {
            const auto exchange = co_await bench.Send(request);
            co_await exchange->ReadHead();
            hasHead = true;
            co_await ReadBody(*exchange);
          });
          isDone = true;
        },
        asio::detached);
      RawPeer server = co_await bench.m_listener.Accept();
      co_await ReadRequestAndRespond(server, row.m_response);
      if (row.m_end == End::Close) {
        server.Close();
      } else if (row.m_end == End::Reset) {
        server.Reset();
      }
      co_await WaitUntil([&] { return isDone; });
      CAPTURE(row.m_what, error ? error->what() : "");
      REQUIRE(error);
      CHECK(error->Code() == row.m_code);
      CHECK(error->HasRun() == Ran::Maybe);
      CHECK(hasHead == (row.m_response.starts_with(kHeadWithLength2) ||
                        row.m_response.starts_with(kChunkedHead)));
      CHECK(bench.m_upstream.IdleConnections() == 0);
    });
  }
}

TEST_CASE("a failure before the first byte is sent has Ran::No")
{
  const struct
  {
    std::string m_what;
    bool m_isListening;
    std::chrono::nanoseconds m_timeout;
    std::optional<ResultCode> m_cancel;
    ResultCode m_code;
  } cases[] = {
    { "connection refused", false, 10s, {}, ResultCode::BackendConnectFailed },
    { "deadline passed", true, 0s, {}, ResultCode::DeadlineExceeded },
    { "cancelled",
      true,
      10s,
      ResultCode::KeyWithdrawn,
      ResultCode::KeyWithdrawn },
  };
  for (const auto& row : cases) {
    ClientBench bench;
    bench.m_timeout = row.m_timeout;
    const Endpoint endpoint = bench.m_listener.LocalEndpoint();
    if (!row.m_isListening) {
      bench.m_listener.Close();
    }
    if (row.m_cancel) {
      bench.m_cancel.Cancel(*row.m_cancel);
    }
    bench.Run([&]() -> Task<void> {
      const OutboundRequest request = bench.Request();
      const auto error = co_await CatchRequestError([&]() -> Task<void> {
        co_await bench.m_upstream.Send(endpoint, request, bench.m_cancel);
      });
      CAPTURE(row.m_what);
      REQUIRE(error);
      CHECK(error->Code() == row.m_code);
      CHECK(error->HasRun() == Ran::No);
    });
  }
}

// Guards against responses that are cut because their server reads the request
// late.
TEST_CASE("a server may respond for as long as it leaves the body unread")
{
  constexpr auto kUnacknowledged = 300ms;
  ClientBench bench;
  HttpUpstream upstream(
    { .m_executor = bench.m_context.get_executor(),
      .m_tcpLiveness = { .m_unacknowledgedTimeout = kUnacknowledged } });
  bench.Run([&]() -> Task<void> {
    std::optional<std::string> response;
    std::optional<RequestError> error;
    const auto exchangeOnce = [&]() -> Task<void> {
      OutboundRequest request = bench.Request(std::string(2'000'000, 'b'));
      const auto exchange = co_await upstream.Send(
        bench.m_listener.LocalEndpoint(), std::move(request), bench.m_cancel);
      co_await exchange->ReadHead();
      response = co_await ReadBody(*exchange);
    };
    asio::co_spawn(
      bench.m_context,
      [&]() -> Task<void> { error = co_await CatchRequestError(exchangeOnce); },
      asio::detached);
    RawPeer server = co_await bench.m_listener.Accept();
    co_await ReadRequestAndRespond(server, kHeadWithLength2 + "o");
    asio::steady_timer timer(bench.m_context, 4 * kUnacknowledged);
    co_await timer.async_wait(asio::use_awaitable);
    CHECK_FALSE(error);
    if (!error) {
      co_await server.Write("k");
      co_await WaitUntil([&] { return response || error; });
    }
    CHECK(response == "ok");
  });
}

TEST_CASE("cancelling ends a pending read and closes the connection")
{
  struct Row
  {
    std::string m_sent;
    ResultCode m_reason;
  };
  const Row rows[] = {
    { "", ResultCode::CallerGone },
    { kHeadWithLength2, ResultCode::CallerGone },
    // Guards against a stopping instance that says of a request that it sent
    // that the request did not run.
    { "", ResultCode::InstanceDraining },
    { kHeadWithLength2, ResultCode::InstanceDraining },
  };
  for (const Row& row : rows) {
    ClientBench bench;
    bench.Run([&]() -> Task<void> {
      std::optional<RequestError> error;
      asio::co_spawn(
        bench.m_context,
        [&]() -> Task<void> {
          const OutboundRequest request = bench.Request();
          error = co_await CatchRequestError(
            [&]() -> Task<void> { co_await SendAndReadBody(bench, request); });
        },
        asio::detached);
      RawPeer server = co_await bench.m_listener.Accept();
      co_await ReadRequestAndRespond(server, row.m_sent);
      bench.m_cancel.Cancel(row.m_reason);
      co_await server.ReadToEnd();
      REQUIRE(error);
      REQUIRE(error->Code() == row.m_reason);
      REQUIRE(error->HasRun() == Ran::Maybe);
    });
  }
}

TEST_CASE("nothing is written if the cause of a cancellation is there but was "
          "not reported yet")
{
  ClientBench bench;
  bench.m_cancel.SetCheck(
    [&] { bench.m_cancel.Cancel(ResultCode::CallerGone); });
  bench.Run([&]() -> Task<void> {
    const auto error = co_await CatchRequestError(
      [&]() -> Task<void> { co_await bench.Send(bench.Request("body")); });
    RawPeer server = co_await bench.m_listener.Accept();
    const std::string received = co_await server.ReadToEnd();
    REQUIRE(error);
    CHECK(error->Code() == ResultCode::CallerGone);
    CHECK(error->HasRun() == Ran::No);
    CHECK(received.empty());
  });
}

} // namespace
} // namespace rattanweir
