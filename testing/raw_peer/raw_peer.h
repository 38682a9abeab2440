// Raw TCP peer that gives contract tests control over each byte.
//
//   asio::io_context context;
//   RunTask(context, [&]() -> Task<void> {
//     RawPeer caller = co_await RawPeer::Connect(context, endpoint);
//     co_await caller.Write("GET / HTTP/1.1\r\n\r\n");
//     const std::string response = co_await caller.ReadToEnd();
//     REQUIRE(response == "...");
//   });
//
// Catch2 macros expand their argument twice, so co_await must not be used in
// one.

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

// Connection that a test reads and writes directly. Not thread-safe.
class RawPeer
{
public:
  explicit RawPeer(asio::ip::tcp::socket aSocket);

  static Task<RawPeer> Connect(asio::io_context& aContext, Endpoint aEndpoint);

  // Throws boost::system::system_error if the connection is closed or reset.
  Task<void> Write(std::string aText);
  // Reads until the text is received, and returns all bytes up to its end.
  // Bytes after the text remain for the next call. If the stream ends first,
  // returns all bytes that were received.
  Task<std::string> ReadUntil(std::string aText);
  Task<std::string> ReadToEnd();

  // Writes the text and closes the connection at once: nothing else of this
  // thread runs in between.
  void WriteAndClose(const std::string& aText);
  // The same with a TCP reset.
  void WriteAndReset(const std::string& aText);

  // Close the connection gracefully, or with a TCP reset.
  void Close();
  void Reset();

  // Returns whether the last ReadUntil() or ReadToEnd() ended with an error
  // other than end of stream, such as a reset.
  bool WasReset() const { return m_wasReset; }

private:
  asio::ip::tcp::socket m_socket;
  std::string m_unread;
  bool m_wasReset = false;
};

// Listens on a free port of the loopback address.
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

// Connects, writes the text and closes the connection at once, while nothing
// else of this thread runs.
void
SendAndLeave(const Endpoint& aEndpoint, const std::string& aText);

// Runs the context until the task has completed, and rethrows its exception.
// Throws std::runtime_error if the task does not complete within 20 s, which is
// longer than any correct run.
void
RunTask(asio::io_context& aContext, std::function<Task<void>()> aTask);

// Runs other tasks until the condition holds. Throws std::runtime_error if the
// condition does not hold within 20 s, which is longer than any correct run.
Task<void>
WaitUntil(std::function<bool()> aCondition);

} // namespace rattanweir
