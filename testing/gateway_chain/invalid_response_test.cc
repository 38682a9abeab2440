#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_chain/gateway_chain.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

// More than the kernel buffers of a connection hold, and within the limit on
// the bodies of callers.
constexpr std::size_t kLongUpload = 7UL * 1024 * 1024;
const std::string kSeal = "seal: s\r\n";
const std::string kStream = kSeal + "content-type: text/event-stream\r\n";

struct Exchange
{
  ServedBy m_servedBy = ServedBy::Entry;
  const char* m_target = "/write/1";
  std::string m_upload;
  std::string m_response;
};

// Returns the head that the caller receives if the server reads the head of the
// request, and then writes its response and closes the connection in one step.
std::string
ReceiveHead(GatewayChain& aChain, const Exchange& aExchange)
{
  std::string received;
  RunTask(aChain.m_context, [&]() -> Task<void> {
    RawPeer caller = co_await aChain.Call(
      aExchange.m_servedBy, aExchange.m_target, aExchange.m_upload);
    RawPeer server = co_await aChain.AcceptRequest();
    server.WriteAndClose(aExchange.m_response);
    received = co_await caller.ReadUntil("\r\n\r\n");
  });
  return received;
}

void
CheckFailure(const Exchange& aExchange, const std::string& aName)
{
  GatewayChain chain;
  INFO(aName << " at " << aExchange.m_target
             << (aExchange.m_servedBy == ServedBy::Peer ? ", by a peer" : ""));
  const std::string received = ReceiveHead(chain, aExchange);
  CHECK(received.starts_with("HTTP/1.1 502 "));
  CHECK(received.find("seal") == std::string::npos);
  CHECK(chain.Server(aExchange.m_servedBy).IdleServerConnections() == 0);
}

// Guards against a status that HTTP does not have reaching the caller.
TEST_CASE("a response with an invalid status is answered 502")
{
  for (const ServedBy servedBy : { ServedBy::Entry, ServedBy::Peer }) {
    for (const char* target : { "/write/1", "/talk/1" }) {
      for (const char* status :
           { "000", "001", "099", "101", "600", "700", "999" }) {
        CheckFailure({ .m_servedBy = servedBy,
                       .m_target = target,
                       .m_response = "HTTP/1.1 " + std::string(status) +
                                     " X\r\n" + kSeal +
                                     "content-length: 2\r\n\r\nok" },
                     status);
      }
    }
  }
}

// Guards against a part of an answer reaching the caller as whole, since
// the write of the upload had taken the reset of the connection.
TEST_CASE("a response without length to an upload that was reset is answered "
          "502")
{
  struct Row
  {
    const char* m_name;
    const char* m_target;
    std::string m_response;
  };
  const std::string event = "id: 1\ndata: a\n\n";
  const Row rows[] = {
    { "a part", "/write/1", "HTTP/1.1 200 OK\r\n" + kSeal + "\r\npart" },
    { "no body", "/write/1", "HTTP/1.1 200 OK\r\n" + kSeal + "\r\n" },
    { "a failure",
      "/write/1",
      "HTTP/1.1 404 Not Found\r\n" + kSeal + "\r\npart" },
    { "a stream", "/talk/1", "HTTP/1.1 200 OK\r\n" + kStream + "\r\n" + event },
    { "a stream without an event",
      "/talk/1",
      "HTTP/1.1 200 OK\r\n" + kStream + "\r\n" },
  };
  for (const ServedBy servedBy : { ServedBy::Entry, ServedBy::Peer }) {
    for (const Row& row : rows) {
      CheckFailure({ .m_servedBy = servedBy,
                     .m_target = row.m_target,
                     .m_upload = std::string(kLongUpload, 'b'),
                     .m_response = row.m_response },
                   row.m_name);
    }
  }
}

TEST_CASE("a response with a length to an upload that was reset is passed on")
{
  for (const ServedBy servedBy : { ServedBy::Entry, ServedBy::Peer }) {
    GatewayChain chain;
    const std::string received =
      ReceiveHead(chain,
                  { .m_servedBy = servedBy,
                    .m_upload = std::string(kLongUpload, 'b'),
                    .m_response = "HTTP/1.1 413 Too Large\r\n" + kSeal +
                                  "content-length: 2\r\n\r\nno" });
    CHECK(received.starts_with("HTTP/1.1 413 "));
    CHECK(received.find("seal: s") != std::string::npos);
  }
}

// Guards against a line that is no header field reaching the caller.
TEST_CASE("a response with an invalid header field is answered 502")
{
  using namespace std::string_literals;
  for (const ServedBy servedBy : { ServedBy::Entry, ServedBy::Peer }) {
    for (const std::string& line : { "a b: 1"s,
                                     "a\tb: 1"s,
                                     "a\x01: 1"s,
                                     "a\0b: 1"s,
                                     "a\x7f: 1"s,
                                     "\xe9: 1"s,
                                     ": 1"s,
                                     "a: 1\x01"s,
                                     "a: 1\rb: 2"s }) {
      std::string response = "HTTP/1.1 200 OK\r\n" + kSeal;
      response += line;
      response += "\r\ncontent-length: 2\r\n\r\nok";
      CheckFailure({ .m_servedBy = servedBy, .m_response = response }, line);
    }
    CheckFailure({ .m_servedBy = servedBy,
                   .m_response = "HTTP/1.1 200 OK\r\n" + kSeal +
                                 "transfer-encoding: gzip\r\n\r\nok" },
                 "a transfer coding");
  }
}

} // namespace
} // namespace rattanweir
