#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

#include <boost/asio/detached.hpp>

#include <optional>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

const std::string kLength2 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
const std::string kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kWhole = kLength2 + "ok";

// A client and the listener that it talks to.
struct Bench
{
  explicit Bench(std::chrono::nanoseconds aIdleTimeout = 10s)
    : m_listener(m_context)
    , m_upstream({ .m_executor = m_context.get_executor(),
                   .m_connectTimeout = 200ms,
                   .m_headerBytes = ByteCount(1024),
                   .m_idlePerEndpoint = 2,
                   .m_idleTimeout = aIdleTimeout })
  {
  }

  OutboundRequest Request(const std::string& aBody = "") const
  {
    return OutboundRequest{
      .m_method = "POST",
      .m_target = "/t?q=1",
      .m_headers = { { "x-request-id", "r" } },
      .m_body = std::make_shared<const std::string>(aBody),
      .m_deadline = SystemClock().SteadyNow() + m_timeout,
    };
  }

  Task<std::unique_ptr<UpstreamExchange>> Send(OutboundRequest aRequest)
  {
    return m_upstream.Send(
      m_listener.LocalEndpoint(), std::move(aRequest), m_cancel);
  }

  void Run(std::function<Task<void>()> aTask)
  {
    RunTask(m_context, std::move(aTask));
  }

  asio::io_context m_context;
  RawListener m_listener;
  CancelSource m_cancel;
  std::chrono::nanoseconds m_timeout = 10s;
  HttpUpstream m_upstream;
};

// Reads the body of an answer to its end.
Task<std::string>
ReadBody(UpstreamExchange& aExchange)
{
  std::string body;
  for (;;) {
    const std::optional<std::string> chunk = co_await aExchange.ReadChunk();
    if (!chunk) {
      co_return body;
    }
    body += *chunk;
  }
}

// The error that ends a task, or nothing.
Task<std::optional<RequestError>>
ErrorOf(std::function<Task<void>()> aTask)
{
  try {
    co_await aTask();
  } catch (const RequestError& error) {
    co_return error;
  }
  co_return std::nullopt;
}

// One request and its whole answer.
Task<std::string>
Ask(Bench& aBench, OutboundRequest aRequest)
{
  const auto exchange = co_await aBench.Send(aRequest);
  co_await exchange->ReadHead();
  std::string body = co_await ReadBody(*exchange);
  co_return body;
}

// Takes one request of a connection and writes these bytes.
Task<void>
Reply(RawPeer& aPeer, std::string aAnswer)
{
  co_await aPeer.ReadUntil("\r\n\r\n");
  co_await aPeer.Write(aAnswer);
}

TEST_CASE("a request goes out whole and its answer comes back in pieces")
{
  Bench bench;
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
    const AnswerHead answer = co_await exchange->ReadHead();
    REQUIRE(answer.m_status == 201);
    REQUIRE(answer.m_headers.size() == 1);
    REQUIRE(*FindHeader(answer.m_headers, "X-Load") == "3");
    REQUIRE_FALSE(answer.m_contentLength);
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

TEST_CASE("an answer that is not whole ends in its own error")
{
  const struct
  {
    std::string m_what;
    std::string m_answer;
    End m_end;
    ResultCode m_code;
  } cases[] = {
    { "no answer", "", End::Close, ResultCode::BackendReset },
    { "reset", "", End::Reset, ResultCode::BackendReset },
    { "half a head",
      "HTTP/1.1 200 OK\r\nx:",
      End::Close,
      ResultCode::BackendReset },
    { "no HTTP", "hello\r\n\r\n", End::Stay, ResultCode::AnswerIncomplete },
    { "a large header",
      "HTTP/1.1 200 OK\r\nx: " + std::string(2000, 'a') + "\r\n\r\n",
      End::Stay,
      ResultCode::AnswerIncomplete },
    { "no length",
      "HTTP/1.1 200 OK\r\n\r\nbody",
      End::Close,
      ResultCode::AnswerIncomplete },
    { "short of its length",
      kLength2 + "o",
      End::Close,
      ResultCode::AnswerIncomplete },
    { "reset in the body",
      kLength2 + "o",
      End::Reset,
      ResultCode::AnswerIncomplete },
    { "no last chunk",
      kChunked + "2\r\nok\r\n",
      End::Close,
      ResultCode::AnswerIncomplete },
    { "half a chunk",
      kChunked + "5\r\nok",
      End::Close,
      ResultCode::AnswerIncomplete },
    { "a bad chunk",
      kChunked + "2\r\nok\r\nzz\r\n\r\n",
      End::Stay,
      ResultCode::AnswerIncomplete },
    { "silence", kLength2 + "o", End::Stay, ResultCode::DeadlineExceeded },
    { "silence before the head", "", End::Stay, ResultCode::DeadlineExceeded },
  };
  for (const auto& row : cases) {
    Bench bench;
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
          error = co_await ErrorOf([&]() -> Task<void> {
            const auto exchange = co_await bench.Send(request);
            co_await exchange->ReadHead();
            hasHead = true;
            co_await ReadBody(*exchange);
          });
          isDone = true;
        },
        asio::detached);
      RawPeer server = co_await bench.m_listener.Accept();
      co_await Reply(server, row.m_answer);
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
      CHECK(hasHead == (row.m_answer.starts_with(kLength2) ||
                        row.m_answer.starts_with(kChunked)));
      CHECK(bench.m_upstream.IdleConnections() == 0);
    });
  }
}

