#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_server/http_server.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

#include <map>
#include <utility>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

AnswerHead
Head(const std::string& aType, std::optional<std::uint64_t> aLength = {})
{
  return AnswerHead{ .m_status = 200,
                     .m_headers = { { "content-type", aType },
                                    { "Connection", "x-hop" },
                                    { "x-hop", "1" } },
                     .m_contentLength = aLength };
}

// Does what the path of the request names.
class ScriptedHandler final : public RequestHandler
{
public:
  using Script = std::function<
    Task<void>(const InboundRequest&, AnswerSink&, CancelSource&)>;

  Task<void> Handle(InboundRequest aRequest,
                    AnswerSink& aSink,
                    CancelSource& aCancel) override
  {
    m_seen.push_back(aRequest);
    const auto script = m_scripts.find(aRequest.m_target);
    if (script != m_scripts.end()) {
      co_await script->second(aRequest, aSink, aCancel);
      co_return;
    }
    std::string text = aRequest.m_method + " " + aRequest.m_body;
    AnswerHead head = Head("text/plain", text.size());
    co_await aSink.WriteHead(head);
    co_await aSink.WriteChunk(text);
    co_await aSink.Finish();
  }

  std::map<std::string, Script> m_scripts;
  std::vector<InboundRequest> m_seen;
};

// A server on loopback with small bounds, and what it reported.
struct Bench
{
  explicit Bench(CallerLimits aLimits = SmallLimits(),
                 ByteCount aBodyBytesInAll = ByteCount(1024))
    : m_server({ .m_executor = m_context.get_executor(),
                 .m_address = { .m_address = "127.0.0.1" },
                 .m_handler = m_handler,
                 .m_limits = aLimits,
                 .m_bodyBytesInAll = aBodyBytesInAll,
                 .m_onError = [this](const RequestError& aError) {
                   m_errors.push_back(aError.Code());
                 } })
  {
    m_server.Start();
  }

  static CallerLimits SmallLimits()
  {
    return { .m_headerBytes = ByteCount(512),
             .m_bodyBytes = ByteCount(256),
             .m_connections = 3,
             .m_requests = 2,
             .m_idleTimeout = 10s,
             .m_readTimeout = 10s,
             .m_writeTimeout = 10s };
  }

  Task<RawPeer> Connect()
  {
    return RawPeer::Connect(m_context, m_server.LocalEndpoint());
  }

  void Run(std::function<Task<void>()> aTask)
  {
    RunTask(m_context, std::move(aTask));
  }

  ScriptedHandler m_handler;
  asio::io_context m_context;
  std::vector<ResultCode> m_errors;
  HttpServer m_server;
};

std::string
Get(const std::string& aTarget, const std::string& aFields = "")
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n";
}

std::string
Post(const std::string& aFields, const std::string& aBody)
{
  return "POST / HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n" + aBody;
}

// The number of the result code that an answer names.
std::string
ResultIn(const std::string& aAnswer)
{
  const std::string field = "rattanweir-result: ";
  const std::size_t found = aAnswer.find(field);
  return found == std::string::npos ? ""
                                    : aAnswer.substr(found + field.size(), 3);
}

TEST_CASE("a request that can't be read is refused and its connection closed")
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
    { "no HTTP", "hello there\r\n\r\n", "400", "100" },
    { "a bad field", Get("/", "no colon\r\n"), "400", "100" },
    { "HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", "400", "100" },
    { "an absolute target", Get("http://h/"), "400", "100" },
    { "another expectation", Get("/", "Expect: tea\r\n"), "400", "100" },
    { "two lengths",
      Post("Content-Length: 1\r\nContent-Length: 2\r\n", "x"),
      "400",
      "100" },
    { "length and chunks",
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
    Bench bench;
    bench.Run([&]() -> Task<void> {
      RawPeer caller = co_await bench.Connect();
      co_await caller.Write(row.m_request);
      const std::string answer = co_await caller.ReadToEnd();
      CAPTURE(row.m_what, answer);
      CHECK(answer.starts_with("HTTP/1.1 " + row.m_status + " "));
      CHECK(ResultIn(answer) == row.m_result);
      CHECK(answer.find("rattanweir-ran: no") != std::string::npos);
      CHECK(answer.find("rattanweir-request: ") != std::string::npos);
      CHECK_FALSE(caller.WasReset());
      CHECK(bench.m_handler.m_seen.empty());
      CHECK(bench.m_errors.size() == 1);
    });
  }
}

TEST_CASE("a refusal reaches a caller that still sends a large body")
{
  Bench bench;
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    const std::string body(4'000'000, 'b');
    const std::string request = Post("Content-Length: 4000000\r\n", body);
    co_await caller.Write(request);
    const std::string answer = co_await caller.ReadToEnd();
    REQUIRE(ResultIn(answer) == "102");
    REQUIRE_FALSE(caller.WasReset());
  });
}

