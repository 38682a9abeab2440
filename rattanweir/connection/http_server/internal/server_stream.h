// One accepted connection and the HTTP on it. The only file of this package
// that instantiates Beast.

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

// How a request's header or body came in.
enum class ReadResult
{
  Complete,
  // The caller closed the connection; there is no one to answer.
  CallerDisconnected,
  TooSlow,
  TooLarge,
  Malformed,
};

// What the header says of the request.
struct RequestFrame
{
  std::string m_method;
  std::string m_target;
  HeaderFields m_headers;
  // The most bytes that its body can have.
  std::uint64_t m_bodyBytes = 0;
  // It comes in chunks.
  bool m_isLengthUnknown = false;
  // The caller waits for a word before it sends the body.
  bool m_expectsContinue = false;
  // It has an expectation that can't be met.
  bool m_expectsOther = false;
  bool m_keepsAlive = false;
};

// How the body of an answer is marked off.
enum class Framing
{
  Chunked,
  Length,
  // No body follows, whatever the header says.
  None,
};

// Buffers that go out in one write; they must outlive it.
using Buffers = std::vector<asio::const_buffer>;

class ServerStream
{
public:
  ServerStream(asio::ip::tcp::socket aSocket, const CallerLimits& aLimits);
  ~ServerStream();
  ServerStream(const ServerStream&) = delete;
  ServerStream& operator=(const ServerStream&) = delete;

  TimedSocket& Socket();

  // Waits for the first bytes of a request. Holds little memory meanwhile.
  // False if none came in that time or the caller left.
  Task<bool> WaitForRequest(std::chrono::nanoseconds aTimeout);

  // Reads one request: the header, then the body. The read timeout runs over
  // both from the start of the first.
  Task<ReadResult> ReadHeader(RequestFrame& aFrame);
  Task<ReadResult> ReadBody(std::string& aBody);

  // Writes all. The timeout runs anew after each byte taken.
  Task<ErrorCode> Write(Buffers aBuffers);

  // Ends the sending side and reads on for a bounded time, so that closing
  // with unread bytes does not reset the connection under the last answer.
  Task<void> Linger();

private:
  struct State;
  std::unique_ptr<State> m_state;
};

// The header of an answer as bytes.
std::string
FormatResponseHead(const ResponseHead& aHead,
                   Framing aFraming,
                   bool aKeepsAlive);

// The marks around a chunk of that size, and after the last one.
std::string
ChunkStart(std::size_t aSize);
std::string
ChunkEnd();
std::string
LastChunk();

} // namespace rattanweir
