// HTTP over one accepted connection. Only server_stream.cc instantiates Beast
// in this package.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/timed_socket/timed_socket.h"
#include "rattanweir/process/settings/settings.h"
#include "rattanweir/request/exchange/exchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanweir {

using ErrorCode = boost::system::error_code;

// Result of reading a request's header or body.
enum class ReadResult
{
  Complete,
  // The caller closed the connection, so no response can be sent.
  CallerDisconnected,
  TooSlow,
  TooLarge,
  Malformed,
};

// A parsed request header.
struct RequestFrame
{
  std::string m_method;
  std::string m_target;
  HeaderFields m_headers;
  // Upper bound of the body size: the Content-Length, or the limit for a
  // chunked body.
  std::uint64_t m_bodyBytes = 0;
  // The body is chunked.
  bool m_isLengthUnknown = false;
  // The caller waits for `100 Continue` before it sends the body.
  bool m_expectsContinue = false;
  // The Expect field holds an unsupported expectation.
  bool m_expectsOther = false;
  bool m_keepsAlive = false;
};

// How the end of a response body is determined.
enum class Framing
{
  Chunked,
  Length,
  // No body follows, regardless of the header.
  None,
};

// Buffers sent in one write. Their memory must outlive the write.
using Buffers = std::vector<asio::const_buffer>;

class ServerStream
{
public:
  ServerStream(asio::ip::tcp::socket aSocket, const CallerLimits& aLimits);
  ~ServerStream();
  ServerStream(const ServerStream&) = delete;
  ServerStream& operator=(const ServerStream&) = delete;

  TimedSocket& Socket();

  // Waits for the first bytes of a request, with a small buffer. Returns false
  // on timeout or if the caller closed the connection.
  Task<bool> WaitForRequest(std::chrono::nanoseconds aTimeout);

  // Read one request: the header, then the body. The read timeout starts with
  // ReadHeader and covers both.
  Task<ReadResult> ReadHeader(RequestFrame& aFrame);
  Task<ReadResult> ReadBody(std::string& aBody);

  // Writes all buffers. The write timeout restarts whenever bytes were written.
  Task<ErrorCode> Write(Buffers aBuffers);

  // Lifts the limit on unsent bytes in the kernel and enlarges its send buffer,
  // as far as the system allows.
  void LiftUnsentLimit();

  // Shuts down the sending side and discards input for a bounded time. Closing
  // a socket with unread bytes would reset the connection and could lose the
  // last response.
  Task<void> Linger();

private:
  struct State;
  std::unique_ptr<State> m_state;
};

// Serializes a response header.
std::string
FormatResponseHead(const ResponseHead& aHead,
                   Framing aFraming,
                   bool aKeepsAlive);

// Return the bytes before a chunk of `aSize` bytes, after a chunk, and after
// the last chunk.
std::string
ChunkStart(std::size_t aSize);
std::string
ChunkEnd();
std::string
LastChunk();

} // namespace rattanweir
