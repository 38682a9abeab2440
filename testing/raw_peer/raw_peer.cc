#include "rattanweir/base/asio/asio.h"

#include "testing/raw_peer/raw_peer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <optional>
#include <utility>

namespace rattanweir {
namespace {

using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kTaskTimeout = std::chrono::seconds(20);
constexpr std::size_t kReadBytes = 4096;

} // namespace

RawPeer::RawPeer(tcp::socket aSocket)
  : m_socket(std::move(aSocket))
{
}

Task<RawPeer>
RawPeer::Connect(asio::io_context& aContext, Endpoint aEndpoint)
{
  tcp::socket socket(aContext);
  const tcp::endpoint endpoint(asio::ip::make_address(aEndpoint.m_address),
                               aEndpoint.m_port);
  co_await socket.async_connect(endpoint, asio::use_awaitable);
  socket.set_option(tcp::no_delay(true));
  co_return RawPeer(std::move(socket));
}

Task<void>
RawPeer::Write(std::string aText)
{
  co_await asio::async_write(
    m_socket, asio::buffer(aText), asio::use_awaitable);
}

Task<std::string>
RawPeer::ReadUntil(std::string aText)
{
  error_code error;
  std::array<char, kReadBytes> bytes{};
  while (m_unread.find(aText) == std::string::npos && !error) {
    const std::size_t count = co_await m_socket.async_read_some(
      asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    m_unread.append(bytes.data(), count);
  }
  m_wasReset = error && error != asio::error::eof;
  const std::size_t found = m_unread.find(aText);
  if (found == std::string::npos) {
    co_return std::exchange(m_unread, {});
  }
  std::string match = m_unread.substr(0, found + aText.size());
  m_unread.erase(0, match.size());
  co_return match;
}

Task<std::string>
RawPeer::ReadToEnd()
{
  error_code error;
  std::string text = std::exchange(m_unread, {});
  co_await asio::async_read(m_socket,
                            asio::dynamic_buffer(text),
                            asio::redirect_error(asio::use_awaitable, error));
  m_wasReset = error && error != asio::error::eof;
  co_return text;
}

void
RawPeer::WriteAndClose(const std::string& aText)
{
  asio::write(m_socket, asio::buffer(aText));
  m_socket.close();
}

void
RawPeer::WriteAndReset(const std::string& aText)
{
  asio::write(m_socket, asio::buffer(aText));
  Reset();
}

void
RawPeer::Close()
{
  m_socket.close();
}

void
RawPeer::Reset()
{
  m_socket.set_option(asio::socket_base::linger(true, 0));
  m_socket.close();
}

RawListener::RawListener(asio::io_context& aContext)
  : m_acceptor(aContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
}

Endpoint
RawListener::LocalEndpoint() const
{
  return Endpoint{ .m_address = "127.0.0.1",
                   .m_port = m_acceptor.local_endpoint().port() };
}

Task<RawPeer>
RawListener::Accept()
{
  tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
  socket.set_option(tcp::no_delay(true));
  co_return RawPeer(std::move(socket));
}

void
SendAndLeave(const Endpoint& aEndpoint, const std::string& aText)
{
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(
    { asio::ip::make_address(aEndpoint.m_address), aEndpoint.m_port });
  asio::write(socket, asio::buffer(aText));
}

void
RunTask(asio::io_context& aContext, std::function<Task<void>()> aTask)
{
  std::optional<std::exception_ptr> end;
  asio::co_spawn(aContext, aTask, [&](const std::exception_ptr& aError) {
    end.emplace(aError);
  });
  aContext.restart();
  const auto deadline = std::chrono::steady_clock::now() + kTaskTimeout;
  while (!end && std::chrono::steady_clock::now() < deadline) {
    aContext.run_one_until(deadline);
  }
  if (!end) {
    throw std::runtime_error("task did not complete before its timeout");
  }
  if (*end) {
    std::rethrow_exception(*end);
  }
}

Task<void>
WaitUntil(std::function<bool()> aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + kTaskTimeout;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("condition did not hold before the timeout");
    }
    timer.expires_after(std::chrono::milliseconds(1));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

} // namespace rattanweir