TEST_CASE("timeouts end each wait for the caller")
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
    CallerLimits limits = Bench::SmallLimits();
    limits.m_idleTimeout = 20ms;
    limits.m_readTimeout = 20ms;
    Bench bench(limits);
    bench.Run([&]() -> Task<void> {
      RawPeer caller = co_await bench.Connect();
      co_await caller.Write(row.m_sent);
      const std::string answer = co_await caller.ReadToEnd();
      CAPTURE(row.m_what, answer);
      CHECK(ResultIn(answer) == row.m_result);
    });
  }
}

TEST_CASE("a caller that takes no byte of its answer is given up on")
{
  CallerLimits limits = Bench::SmallLimits();
  limits.m_writeTimeout = 20ms;
  Bench bench(limits);
  bench.m_handler.m_scripts["/endless"] =
    [](const InboundRequest&, AnswerSink& aSink, CancelSource&) -> Task<void> {
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

TEST_CASE("requests on one connection are answered in order")
{
  const std::string requests =
    Post("Content-Length: 3\r\n", "one") +
    Post("Transfer-Encoding: chunked\r\n", "2\r\ntw\r\n1\r\no\r\n0\r\n\r\n") +
    "HEAD / HTTP/1.1\r\n\r\n" + Get("/", "Connection: close\r\n");
  // Sent at once none of the pipelined bytes may get lost, and sent byte by
  // byte none may be taken for a whole.
  for (const std::size_t size : { requests.size(), std::size_t(1) }) {
    Bench bench;
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

TEST_CASE("a caller that asks first is told to go on")
{
  Bench bench;
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    co_await caller.Write(
      Post("Content-Length: 2\r\nExpect: 100-continue\r\n", ""));
    const std::string word = co_await caller.ReadUntil("\r\n\r\n");
    REQUIRE(word == "HTTP/1.1 100 Continue\r\n\r\n");
    co_await caller.Write("ok");
    const std::string answer = co_await caller.ReadUntil("POST ok");
    REQUIRE(answer.starts_with("HTTP/1.1 200"));
  });
}

TEST_CASE("a stream reaches the caller chunk by chunk")
{
  Bench bench;
  std::size_t received = 0;
  const std::vector<std::string> texts = { "a", "bc", "", "def" };
  bench.m_handler.m_scripts["/s"] =
    [&](const InboundRequest&, AnswerSink& aSink, CancelSource&) -> Task<void> {
    co_await aSink.WriteHead(Head("text/event-stream"));
    for (std::size_t i = 0; i < texts.size(); ++i) {
      // Each chunk waits until the caller has the one before.
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
    // An empty chunk would be the last one on the wire; none is written.
    received = 3;
    const std::string rest = co_await caller.ReadUntil("\r\n\r\n");
    REQUIRE(rest == "3\r\ndef\r\n0\r\n\r\n");
  });
}

TEST_CASE("an answer that fails is never passed on as whole")
{
  const RequestError error(ResultCode::AnswerIncomplete, "broke off");
  const struct
  {
    std::string m_what;
    AnswerHead m_head;
    std::string m_text;
    bool m_throws;
    std::string m_end;
  } cases[] = {
    { "a plain answer", Head("text/plain"), "abc", true, "abc\r\n" },
    { "a short one", Head("text/plain", 5), "abc", false, "abc" },
    { "a long one", Head("text/plain", 2), "abc", false, "\r\n\r\n" },
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
    Bench bench;
    bench.m_handler.m_scripts["/"] = [&](const InboundRequest&,
                                         AnswerSink& aSink,
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
      const std::string answer = co_await caller.ReadToEnd();
      CAPTURE(row.m_what, answer);
      CHECK(answer.ends_with(row.m_end));
      CHECK_FALSE(caller.WasReset());
    });
  }
}

TEST_CASE("an error before the head is a refusal on a connection that stays")
{
  Bench bench;
  bench.m_handler.m_scripts["/refused"] =
    [](const InboundRequest&, AnswerSink&, CancelSource&) -> Task<void> {
    throw RequestError(ResultCode::RateExceeded, "none left", 2'500ms);
    co_return;
  };
  bench.m_handler.m_scripts["/broken"] =
    [](const InboundRequest&, AnswerSink&, CancelSource&) -> Task<void> {
    throw std::runtime_error("a fault of the program");
    co_return;
  };
  bench.m_handler.m_scripts["/silent"] =
    [](const InboundRequest&, AnswerSink&, CancelSource&) -> Task<void> {
    co_return;
  };
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    co_await caller.Write(Get("/refused"));
    const std::string refusal = co_await caller.ReadUntil("}\n");
    REQUIRE(refusal.starts_with("HTTP/1.1 429 "));
    REQUIRE(refusal.find("Retry-After: 3") != std::string::npos);
    const std::string id = bench.m_handler.m_seen[0].m_id.Value();
    REQUIRE(refusal.find("rattanweir-request: " + id) != std::string::npos);
    for (const std::string target : { "/broken", "/silent" }) {
      co_await caller.Write(Get(target));
      const std::string answer = co_await caller.ReadUntil("}\n");
      REQUIRE(ResultIn(answer) == "500");
    }
  });
}

