#include "testing/link_cutter/link_cutter.h"

#include "testing/http/http.h"

#include <catch2/catch.hpp>

namespace rattanweir::testing {

namespace {

using namespace std::chrono_literals;

// Starts a server on the first call and returns its address; all tests of this
// program share it.
Endpoint
HelloServer()
{
  static HttpListener listener(0);
  static std::thread server([] {
    listener.Serve([](const HttpRequest&, HttpResponder& aResponder) {
      aResponder.Respond(200, {}, "hello");
    });
  });
  if (server.joinable()) {
    server.detach();
  }
  return listener.Address();
}

const HttpRequest kForwarded{ .m_method = "GET",
                              .m_target = "/",
                              .m_headers = { { .m_name = "Rattanweir-Hop",
                                               .m_value = "ostland-1" } } };

} // namespace

TEST_CASE("An open link relays both directions and records the hops")
{
  LinkCutter link;
  link.SetTarget(HelloServer());
  HttpConnection connection(link.Address(), 10s);
  CHECK(connection.Send(kForwarded).m_body == "hello");
  CHECK(connection.Send(kForwarded).m_isComplete);
  CHECK(link.Hops() == std::vector<std::string>{ "ostland-1", "ostland-1" });
}

TEST_CASE("A cut link closes all connections until it is open again")
{
  LinkCutter link;
  link.SetTarget(HelloServer());
  HttpConnection before(link.Address(), 10s);
  REQUIRE(before.Send(kForwarded).m_isComplete);
  link.Set(LinkState::Cut);
  CHECK(before.Send(kForwarded).m_status == 0);
  HttpConnection during(link.Address(), 10s);
  CHECK(during.Send(kForwarded).m_status == 0);
  link.Set(LinkState::Open);
  HttpConnection after(link.Address(), 10s);
  CHECK(after.Send(kForwarded).m_isComplete);
}

TEST_CASE("A black-hole link drops all bytes while the client keeps waiting")
{
  LinkCutter link;
  link.SetTarget(HelloServer());
  link.Set(LinkState::BlackHole);
  HttpConnection connection(link.Address(), 50ms);
  CHECK(connection.Send(kForwarded).m_status == 0);
  CHECK(link.Hops().empty());
}

} // namespace rattanweir::testing
