#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_admission.h"
#include "testing/gateway_chain/gateway_chain.h"

#include <catch2/catch.hpp>

#include <utility>

namespace rattanweir {
namespace {

constexpr int kDepartedCallers = 5;

std::string
RequestText(const std::string& aId, const HeaderFields& aFields = {})
{
  std::string text = "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nid: " + aId +
                     "\r\nkey: key-anna\r\nContent-Length: 0\r\n";
  for (const HeaderField& field : aFields) {
    text += field.m_name + ": " + field.m_value + "\r\n";
  }
  return text + "\r\n";
}

// The fields that an instance adds to a request that it forwards.
HeaderFields
HopFields()
{
  return { { kHopFromField, "north-2" },
           { kHopAccountField, "anna" },
           { kHopPoolField, "plain" },
           { kHopTimeLeftField, "5000" } };
}

constexpr const char* kResponse =
  "HTTP/1.1 200 OK\r\nseal: s\r\nContent-Length: 2\r\n\r\nok";

// Serves one request, after which the instance keeps the connection to the
// server. Returns both ends of the chain.
Task<std::pair<RawPeer, RawPeer>>
ServeFirstRequest(GatewayChain& aChain, ServedBy aServedBy)
{
  RawPeer caller = co_await aChain.Call(aServedBy, "/read/1");
  RawPeer server = co_await aChain.AcceptRequest();
  co_await server.Write(kResponse);
  co_await caller.ReadUntil("ok");
  co_return std::pair(std::move(caller), std::move(server));
}

TEST_CASE("a request whose caller left before it was read is not sent to a "
          "server")
{
  for (const ServedBy servedBy : { ServedBy::Entry, ServedBy::Peer }) {
    const bool isPeer = servedBy == ServedBy::Peer;
    INFO((isPeer ? "forwarded" : "from the caller"));
    GatewayChain chain;
    RunTask(chain.m_context, [&]() -> Task<void> {
      auto [first, server] = co_await ServeFirstRequest(chain, servedBy);
      const GatewayNode& node = chain.Server(servedBy);
      const Endpoint address =
        isPeer ? node.PeerAddress() : node.CallerAddress();
      const HeaderFields fields = isPeer ? HopFields() : HeaderFields();
      for (int number = 0; number < kDepartedCallers; ++number) {
        SendAndLeave(address, RequestText("departed", fields));
      }
      const RawPeer caller = co_await chain.Call(servedBy, "/read/1");
      const std::string received = co_await server.ReadUntil("\r\n\r\n");
      CAPTURE(received);
      CHECK(received.find("id: r1\r\n") != std::string::npos);
    });
  }
}

TEST_CASE("a request on a kept connection whose caller left before it was read "
          "is not sent to a server")
{
  GatewayChain chain;
  RunTask(chain.m_context, [&]() -> Task<void> {
    auto [first, server] = co_await ServeFirstRequest(chain, ServedBy::Entry);
    first.WriteAndClose(RequestText("departed"));
    const RawPeer caller = co_await chain.Call(ServedBy::Entry, "/read/1");
    const std::string received = co_await server.ReadUntil("\r\n\r\n");
    CAPTURE(received);
    CHECK(received.find("id: r1\r\n") != std::string::npos);
  });
}

} // namespace
} // namespace rattanweir
