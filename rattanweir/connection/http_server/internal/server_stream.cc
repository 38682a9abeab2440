#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_fields/http_fields.h"
#include "rattanweir/connection/http_server/internal/server_stream.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rattanweir {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using RequestParser = http::request_parser<http::string_body>;

// Read buffer of an idle connection, for the first bytes of its next request.
constexpr std::size_t kIdleReadBytes = 1024;
constexpr std::size_t kBodyReadBytes = 16UL * 1024;
// Limit on unsent bytes in the kernel's send buffer of one connection.
constexpr int kMaxUnsentBytes = 64 * 1024;
// Size that LiftUnsentLimit requests for a send buffer below kSmallSendBuffer.
// The system grants less, but at least that, unless it is set up for less.
constexpr int kHandOverBytes = 2 * 1024 * 1024;
constexpr int kSmallSendBuffer = 2 * 212'992;
// Limits on the input that Linger discards before it closes a connection.
constexpr auto kLingerTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxLingerBytes = 16UL * 1024 * 1024;

void
SetTcpOption(tcp::socket& aSocket, int aOption, int aValue)
{
  ::setsockopt(
    aSocket.native_handle(), IPPROTO_TCP, aOption, &aValue, sizeof aValue);
}

bool
IsParseError(const ErrorCode& aError)
{
  return aError.category() ==
         make_error_code(http::error::bad_method).category();
}

bool
IsTooLarge(const ErrorCode& aError)
{
  return aError == http::error::header_limit ||
         aError == http::error::body_limit ||
         aError == http::error::buffer_overflow;
}

} // namespace

struct ServerStream::State
{
  State(tcp::socket aSocket, const CallerLimits& aLimits)
    : m_socket(std::move(aSocket))
    , m_limits(aLimits)
    , m_buffer(aLimits.m_headerBytes.Value() + kBodyReadBytes)
  {
  }

  ReadResult ResultOf(const ErrorCode& aError) const
  {
    if (!aError) {
      return ReadResult::Complete;
    }
    if (m_socket.HasExpired()) {
      return ReadResult::TooSlow;
    }
    if (IsTooLarge(aError)) {
      return ReadResult::TooLarge;
    }
    const bool isTruncated = aError == http::error::end_of_stream ||
                             aError == http::error::partial_message;
    return IsParseError(aError) && !isTruncated
             ? ReadResult::Malformed
             : ReadResult::CallerDisconnected;
  }

  RequestFrame Frame() const;

  TimedSocket m_socket;
  CallerLimits m_limits;
  beast::flat_buffer m_buffer;
  std::optional<RequestParser> m_parser;
};

