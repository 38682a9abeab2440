#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_chain/gateway_chain.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

enum class End
{
  Close,
  Reset,
};

struct Cut
{
  ServedBy m_servedBy = ServedBy::Entry;
  const char* m_target = "/write/1";
  std::string m_bytes;
  End m_end = End::Close;
};

// Returns the start of what the caller receives if the server sends the bytes
// and ends the connection, until the caller's connection is idle or closed.
std::string
ReceiveAfter(GatewayChain& aChain, const Cut& aCut)
{
  std::string received;
  RunTask(aChain.m_context, [&]() -> Task<void> {
    RawPeer caller = co_await aChain.Call(aCut.m_servedBy, aCut.m_target);
    RawPeer server = co_await aChain.AcceptRequest();
    if (aCut.m_end == End::Close) {
      server.WriteAndClose(aCut.m_bytes);
    } else {
      co_await server.Write(aCut.m_bytes);
      server.Reset();
    }
    received = co_await caller.ReadUntil("\r\n\r\n");
  });
  return received;
}

// Guards against an empty success in place of an answer whose head breaks off.
TEST_CASE("a head that ends early is no success, wherever it is cut")
{
  struct Row
  {
    const char* m_name;
    const char* m_target;
    std::string m_head;
  };
  const std::string start = "HTTP/1.1 200 OK\r\nseal: s\r\n";
  const Row rows[] = {
    { "length", "/write/1", start + "content-length: 0\r\n\r\n" },
    { "chunks", "/write/1", start + "transfer-encoding: chunked\r\n\r\n" },
    { "neither", "/write/1", start + "a: b\r\n\r\n" },
    { "stream", "/talk/1", start + "content-type: text/event-stream\r\n\r\n" },
    { "after 100 Continue",
      "/write/1",
      "HTTP/1.1 100 Continue\r\n\r\n" + start + "\r\n" },
    { "after 103 Early Hints",
      "/write/1",
      "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" + start + "\r\n" },
  };
  for (const ServedBy servedBy : { ServedBy::Entry, ServedBy::Peer }) {
    for (const Row& row : rows) {
      for (std::size_t length = 0; length < row.m_head.size(); ++length) {
        for (const End end : { End::Close, End::Reset }) {
          GatewayChain chain;
          INFO(row.m_name << ", " << length << " bytes"
                          << (servedBy == ServedBy::Peer ? ", by a peer" : ""));
          const Cut cut{ .m_servedBy = servedBy,
                         .m_target = row.m_target,
                         .m_bytes = row.m_head.substr(0, length),
                         .m_end = end };
          const std::string received = ReceiveAfter(chain, cut);
          CHECK(received.starts_with("HTTP/1.1 5"));
          CHECK(chain.Server(servedBy).IdleServerConnections() == 0);
        }
      }
    }
  }
}

} // namespace
} // namespace rattanweir
