#include "rattanweir/base/asio/asio.h"

#include "testing/client_bench/client_bench.h"

#include <catch2/catch.hpp>

#include <boost/asio/detached.hpp>

#include <optional>
#include <utility>

namespace rattanweir {
namespace {

// More than the kernel buffers of a connection hold.
constexpr std::size_t kLongUpload = 30'000'000;

// What the client makes of a response.
struct Reading
{
  std::optional<ResponseHead> m_head;
  std::string m_body;
  std::optional<RequestError> m_error;
};

struct Exchange
{
  std::string m_upload;
  std::string m_response;
  // The server closes its socket in the same step as it writes, with unread
  // bytes of the request if there are some: the client finds the response and
  // the end of the connection together.
  bool m_closesAtOnce = false;
};

Reading
Read(const Exchange& aExchange)
{
  ClientBench bench;
  HttpUpstream upstream({ .m_executor = bench.m_context.get_executor(),
                          .m_acceptsCloseDelimitedResponses = true });
  Reading reading;
  bool isDone = false;
  bench.Run([&]() -> Task<void> {
    const auto send = [&]() -> Task<void> {
      OutboundRequest request = bench.Request(aExchange.m_upload);
      const auto exchange = co_await upstream.Send(
        bench.m_listener.LocalEndpoint(), std::move(request), bench.m_cancel);
      reading.m_head = co_await exchange->ReadHead();
      reading.m_body = co_await ReadBody(*exchange);
    };
    asio::co_spawn(
      bench.m_context,
      [&]() -> Task<void> {
        reading.m_error = co_await CatchRequestError(send);
        isDone = true;
      },
      asio::detached);
    RawPeer server = co_await bench.m_listener.Accept();
    co_await server.ReadUntil("\r\n\r\n");
    if (aExchange.m_closesAtOnce) {
      server.WriteAndClose(aExchange.m_response);
    } else {
      co_await server.Write(aExchange.m_response);
    }
    co_await WaitUntil([&] { return isDone; });
  });
  return reading;
}

void
CheckInvalid(const Reading& aReading)
{
  REQUIRE(aReading.m_error);
  CHECK(aReading.m_error->Code() == ResultCode::AnswerIncomplete);
  CHECK(aReading.m_error->HasRun() == Ran::Maybe);
}

// Guards against a status that HTTP does not have and that was passed on.
TEST_CASE("a status outside of 100 to 599 is no response")
{
  for (const char* status : { "000", "001", "099", "600", "999", "101" }) {
    CAPTURE(status);
    const Reading reading =
      Read({ .m_response = "HTTP/1.1 " + std::string(status) +
                           " X\r\nContent-Length: 2\r\n\r\nok" });
    CheckInvalid(reading);
    CHECK_FALSE(reading.m_head);
  }
  for (const char* status : { "200", "299", "404", "599" }) {
    CAPTURE(status);
    const Reading reading =
      Read({ .m_response = "HTTP/1.1 " + std::string(status) +
                           " X\r\nContent-Length: 2\r\n\r\nok" });
    CHECK_FALSE(reading.m_error);
    CHECK(reading.m_body == "ok");
  }
}

// Guards against an early answer that was reset and passed on as whole.
TEST_CASE("a reset while the request is written leaves a response without "
          "length incomplete")
{
  struct Row
  {
    const char* m_name;
    std::string m_response;
    bool m_isComplete;
  };
  const Row rows[] = {
    { "part of a body", "HTTP/1.1 200 OK\r\n\r\npart", false },
    { "no body", "HTTP/1.1 200 OK\r\n\r\n", false },
    { "failure", "HTTP/1.1 404 Not Found\r\n\r\npart", false },
    { "chunks cut", kChunkedHead + "4\r\npart\r\n", false },
    { "chunks", kChunkedHead + "4\r\npart\r\n0\r\n\r\n", true },
    { "length", kCompleteResponse, true },
  };
  for (const Row& row : rows) {
    CAPTURE(row.m_name);
    const Reading reading = Read({ .m_upload = std::string(kLongUpload, 'b'),
                                   .m_response = row.m_response,
                                   .m_closesAtOnce = true });
    if (row.m_isComplete) {
      CHECK_FALSE(reading.m_error);
    } else {
      CheckInvalid(reading);
    }
  }
  const Reading whole =
    Read({ .m_response = rows[0].m_response, .m_closesAtOnce = true });
  CHECK_FALSE(whole.m_error);
  CHECK(whole.m_body == "part");
}

// Guards against a line that is no header field and that was passed on.
TEST_CASE("a header, an interim response or trailers with an invalid field are "
          "no response")
{
  using namespace std::string_literals;
  const std::string lines[] = {
    "a b: 1"s,   "a\tb: 1"s,  "a : 1"s,      "a\x01: 1"s, "a\0b: 1"s,
    "a\x7f: 1"s, "\xe9: 1"s,  ": 1"s,        "a"s,        "a: 1\x01"s,
    "a: \0"s,    "a: 1\x7f"s, "a: 1\rb: 2"s,
  };
  const std::pair<std::string, std::string> places[] = {
    { "HTTP/1.1 200 OK\r\n", "\r\nContent-Length: 2\r\n\r\nok" },
    { "HTTP/1.1 103 Early Hints\r\n", "\r\n\r\n" + kCompleteResponse },
    { kChunkedHead + "2\r\nok\r\n0\r\n", "\r\n\r\n" },
  };
  for (const std::string& line : lines) {
    CAPTURE(line);
    for (const auto& [before, after] : places) {
      std::string response = before;
      response += line;
      response += after;
      CheckInvalid(Read({ .m_response = response }));
    }
  }
  CheckInvalid(Read({ .m_response = "HTTP/1.1 200 OK\r\n a: 1\r\n"
                                    "Content-Length: 2\r\n\r\nok" }));
  for (const std::string& reason : { "\x01"s, "O\0K"s, "\x7f"s, "O\rK"s }) {
    CAPTURE(reason);
    CheckInvalid(Read({ .m_response = "HTTP/1.1 200 " + reason +
                                      "\r\nContent-Length: 2\r\n\r\nok" }));
  }
}

// Guards against a body that was not the server's and that was passed on.
TEST_CASE("a body whose length is ambiguous is no response")
{
  const std::string fields[] = {
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked, gzip\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
    "Content-Length: 2\r\nContent-Length: 7\r\n",
    "Content-Length: 2, 7\r\n",
    "Content-Length: -2\r\n",
    "Content-Length: +2\r\n",
    "Content-Length: 0x2\r\n",
    "Content-Length: 99999999999999999999\r\n",
  };
  for (const std::string& field : fields) {
    CAPTURE(field);
    CheckInvalid(Read({ .m_response = "HTTP/1.1 200 OK\r\n" + field +
                                      "\r\n2\r\nok\r\n0\r\n\r\n" }));
  }
  const std::string chunkSizes[] = {
    "2 2", "-2", "+2", "0x2", "2\x01", "", "fffffffffffffffff", "2;a=\x01"
  };
  for (const std::string& size : chunkSizes) {
    CAPTURE(size);
    CheckInvalid(
      Read({ .m_response = kChunkedHead + size + "\r\nok\r\n0\r\n\r\n" }));
  }
}

} // namespace
} // namespace rattanweir
