#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/server_prober/server_prober.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

#include <boost/asio/detached.hpp>

#include <map>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

enum class Server
{
  Accepts,
  AcceptsAndResets,
  // Lets connections wait in the kernel's queue.
  IsListening,
  IsGone,
};

TEST_CASE("a server is reached if a connection to it stays open")
{
  const struct
  {
    const char* m_name;
    Server m_server;
    bool m_isReached;
  } cases[] = {
    { "accepts", Server::Accepts, true },
    { "accepts and resets", Server::AcceptsAndResets, false },
    { "is listening", Server::IsListening, true },
    { "is gone", Server::IsGone, false },
  };
  for (const auto& row : cases) {
    CAPTURE(row.m_name);
    asio::io_context context;
    RunTask(context, [&]() -> Task<void> {
      RawListener listener(context);
      const std::vector<Endpoint> servers = { listener.LocalEndpoint() };
      ServerReach reach({ .m_clock = SystemClock() });
      std::map<Endpoint, bool> probed;
      ServerProber prober(
        { .m_executor = context.get_executor(),
          .m_reach = reach,
          .m_onProbed = [&](const Endpoint& aServer, bool aIsReached) {
            probed[aServer] = aIsReached;
          } });
      reach.RecordFailure(servers[0]);
      if (row.m_server == Server::IsGone) {
        listener.Close();
      }
      co_await WaitUntil([&] {
        prober.Step(servers);
        return prober.IsProbing();
      });
      std::optional<RawPeer> peer;
      if (row.m_server == Server::Accepts ||
          row.m_server == Server::AcceptsAndResets) {
        peer.emplace(co_await listener.Accept());
      }
      if (row.m_server == Server::AcceptsAndResets) {
        peer->Reset();
      }
      co_await WaitUntil([&] { return !probed.empty(); });
      CHECK(probed[servers[0]] == row.m_isReached);
    });
  }
}

} // namespace
} // namespace rattanweir