TEST_CASE("what fails before the first byte says that it has not run")
{
  const struct
  {
    std::string m_what;
    bool m_isListening;
    std::chrono::nanoseconds m_timeout;
    std::optional<ResultCode> m_cancel;
    ResultCode m_code;
  } cases[] = {
    { "refused", false, 10s, {}, ResultCode::BackendConnectFailed },
    { "too late", true, 0s, {}, ResultCode::DeadlineExceeded },
    { "cancelled",
      true,
      10s,
      ResultCode::KeyWithdrawn,
      ResultCode::KeyWithdrawn },
  };
  for (const auto& row : cases) {
    Bench bench;
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
      const auto error = co_await ErrorOf([&]() -> Task<void> {
        co_await bench.m_upstream.Send(endpoint, request, bench.m_cancel);
      });
      CAPTURE(row.m_what);
      REQUIRE(error);
      CHECK(error->Code() == row.m_code);
      CHECK(error->HasRun() == Ran::No);
    });
  }
}

TEST_CASE("a cancel wakes a waiting read and closes the connection")
{
  for (const std::string& sent : { std::string(), kLength2 }) {
    Bench bench;
    bench.Run([&]() -> Task<void> {
      std::optional<RequestError> error;
      asio::co_spawn(
        bench.m_context,
        [&]() -> Task<void> {
          const OutboundRequest request = bench.Request();
          error = co_await ErrorOf(
            [&]() -> Task<void> { co_await Ask(bench, request); });
        },
        asio::detached);
      RawPeer server = co_await bench.m_listener.Accept();
      co_await Reply(server, sent);
      bench.m_cancel.Cancel(ResultCode::CallerGone);
      co_await server.ReadToEnd();
      REQUIRE(error);
      REQUIRE(error->Code() == ResultCode::CallerGone);
      REQUIRE(error->HasRun() == Ran::Maybe);
    });
  }
}

TEST_CASE("a connection is used again, but never with bytes of an old answer")
{
  const struct
  {
    std::string m_what;
    std::string m_first;
    // Written once the first answer was read.
    std::string m_late;
    bool m_closes;
    bool m_needsFresh;
    bool m_isReused;
  } cases[] = {
    { "a whole answer", kWhole, "", false, false, true },
    { "chunks", kChunked + "2\r\nok\r\n0\r\n\r\n", "", false, false, true },
    { "a fresh one is needed", kWhole, "", false, true, false },
    { "a second answer at once", kWhole + kWhole, "", false, false, false },
    { "a second answer later", kWhole, kWhole, false, false, false },
    { "the server closed", kWhole, "", true, false, false },
    { "the server said so",
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
      "",
      false,
      false,
      false },
  };
  for (const auto& row : cases) {
    Bench bench;
    bench.Run([&]() -> Task<void> {
      std::string first;
      std::string second;
      asio::co_spawn(
        bench.m_context,
        [&]() -> Task<void> {
          const OutboundRequest request = bench.Request();
          first = co_await Ask(bench, request);
        },
        asio::detached);
      RawPeer server = co_await bench.m_listener.Accept();
      co_await Reply(server, row.m_first);
      co_await WaitUntil([&] { return first == "ok"; });
      co_await server.Write(row.m_late);
      if (row.m_closes) {
        server.Close();
      }
      asio::co_spawn(
        bench.m_context,
        [&]() -> Task<void> {
          OutboundRequest request = bench.Request();
          request.m_needsFreshConnection = row.m_needsFresh;
          second = co_await Ask(bench, request);
        },
        asio::detached);
      const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
      std::optional<RawPeer> fresh;
      if (!row.m_isReused) {
        fresh.emplace(co_await bench.m_listener.Accept());
      }
      co_await Reply(fresh ? *fresh : server, answer);
      co_await WaitUntil([&] { return !second.empty(); });
      CAPTURE(row.m_what);
      CHECK(second == "new");
    });
  }
}

