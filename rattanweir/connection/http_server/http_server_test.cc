#include "rattanweir/base/asio/asio.h"

#include "testing/server_bench/server_bench.h"

#include <catch2/catch.hpp>

#include <utility>

namespace rattanweir {
namespace {

TEST_CASE("an unreadable request is refused and its connection closed")
{
  const std::string large(300, 'b');
  const std::string chunk = "96\r\n" + std::string(150, 'c') + "\r\n";
  const struct
  {
    std::string m_what;
    std::string m_request;
    std::string m_status;
    std::string m_result;
  } cases[] = {
    { "not HTTP", "hello there\r\n\r\n", "400", "100" },
    { "a bad field", Get("/", "no colon\r\n"), "400", "100" },
    { "HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", "400", "100" },
    { "an absolute target", Get("http://h/"), "400", "100" },
    { "an unsupported expectation", Get("/", "Expect: tea\r\n"), "400", "100" },
    { "two Content-Length fields",
      Post("Content-Length: 1\r\nContent-Length: 2\r\n", "x"),
      "400",
      "100" },
    { "Content-Length and chunked encoding",
      Post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
      "400",
      "100" },
    { "a bad chunk",
      Post("Transfer-Encoding: chunked\r\n", "zz\r\n\r\n"),
      "400",
      "100" },
    { "a large header",
      Get("/", "x: " + std::string(600, 'a') + "\r\n"),
      "431",
      "101" },
    { "a large target", Get("/" + std::string(600, 'a')), "431", "101" },
    { "a large body", Post("Content-Length: 300\r\n", large), "413", "102" },
    { "a body that is never sent",
      Post("Content-Length: 99999999999999\r\n", ""),
      "413",
      "102" },
    { "large chunks",
      Post("Transfer-Encoding: chunked\r\n", chunk + chunk + "0\r\n\r\n"),
      "413",
      "102" },
  };
  for (const auto& row : cases) {
    ServerBench bench;
    bench.Run([&]() -> Task<void> {
      RawPeer caller = co_await bench.Connect();
      co_await caller.Write(row.m_request);
      const std::string response = co_await caller.ReadToEnd();
      CAPTURE(row.m_what, response);
      CHECK(response.starts_with("HTTP/1.1 " + row.m_status + " "));
      CHECK(ResultCodeIn(response) == row.m_result);
      CHECK(response.find("rattanweir-ran: no") != std::string::npos);
      CHECK(response.find("rattanweir-request: ") != std::string::npos);
      CHECK_FALSE(caller.WasReset());
      CHECK(bench.m_handler.m_receivedRequests.empty());
      CHECK(bench.m_errors.size() == 1);
    });
  }
}

TEST_CASE("a refusal reaches a caller that still sends a large body")
{
  ServerBench bench;
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    const std::string body(4'000'000, 'b');
    const std::string request = Post("Content-Length: 4000000\r\n", body);
    co_await caller.Write(request);
    const std::string response = co_await caller.ReadToEnd();
    REQUIRE(ResultCodeIn(response) == "102");
    REQUIRE_FALSE(caller.WasReset());
  });
}

TEST_CASE("responses on one connection are sent in request order")
{
  const std::string requests =
    Post("Content-Length: 3\r\n", "one") +
    Post("Transfer-Encoding: chunked\r\n", "2\r\ntw\r\n1\r\no\r\n0\r\n\r\n") +
    "HEAD / HTTP/1.1\r\n\r\n" + Get("/", "Connection: close\r\n");
  // Pipelined bytes must not be lost when all requests arrive in one write, and
  // a partial request must not be treated as complete when they arrive byte by
  // byte.
  for (const std::size_t size : { requests.size(), std::size_t(1) }) {
    ServerBench bench;
    bench.Run([&]() -> Task<void> {
      RawPeer caller = co_await bench.Connect();
      for (std::size_t at = 0; at < requests.size(); at += size) {
        co_await caller.Write(requests.substr(at, size));
      }
      const std::string first = co_await caller.ReadUntil("POST one");
      CHECK(first.find("x-hop") == std::string::npos);
      co_await caller.ReadUntil("POST two");
      const std::string head = co_await caller.ReadUntil("\r\n\r\n");
      CHECK(head.find("Content-Length: 5") != std::string::npos);
      const std::string last = co_await caller.ReadToEnd();
      CHECK(last.starts_with("HTTP/1.1 200 OK\r\n"));
      CHECK(last.find("Connection: close") != std::string::npos);
      CHECK(last.ends_with("\r\n\r\nGET "));
      CHECK(bench.m_errors.empty());
    });
  }
}