RequestFrame
ServerStream::State::Frame() const
{
  const auto& message = m_parser->get();
  RequestFrame frame{ .m_method = std::string(message.method_string()),
                      .m_target = std::string(message.target()),
                      .m_keepsAlive = message.keep_alive() };
  for (const auto& field : message) {
    frame.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  if (const auto length = m_parser->content_length()) {
    frame.m_bodyBytes = *length;
  } else if (m_parser->chunked()) {
    frame.m_bodyBytes = m_limits.m_bodyBytes.Value();
    frame.m_isLengthUnknown = true;
  }
  const auto expectation = message[http::field::expect];
  frame.m_expectsContinue = beast::iequals(expectation, "100-continue");
  frame.m_expectsOther = !expectation.empty() && !frame.m_expectsContinue;
  DropConnectionFields(frame.m_headers);
  return frame;
}

ServerStream::ServerStream(tcp::socket aSocket, const CallerLimits& aLimits)
  : m_state(std::make_unique<State>(std::move(aSocket), aLimits))
{
  tcp::socket& socket = m_state->m_socket.Get();
  ErrorCode ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  const auto timeout =
    std::chrono::ceil<std::chrono::milliseconds>(aLimits.m_writeTimeout);
  SetTcpOption(socket, TCP_NOTSENT_LOWAT, kMaxUnsentBytes);
  // Detects a caller that vanished without closing the connection: bytes in
  // the kernel's send buffer would otherwise count as delivered.
  SetTcpOption(socket, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

ServerStream::~ServerStream() = default;

TimedSocket&
ServerStream::Socket()
{
  return m_state->m_socket;
}

Task<bool>
ServerStream::WaitForRequest(std::chrono::nanoseconds aTimeout)
{
  State& state = *m_state;
  state.m_parser.reset();
  if (state.m_buffer.size() > 0) {
    co_return true;
  }
  state.m_buffer.clear();
  state.m_buffer.shrink_to_fit();
  state.m_socket.ExpireAfter(aTimeout);
  ErrorCode error;
  const std::size_t count = co_await state.m_socket.Get().async_read_some(
    state.m_buffer.prepare(kIdleReadBytes),
    asio::redirect_error(asio::use_awaitable, error));
  state.m_buffer.commit(count);
  co_return count > 0;
}

Task<ReadResult>
ServerStream::ReadHeader(RequestFrame& aFrame)
{
  State& state = *m_state;
  state.m_parser.emplace();
  state.m_parser->header_limit(
    static_cast<std::uint32_t>(state.m_limits.m_headerBytes.Value()));
  // The caller of ReadHeader checks RequestFrame::m_bodyBytes. A limit here
  // would fail the parse before the frame is available.
  state.m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  state.m_socket.ExpireAfter(state.m_limits.m_readTimeout);
  ErrorCode error;
  co_await http::async_read_header(
    state.m_socket.Get(),
    state.m_buffer,
    *state.m_parser,
    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return state.ResultOf(error);
  }
  constexpr unsigned kHttp11 = 11;
  aFrame = state.Frame();
  // HTTP/1.0 has no chunked encoding, so a caller can't distinguish a complete
  // response from a truncated one.
  const bool isSupported = state.m_parser->get().version() == kHttp11 &&
                           aFrame.m_target.starts_with('/');
  co_return isSupported ? ReadResult::Complete : ReadResult::Malformed;
}

Task<ReadResult>
ServerStream::ReadBody(std::string& aBody)
{
  State& state = *m_state;
  state.m_parser->body_limit(state.m_limits.m_bodyBytes.Value());
  ErrorCode error;
  if (!state.m_parser->is_done()) {
    state.m_buffer.reserve(kBodyReadBytes);
    co_await http::async_read(state.m_socket.Get(),
                              state.m_buffer,
                              *state.m_parser,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  const ReadResult result = state.ResultOf(error);
  state.m_socket.ExpireNever();
  if (result == ReadResult::Complete) {
    aBody = std::move(state.m_parser->get().body());
    state.m_parser.reset();
    state.m_buffer.shrink_to_fit();
  }
  co_return result;
}

Task<ErrorCode>
ServerStream::Write(Buffers aBuffers)
{
  TimedSocket& socket = m_state->m_socket;
  ErrorCode error;
  std::size_t left = asio::buffer_size(aBuffers);
  bool hasWaited = false;
  while (!error && left > 0) {
    // Usually the kernel accepts all bytes at once and no timer is needed.
    std::size_t written = socket.Get().write_some(aBuffers, error);
    if (error == asio::error::would_block) {
      hasWaited = true;
      socket.ExpireAfter(m_state->m_limits.m_writeTimeout);
      co_await socket.Get().async_wait(
        tcp::socket::wait_write,
        asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    left -= written;
    for (asio::const_buffer& buffer : aBuffers) {
      const std::size_t consumed = std::min(written, buffer.size());
      buffer += consumed;
      written -= consumed;
    }
  }
  if (!error && hasWaited) {
    socket.ExpireNever();
  }
  co_return error;
}

void
ServerStream::LiftUnsentLimit()
{
  tcp::socket& socket = m_state->m_socket.Get();
  ErrorCode error;
  asio::socket_base::send_buffer_size size;
  socket.get_option(size, error);
  // The kernel no longer enlarges a buffer whose size was set.
  if (!error && size.value() < kSmallSendBuffer) {
    socket.set_option(asio::socket_base::send_buffer_size(kHandOverBytes),
                      error);
  }
  SetTcpOption(socket, TCP_NOTSENT_LOWAT, std::numeric_limits<int>::max());
}

Task<void>
ServerStream::Linger()
{
  TimedSocket& socket = m_state->m_socket;
  ErrorCode error;
  socket.Get().shutdown(tcp::socket::shutdown_send, error);
  socket.ExpireAfter(kLingerTimeout);
  std::array<char, kIdleReadBytes> ignored{};
  std::size_t left = kMaxLingerBytes;
  while (!error && left > 0) {
    const std::size_t count = co_await socket.Get().async_read_some(
      asio::buffer(ignored), asio::redirect_error(asio::use_awaitable, error));
    left -= std::min(left, count);
  }
  socket.Close();
}

std::string
FormatResponseHead(const ResponseHead& aHead,
                   Framing aFraming,
                   bool aKeepsAlive)
{
  http::response<http::empty_body> message;
  message.version(11);
  message.result(aHead.m_status);
  for (const HeaderField& field : aHead.m_headers) {
    message.insert(field.m_name, field.m_value);
  }
  if (aHead.m_contentLength && aFraming != Framing::Chunked) {
    message.set(http::field::content_length,
                std::to_string(*aHead.m_contentLength));
  }
  if (aFraming == Framing::Chunked) {
    message.set(http::field::transfer_encoding, "chunked");
  }
  if (!aKeepsAlive) {
    message.set(http::field::connection, "close");
  }
  const http::fields::writer writer(
    message, message.version(), message.result_int());
  return beast::buffers_to_string(writer.get());
}

std::string
ChunkStart(std::size_t aSize)
{
  return beast::buffers_to_string(http::chunk_header(aSize));
}

std::string
ChunkEnd()
{
  return "\r\n";
}

std::string
LastChunk()
{
  return beast::buffers_to_string(http::make_chunk_last());
}

} // namespace rattanweir