TEST_CASE("an exchange that is given up closes its connection")
{
  Bench bench;
  bench.Run([&]() -> Task<void> {
    asio::co_spawn(
      bench.m_context,
      [&]() -> Task<void> {
        const OutboundRequest request = bench.Request();
        const auto exchange = co_await bench.Send(request);
        co_await exchange->ReadHead();
      },
      asio::detached);
    RawPeer server = co_await bench.m_listener.Accept();
    co_await Reply(server, kLength2);
    const std::string rest = co_await server.ReadToEnd();
    REQUIRE(rest.empty());
    REQUIRE(bench.m_upstream.IdleConnections() == 0);
  });
}

TEST_CASE("idle connections are bounded in number and in time")
{
  Bench bench(50ms);
  bench.Run([&]() -> Task<void> {
    std::vector<RawPeer> servers;
    int answered = 0;
    for (int i = 0; i < 3; ++i) {
      asio::co_spawn(
        bench.m_context,
        [&]() -> Task<void> {
          const OutboundRequest request = bench.Request();
          co_await Ask(bench, request);
          ++answered;
        },
        asio::detached);
      servers.push_back(co_await bench.m_listener.Accept());
    }
    for (RawPeer& server : servers) {
      co_await Reply(server, kWhole);
    }
    co_await WaitUntil([&] { return answered == 3; });
    REQUIRE(bench.m_upstream.IdleConnections() <= 2);
    for (RawPeer& server : servers) {
      co_await server.ReadToEnd();
    }
    REQUIRE(bench.m_upstream.IdleConnections() == 0);
  });
}

TEST_CASE("a server that takes no connection is given up on in time")
{
  Bench bench;
  // The listener's queue is full, so that a further connect gets no answer.
  asio::ip::tcp::acceptor full(bench.m_context);
  full.open(asio::ip::tcp::v4());
  full.bind({ asio::ip::address_v4::loopback(), 0 });
  full.listen(0);
  const Endpoint endpoint{ .m_address = "127.0.0.1",
                           .m_port = full.local_endpoint().port() };
  bench.Run([&]() -> Task<void> {
    const RawPeer first = co_await RawPeer::Connect(bench.m_context, endpoint);
    const OutboundRequest request = bench.Request();
    const auto error = co_await ErrorOf([&]() -> Task<void> {
      co_await bench.m_upstream.Send(endpoint, request, bench.m_cancel);
    });
    REQUIRE(error);
    REQUIRE(error->Code() == ResultCode::BackendConnectFailed);
    REQUIRE(error->HasRun() == Ran::No);
  });
}

TEST_CASE("an answer given before the whole body was taken is not lost")
{
  Bench bench;
  bench.Run([&]() -> Task<void> {
    unsigned status = 0;
    asio::co_spawn(
      bench.m_context,
      [&]() -> Task<void> {
        std::string body;
        body.resize(30'000'000, 'b');
        const OutboundRequest request = bench.Request(body);
        const auto exchange = co_await bench.Send(request);
        const AnswerHead head = co_await exchange->ReadHead();
        status = head.m_status;
      },
      asio::detached);
    RawPeer server = co_await bench.m_listener.Accept();
    co_await Reply(server,
                   "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n"
                   "Content-Length: 0\r\n\r\n");
    server.Close();
    co_await WaitUntil([&] { return status == 503; });
  });
}

} // namespace
} // namespace rattanweir