TEST_CASE("a caller that closes cancels its request")
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
    Bench bench;
    std::optional<ResultCode> reason;
    bench.m_handler.m_scripts["/wait"] =
      [&](const InboundRequest&,
          AnswerSink& aSink,
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
      CHECK(bench.m_handler.m_seen.size() == 1);
    });
  }
}

// Answers once `m_mayEnd` is set.
struct Gate
{
  ScriptedHandler::Script Script()
  {
    return [this](const InboundRequest&,
                  AnswerSink& aSink,
                  CancelSource&) -> Task<void> {
      co_await aSink.WriteHead(Head("text/plain"));
      co_await WaitUntil([this] { return m_mayEnd; });
      co_await aSink.WriteChunk("end");
      co_await aSink.Finish();
    };
  }
  bool m_mayEnd = false;
};

TEST_CASE("bounds on connections, requests and bodies are answered at once")
{
  Bench bench(Bench::SmallLimits(), ByteCount(100));
  Gate gate;
  bench.m_handler.m_scripts["/gate"] = gate.Script();
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
    REQUIRE(ResultIn(refused) == "201");
    REQUIRE_FALSE(over.WasReset());

    co_await third.Write(Post("Content-Length: 60\r\n", ""));
    const std::string noRoom = co_await third.ReadToEnd();
    REQUIRE(ResultIn(noRoom) == "202");
    second.Close();
    third.Close();
    co_await WaitUntil([&] { return bench.m_server.Connections() == 1; });

    RawPeer fourth = co_await bench.Connect();
    RawPeer fifth = co_await bench.Connect();
    co_await fourth.Write(Get("/gate"));
    co_await fourth.ReadUntil("\r\n\r\n");
    co_await fifth.Write(Get("/gate"));
    const std::string busy = co_await fifth.ReadUntil("}\n");
    REQUIRE(ResultIn(busy) == "202");
    gate.m_mayEnd = true;
    co_await fourth.ReadUntil("end");
    // A refused request leaves its connection open, and the room comes back.
    co_await fifth.Write(Get("/gate"));
    const std::string answer = co_await fifth.ReadUntil("end");
    REQUIRE(answer.starts_with("HTTP/1.1 200"));
  });
}

TEST_CASE("draining ends idle connections, finishes running ones, takes none")
{
  Bench bench;
  Gate gate;
  bench.m_handler.m_scripts["/gate"] = gate.Script();
  bench.Run([&]() -> Task<void> {
    RawPeer running = co_await bench.Connect();
    co_await running.Write(Get("/gate"));
    co_await running.ReadUntil("\r\n\r\n");
    RawPeer idle = co_await bench.Connect();
    co_await idle.Write(Get("/"));
    co_await idle.ReadUntil("GET ");
    // In the listener's queue with its request, and not yet accepted.
    RawPeer waiting = co_await bench.Connect();
    co_await waiting.Write(Get("/"));

    bench.m_server.Drain();
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
    gate.m_mayEnd = true;
    const std::string whole = co_await running.ReadToEnd();
    REQUIRE(whole.ends_with("0\r\n\r\n"));
    running.Close();
    idle.Close();
    waiting.Close();
    co_await bench.m_server.WaitUntilDone();
    REQUIRE(bench.m_server.Connections() == 0);
  });
}

TEST_CASE("an abort cancels what runs and tells its caller")
{
  Bench bench;
  bench.m_handler.m_scripts["/wait"] = [](const InboundRequest&,
                                          AnswerSink&,
                                          CancelSource& aCancel) -> Task<void> {
    co_await WaitUntil([&] { return aCancel.Reason().has_value(); });
    throw RequestError(*aCancel.Reason(), "cancelled", Ran::Maybe);
  };
  bench.Run([&]() -> Task<void> {
    RawPeer caller = co_await bench.Connect();
    co_await caller.Write(Get("/wait"));
    co_await WaitUntil([&] { return bench.m_server.RequestsInFlight() == 1; });
    bench.m_server.Abort();
    const std::string answer = co_await caller.ReadToEnd();
    REQUIRE(ResultIn(answer) == "204");
    REQUIRE(answer.find("rattanweir-ran: maybe") != std::string::npos);
    caller.Close();
    co_await bench.m_server.WaitUntilDone();
  });
}

} // namespace
} // namespace rattanweir
