// The other end of a connection, byte for byte, for contract tests.
//
//   asio::io_context context;
//   RunTask(context, [&]() -> Task<void> {
//     RawPeer caller = co_await RawPeer::Connect(context, endpoint);
//     co_await caller.Write("GET / HTTP/1.1\r\n\r\n");
//     const std::string answer = co_await caller.ReadToEnd();
//     REQUIRE(answer == "...");
//   });
//
// A Catch2 macro names its expression twice, so no co_await goes into one.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/endpoint/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <exception>
#include <functional>
#include <stdexcept>
#include <string>

namespace rattanweir {

// One connection that a test reads and writes by itself.
class RawPeer
{
public:
  explicit RawPeer(asio::ip::tcp::socket aSocket);

  static Task<RawPeer> Connect(asio::io_context& aContext, Endpoint aEndpoint);

  // Throws boost::system::system_error if the connection is broken.
  Task<void> Write(std::string aText);
  // Reads until the text has come, and returns all up to its end. What came
  // after it stays for the next call. At the end of the stream it returns what
  // there is.
  Task<std::string> ReadUntil(std::string aText);
  Task<std::string> ReadToEnd();

  // Ends the stream, or breaks the connection with a reset.
  void Close();
  void Reset();

  // Whether ReadUntil or ReadToEnd met a reset.
  bool WasReset() const { return m_wasReset; }

private:
  asio::ip::tcp::socket m_socket;
  std::string m_unread;
  bool m_wasReset = false;
};

// A listener on a free port of the loopback address.
class RawListener
{
public:
  explicit RawListener(asio::io_context& aContext);

  Endpoint LocalEndpoint() const;
  Task<RawPeer> Accept();
  void Close() { m_acceptor.close(); }

private:
  asio::ip::tcp::acceptor m_acceptor;
};

// Runs the context until the task has ended, and throws what it threw. Throws
// std::runtime_error if it takes longer than any correct run.
void
RunTask(asio::io_context& aContext, std::function<Task<void>()> aTask);

// Lets other tasks run until the condition holds. Throws std::runtime_error if
// it takes longer than any correct run.
Task<void>
WaitUntil(std::function<bool()> aCondition);

} // namespace rattanweir
