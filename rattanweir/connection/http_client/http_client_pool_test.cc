#include "rattanweir/base/asio/asio.h"

#include "testing/client_bench/client_bench.h"

#include <catch2/catch.hpp>

#include <boost/asio/detached.hpp>

#include <optional>

namespace rattanweir {
namespace {

TEST_CASE("a connection is reused, but never with bytes of an earlier response")
{
  const struct
  {
    std::string m_what;
    std::string m_first;
    // Written after the first response was read.
    std::string m_late;
    bool m_closes;
    bool m_needsFresh;
    bool m_isReused;
  } cases[] = {
    { "a complete response", kCompleteResponse, "", false, false, true },
    { "a chunked response",
      kChunkedHead + "2\r\nok\r\n0\r\n\r\n",
      "",
      false,
      false,
      true },
    { "a fresh connection is required",
      kCompleteResponse,
      "",
      false,
      true,
      false },
    { "a second response in the same write",
      kCompleteResponse + kCompleteResponse,
      "",
      false,
      false,
      false },
    { "a second response later",
      kCompleteResponse,
      kCompleteResponse,
      false,
      false,
      false },
    { "the server closed the connection",
      kCompleteResponse,
      "",
      true,
      false,
      false },
    { "the server sent Connection: close",
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
      "",
      false,
      false,
      false },
  };
  for (const auto& row : cases) {
    ClientBench bench;
    bench.Run([&]() -> Task<void> {
      std::string first;
      std::string second;
      asio::co_spawn(
        bench.m_context,
        [&]() -> Task<void> {
          const OutboundRequest request = bench.Request();
          first = co_await SendAndReadBody(bench, request);
        },
        asio::detached);
      RawPeer server = co_await bench.m_listener.Accept();
      co_await ReadRequestAndRespond(server, row.m_first);
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
          second = co_await SendAndReadBody(bench, request);
        },
        asio::detached);
      const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
      std::optional<RawPeer> fresh;
      if (!row.m_isReused) {
        fresh.emplace(co_await bench.m_listener.Accept());
      }
      co_await ReadRequestAndRespond(fresh ? *fresh : server, response);
      co_await WaitUntil([&] { return !second.empty(); });
      CAPTURE(row.m_what);
      CHECK(second == "new");
    });
  }
}

TEST_CASE("an abandoned exchange closes its connection")
{
  ClientBench bench;
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
    co_await ReadRequestAndRespond(server, kHeadWithLength2);
    const std::string rest = co_await server.ReadToEnd();
    REQUIRE(rest.empty());
    REQUIRE(bench.m_upstream.IdleConnections() == 0);
  });
}

TEST_CASE("idle connections are bounded in number and in time")
{
  ClientBench bench(50ms);
  bench.Run([&]() -> Task<void> {
    std::vector<RawPeer> servers;
    int completed = 0;
    for (int i = 0; i < 3; ++i) {
      asio::co_spawn(
        bench.m_context,
        [&]() -> Task<void> {
          const OutboundRequest request = bench.Request();
          co_await SendAndReadBody(bench, request);
          ++completed;
        },
        asio::detached);
      servers.push_back(co_await bench.m_listener.Accept());
    }
    for (RawPeer& server : servers) {
      co_await ReadRequestAndRespond(server, kCompleteResponse);
    }
    co_await WaitUntil([&] { return completed == 3; });
    REQUIRE(bench.m_upstream.IdleConnections() <= 2);
    for (RawPeer& server : servers) {
      co_await server.ReadToEnd();
    }
    REQUIRE(bench.m_upstream.IdleConnections() == 0);
  });
}

TEST_CASE("connecting to a server that accepts no connection times out")
{
  ClientBench bench;
  // The listener's backlog is full, so that a further connect gets no reply.
  asio::ip::tcp::acceptor full(bench.m_context);
  full.open(asio::ip::tcp::v4());
  full.bind({ asio::ip::address_v4::loopback(), 0 });
  full.listen(0);
  const Endpoint endpoint{ .m_address = "127.0.0.1",
                           .m_port = full.local_endpoint().port() };
  bench.Run([&]() -> Task<void> {
    const RawPeer first = co_await RawPeer::Connect(bench.m_context, endpoint);
    const OutboundRequest request = bench.Request();
    const auto error = co_await CatchRequestError([&]() -> Task<void> {
      co_await bench.m_upstream.Send(endpoint, request, bench.m_cancel);
    });
    REQUIRE(error);
    REQUIRE(error->Code() == ResultCode::BackendConnectFailed);
    REQUIRE(error->HasRun() == Ran::No);
  });
}

TEST_CASE("a response sent before the request body was read is not lost")
{
  ClientBench bench;
  bench.Run([&]() -> Task<void> {
    unsigned status = 0;
    asio::co_spawn(
      bench.m_context,
      [&]() -> Task<void> {
        std::string body;
        body.resize(30'000'000, 'b');
        const OutboundRequest request = bench.Request(body);
        const auto exchange = co_await bench.Send(request);
        const ResponseHead head = co_await exchange->ReadHead();
        status = head.m_status;
      },
      asio::detached);
    RawPeer server = co_await bench.m_listener.Accept();
    co_await ReadRequestAndRespond(server,
                                   "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n"
                                   "Content-Length: 0\r\n\r\n");
    server.Close();
    co_await WaitUntil([&] { return status == 503; });
  });
}

} // namespace
} // namespace rattanweir
