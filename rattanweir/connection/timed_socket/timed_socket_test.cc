#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/timed_socket/timed_socket.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

#include <boost/asio/redirect_error.hpp>

#include <array>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;
using boost::system::error_code;

// Runs a task with a connected socket and its peer.
void
RunConnected(std::function<Task<void>(TimedSocket&, RawPeer&)> aTask)
{
  asio::io_context context;
  RunTask(context, [&]() -> Task<void> {
    RawListener listener(context);
    asio::ip::tcp::socket socket(context);
    const auto endpoint = ToAsioEndpoint(listener.LocalEndpoint());
    co_await socket.async_connect(endpoint, asio::use_awaitable);
    TimedSocket timed(std::move(socket));
    RawPeer peer = co_await listener.Accept();
    co_await aTask(timed, peer);
  });
}

Task<error_code>
ReadByte(TimedSocket& aSocket)
{
  std::array<char, 1> byte{};
  error_code error;
  co_await aSocket.Get().async_read_some(
    asio::buffer(byte), asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

TEST_CASE("an expired socket ends all waits until it is reset")
{
  const struct
  {
    std::string m_what;
    void (*m_end)(TimedSocket&);
  } cases[] = {
    { "a timeout", [](TimedSocket& aSocket) { aSocket.ExpireAfter(2ms); } },
    { "an interrupt", [](TimedSocket& aSocket) { aSocket.Interrupt(); } },
    { "the last of two timeouts",
      [](TimedSocket& aSocket) {
        aSocket.ExpireAfter(1h);
        aSocket.ExpireAfter(2ms);
      } },
  };
  for (const auto& row : cases) {
    RunConnected([&](TimedSocket& aSocket, RawPeer& aPeer) -> Task<void> {
      // The interrupt happens before any wait has started.
      row.m_end(aSocket);
      CAPTURE(row.m_what);
      for (int wait = 0; wait < 2; ++wait) {
        const error_code error = co_await ReadByte(aSocket);
        CHECK(error == asio::error::operation_aborted);
        CHECK(aSocket.HasExpired());
      }
      aSocket.ExpireNever();
      CHECK_FALSE(aSocket.HasExpired());
      co_await aPeer.Write("x");
      const error_code error = co_await ReadByte(aSocket);
      CHECK_FALSE(error);
    });
  }
}

TEST_CASE("unread bytes and a close are detected without consuming bytes")
{
  RunConnected([](TimedSocket& aSocket, RawPeer& aPeer) -> Task<void> {
    CHECK_FALSE(aSocket.IsReadable());
    CHECK_FALSE(aSocket.IsClosedByPeer());
    co_await aPeer.Write("x");
    co_await WaitUntil([&] { return aSocket.IsReadable(); });
    CHECK_FALSE(aSocket.IsClosedByPeer());
    aPeer.Close();
    co_await WaitUntil([&] { return aSocket.IsClosedByPeer(); });
    const error_code error = co_await ReadByte(aSocket);
    CHECK_FALSE(error);
  });
}

TEST_CASE("a socket tells how long ago its last bytes arrived, read or not")
{
  RunConnected([](TimedSocket& aSocket, RawPeer& aPeer) -> Task<void> {
    co_await aPeer.Write("a");
    co_await WaitUntil([&] { return aSocket.IsReadable(); });
    co_await WaitUntil([&] { return aSocket.TimeSinceLastBytes() >= 30ms; });
    co_await ReadByte(aSocket);
    CHECK(aSocket.TimeSinceLastBytes() >= 30ms);
    co_await aPeer.Write("b");
    co_await WaitUntil([&] { return aSocket.TimeSinceLastBytes() < 30ms; });
  });
}

} // namespace
} // namespace rattanweir
