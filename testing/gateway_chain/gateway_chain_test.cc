#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_chain/gateway_chain.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

// The last bytes before a reset.
const char* const kLastBytes = "data: z\n\n";

enum class End
{
  Close,
  Reset,
};

const char* const kPlainHead = "HTTP/1.1 200 OK\r\nseal: s\r\n\r\n";
const char* const kStreamHead =
  "HTTP/1.1 200 OK\r\nseal: s\r\ncontent-type: text/event-stream\r\n\r\n";

struct Response
{
  std::string m_text;
  bool m_wasReset = false;

  bool IsSuccess() const { return m_text.starts_with("HTTP/1.1 200"); }
  // The last chunk of a chunked body was received.
  bool IsComplete() const
  {
    return m_text.ends_with("\r\n0\r\n\r\n") && !m_wasReset;
  }
};

// Returns what the caller receives for what the server sends.
Response
Exchange(GatewayChain& aChain,
         ServedBy aServedBy,
         const char* aTarget,
         const std::string& aBytes,
         End aEnd)
{
  Response response;
  RunTask(aChain.m_context, [&]() -> Task<void> {
    RawPeer caller = co_await aChain.Call(aServedBy, aTarget);
    RawPeer server = co_await aChain.AcceptRequest();
    co_await server.Write(aBytes);
    if (aEnd == End::Reset) {
      // The bytes before the reset arrive first.
      response.m_text = co_await caller.ReadUntil(kLastBytes);
      server.Reset();
    } else {
      server.Close();
    }
    bool isOpen = true;
    while (isOpen && !response.IsComplete() &&
           (response.m_text.empty() || response.IsSuccess())) {
      const std::string piece = co_await caller.ReadUntil("\r\n\r\n");
      response.m_text += piece;
      isOpen = piece.ends_with("\r\n\r\n");
    }
    response.m_wasReset = caller.WasReset();
  });
  return response;
}

TEST_CASE("a response without length and chunks is complete if its connection "
          "is closed, and not if it is reset")
{
  struct Row
  {
    const char* m_name;
    const char* m_target;
    std::string m_bytes;
    End m_end;
    bool m_isComplete;
  };
  const std::string event = "id: 1\ndata: a\n\n";
  const Row rows[] = {
    { "plain", "/write/1", kPlainHead + std::string("body"), End::Close, true },
    { "empty", "/write/1", kPlainHead, End::Close, true },
    { "stream", "/talk/1", kStreamHead + event, End::Close, true },
    { "stream that ends in an event",
      "/talk/1",
      kStreamHead + event + "id: 2\nda",
      End::Close,
      false },
    { "stream that ends before the blank line of an event",
      "/talk/1",
      kStreamHead + event + "id: 2\ndata: b\n",
      End::Close,
      false },
    { "stream without an event", "/talk/1", kStreamHead, End::Close, false },
    { "plain, reset",
      "/write/1",
      kPlainHead + std::string(100'000, 'x') + kLastBytes,
      End::Reset,
      false },
    { "stream, reset",
      "/talk/1",
      kStreamHead + event + "id: 2\ndata: z\n\n",
      End::Reset,
      false },
  };
  for (const ServedBy servedBy : { ServedBy::Entry, ServedBy::Peer }) {
    for (const Row& row : rows) {
      INFO(row.m_name << (servedBy == ServedBy::Peer ? ", by a peer" : ""));
      GatewayChain chain;
      const Response response =
        Exchange(chain, servedBy, row.m_target, row.m_bytes, row.m_end);
      CHECK((response.IsSuccess() && response.IsComplete()) ==
            row.m_isComplete);
      CHECK(chain.Server(servedBy).IdleServerConnections() == 0);
    }
  }
}

// Sends the bytes again and again until the connection is closed. Returns how
// many bytes were written.
Task<std::size_t>
WriteWithoutEnd(RawPeer& aServer, std::string aBytes)
{
  std::size_t written = 0;
  try {
    for (;;) {
      co_await aServer.Write(aBytes);
      written += aBytes.size();
    }
  } catch (const boost::system::system_error&) {
    co_return written;
  }
}

TEST_CASE("bytes without end from a server are bounded, and its call is "
          "cancelled")
{
  struct Row
  {
    const char* m_name;
    const char* m_target;
    std::string m_start;
    std::string m_repeated;
  };
  const std::string chunkedHead =
    "HTTP/1.1 200 OK\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n";
  const Row rows[] = {
    { "no response", "/write/1", "", std::string(4'096, 'x') },
    { "one byte at a time", "/write/1", "", "x" },
    { "status line", "/write/1", "HTTP/1.1 200 ", "OK" },
    { "header field", "/write/1", "HTTP/1.1 200 OK\r\na: ", "bbbbbbbb" },
    { "header fields", "/write/1", "HTTP/1.1 200 OK\r\n", "a: b\r\n" },
    { "informational responses",
      "/write/1",
      "",
      "HTTP/1.1 100 Continue\r\n\r\n" },
    { "event", "/talk/1", kStreamHead, std::string(4'096, 'x') },
    { "event, one byte at a time", "/talk/1", kStreamHead, "x" },
    { "chunk size", "/write/1", chunkedHead, "0" },
    { "chunk extension", "/write/1", chunkedHead + "1;a=", "b" },
    { "trailer", "/write/1", chunkedHead + "0\r\n", "a: b\r\n" },
    { "body without length", "/write/1", kPlainHead, std::string(65'536, 'x') },
    { "body without a seal",
      "/write/1",
      "HTTP/1.1 200 OK\r\n\r\n",
      std::string(4'096, 'x') },
  };
  constexpr std::size_t kMaxWritten = 64UL * 1024 * 1024;
  for (const ServedBy servedBy : { ServedBy::Entry, ServedBy::Peer }) {
    for (const Row& row : rows) {
      INFO(row.m_name << (servedBy == ServedBy::Peer ? ", by a peer" : ""));
      GatewayChain chain;
      std::size_t written = 0;
      std::string received;
      RunTask(chain.m_context, [&]() -> Task<void> {
        RawPeer caller = co_await chain.Call(servedBy, row.m_target);
        RawPeer server = co_await chain.AcceptRequest();
        asio::co_spawn(
          chain.m_context,
          [&]() -> Task<void> {
            std::string head = co_await caller.ReadUntil("\r\n\r\n");
            if (head.starts_with("HTTP/1.1 200")) {
              head += co_await caller.ReadToEnd();
            }
            received = std::move(head);
          },
          asio::detached);
        co_await server.Write(row.m_start);
        written = co_await WriteWithoutEnd(server, row.m_repeated);
        co_await WaitUntil([&] { return !received.empty(); });
      });
      CHECK(written < kMaxWritten);
      CHECK_FALSE(received.ends_with("\r\n0\r\n\r\n"));
      CHECK(chain.Server(servedBy).IdleServerConnections() == 0);
    }
  }
}

} // namespace
} // namespace rattanweir