TEST_CASE("a request with Expect: 100-continue gets 100 Continue")
{
  ServerBench bench;
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    co_await caller.Write(
      Post("Content-Length: 2\r\nExpect: 100-continue\r\n", ""));
    const std::string interim = co_await caller.ReadUntil("\r\n\r\n");
    REQUIRE(interim == "HTTP/1.1 100 Continue\r\n\r\n");
    co_await caller.Write("ok");
    const std::string response = co_await caller.ReadUntil("POST ok");
    REQUIRE(response.starts_with("HTTP/1.1 200"));
  });
}

TEST_CASE("a stream is sent to the caller chunk by chunk")
{
  ServerBench bench;
  std::size_t received = 0;
  const std::vector<std::string> texts = { "a", "bc", "", "def" };
  bench.m_handler.m_scripts["/s"] = [&](const InboundRequest&,
                                        ResponseSink& aSink,
                                        CancelSource&) -> Task<void> {
    co_await aSink.WriteHead(Head("text/event-stream"));
    for (std::size_t i = 0; i < texts.size(); ++i) {
      // Writes a chunk once the caller has received the previous one.
      co_await WaitUntil([&received, i] { return received >= i; });
      co_await aSink.WriteChunk(texts[i]);
    }
    co_await aSink.Finish();
  };
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    co_await caller.Write(Get("/s"));
    co_await caller.ReadUntil("\r\n\r\n1\r\na\r\n");
    received = 1;
    const std::string second = co_await caller.ReadUntil("bc\r\n");
    REQUIRE(second == "2\r\nbc\r\n");
    // An empty chunk would end the body on the wire, so none is written.
    received = 3;
    const std::string rest = co_await caller.ReadUntil("\r\n\r\n");
    REQUIRE(rest == "3\r\ndef\r\n0\r\n\r\n");
  });
}

TEST_CASE("a failed response never looks complete to the caller")
{
  const RequestError error(ResultCode::AnswerIncomplete, "truncated");
  const struct
  {
    std::string m_what;
    ResponseHead m_head;
    std::string m_text;
    bool m_throws;
    std::string m_end;
  } cases[] = {
    { "a response without a length",
      Head("text/plain"),
      "abc",
      true,
      "abc\r\n" },
    { "shorter than its Content-Length",
      Head("text/plain", 5),
      "abc",
      false,
      "abc" },
    { "longer than its Content-Length",
      Head("text/plain", 2),
      "abc",
      false,
      "\r\n\r\n" },
    { "a stream between events",
      Head("text/event-stream"),
      "data: 1\n\n",
      true,
      "\"ran\":\"maybe\",\"retry_after_ms\":1000}\n\n\r\n" },
    { "a stream within an event",
      Head("text/event-stream"),
      "data: 1\n\ndata: 2",
      true,
      "data: 2\r\n" },
  };
  for (const auto& row : cases) {
    ServerBench bench;
    bench.m_handler.m_scripts["/"] = [&](const InboundRequest&,
                                         ResponseSink& aSink,
                                         CancelSource&) -> Task<void> {
      co_await aSink.WriteHead(row.m_head);
      co_await aSink.WriteChunk(row.m_text);
      if (row.m_throws) {
        throw RequestError(error);
      }
      co_await aSink.Finish();
    };
    bench.Run([&]() -> Task<void> {
      RawPeer caller = co_await bench.Connect();
      co_await caller.Write(Get("/"));
      const std::string response = co_await caller.ReadToEnd();
      CAPTURE(row.m_what, response);
      CHECK(response.ends_with(row.m_end));
      CHECK_FALSE(caller.WasReset());
    });
  }
}

TEST_CASE(
  "an error before the head sends a refusal and keeps the connection open")
{
  ServerBench bench;
  bench.m_handler.m_scripts["/refused"] =
    [](const InboundRequest&, ResponseSink&, CancelSource&) -> Task<void> {
    throw RequestError(ResultCode::RateExceeded, "none left", 2'500ms);
    co_return;
  };
  bench.m_handler.m_scripts["/broken"] =
    [](const InboundRequest&, ResponseSink&, CancelSource&) -> Task<void> {
    throw std::runtime_error("programming error");
    co_return;
  };
  bench.m_handler.m_scripts["/silent"] =
    [](const InboundRequest&, ResponseSink&, CancelSource&) -> Task<void> {
    co_return;
  };
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    co_await caller.Write(Get("/refused"));
    const std::string refusal = co_await caller.ReadUntil("}\n");
    REQUIRE(refusal.starts_with("HTTP/1.1 429 "));
    REQUIRE(refusal.find("Retry-After: 3") != std::string::npos);
    const std::string id = bench.m_handler.m_receivedRequests[0].m_id.Value();
    REQUIRE(refusal.find("rattanweir-request: " + id) != std::string::npos);
    for (const std::string target : { "/broken", "/silent" }) {
      co_await caller.Write(Get(target));
      const std::string response = co_await caller.ReadUntil("}\n");
      REQUIRE(ResultCodeIn(response) == "500");
    }
  });
}

} // namespace
} // namespace rattanweir
