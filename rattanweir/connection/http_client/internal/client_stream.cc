#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_client/internal/client_stream.h"
#include "rattanweir/connection/http_fields/http_fields.h"
#include "rattanweir/request/exchange/header_fields.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace rattanweir {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using ResponseParser = http::response_parser<http::buffer_body>;

// The read buffer starts small, because most streams deliver few bytes at a
// time, and doubles each time a read fills it.
constexpr std::size_t kFirstReadBytes = 4UL * 1024;
constexpr std::size_t kMaxReadBytes = 64UL * 1024;
// Informational (1xx) responses before the final one.
constexpr unsigned kMaxInformationalResponses = 16;

// Whether the request has a Content-Length. POST, PUT and PATCH have one even
// without a body.
bool
HasBody(const OutboundRequest& aRequest)
{
  if (aRequest.m_body && !aRequest.m_body->empty()) {
    return true;
  }
  return aRequest.m_method == "POST" || aRequest.m_method == "PUT" ||
         aRequest.m_method == "PATCH";
}

std::string
RequestHeader(const Endpoint& aEndpoint, const OutboundRequest& aRequest)
{
  http::request<http::empty_body> message;
  message.version(11);
  message.method_string(aRequest.m_method);
  message.target(aRequest.m_target);
  if (FindHeader(aRequest.m_headers, "host") == nullptr) {
    message.set(http::field::host, aEndpoint.ToString());
  }
  for (const HeaderField& field : aRequest.m_headers) {
    message.insert(field.m_name, field.m_value);
  }
  if (HasBody(aRequest)) {
    const std::size_t size = aRequest.m_body ? aRequest.m_body->size() : 0;
    message.set(http::field::content_length, std::to_string(size));
  }
  const http::fields::writer writer(
    message, message.version(), message.method());
  return beast::buffers_to_string(writer.get());
}

// Sets how long sent bytes may stay unacknowledged; 0 selects the system's
// default.
void
SetUnacknowledgedTimeout(tcp::socket& aSocket,
                         std::chrono::milliseconds aTimeout)
{
  const int value = static_cast<int>(aTimeout.count());
  ::setsockopt(aSocket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &value,
               sizeof value);
}

// Enables TCP keepalive probes, so that a server that vanished without closing
// the connection is detected before the request's deadline.
void
SetOptions(tcp::socket& aSocket, const TcpLivenessOptions& aLimits)
{
  ErrorCode ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const std::pair<int, int> options[] = {
    { TCP_KEEPIDLE, static_cast<int>(aLimits.m_probeAfter.count()) },
    { TCP_KEEPINTVL, static_cast<int>(aLimits.m_probeInterval.count()) },
    { TCP_KEEPCNT, aLimits.m_maxProbes },
  };
  for (const auto& [option, value] : options) {
    ::setsockopt(
      aSocket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
  }
  SetUnacknowledgedTimeout(aSocket, aLimits.m_unacknowledgedTimeout);
}

// Returns whether the kernel holds bytes that it could not send yet.
bool
HasUnsentBytes(tcp::socket& aSocket)
{
  int bytes = 0;
  return ::ioctl(aSocket.native_handle(), SIOCOUTQNSD, &bytes) == 0 &&
         bytes > 0;
}

bool
IsBrokenConnection(const ErrorCode& aError)
{
  return aError.category() == asio::error::get_system_category() ||
         aError == asio::error::eof || aError == http::error::end_of_stream ||
         aError == http::error::partial_message;
}

// Beast knows only some of these statuses by name.
bool
IsInformational(unsigned aStatus)
{
  constexpr unsigned kFirst = 100;
  constexpr unsigned kEnd = 200;
  return aStatus >= kFirst && aStatus < kEnd;
}

// The status codes of RFC 9110, section 15.
bool
IsStatusCode(unsigned aStatus)
{
  constexpr unsigned kFirst = 100;
  constexpr unsigned kEnd = 600;
  return aStatus >= kFirst && aStatus < kEnd;
}

// Returns whether a body, if there is one, has a transfer coding besides
// `chunked`, which this class does not decode.
bool
HasOtherCoding(const ResponseParser& aParser)
{
  const auto codings =
    aParser.get().equal_range(http::field::transfer_encoding);
  for (auto field = codings.first; field != codings.second; ++field) {
    if (!beast::iequals(field->value(), "chunked")) {
      return true;
    }
  }
  return std::distance(codings.first, codings.second) > 1;
}

HeaderFields
FieldsOf(const ResponseParser& aParser)
{
  HeaderFields fields;
  for (const auto& field : aParser.get()) {
    fields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  DropConnectionFields(fields);
  return fields;
}

} // namespace

struct ClientStream::State
{
  explicit State(const HttpUpstreamOptions& aOptions)
    : m_socket(tcp::socket(aOptions.m_executor))
    , m_headerBytes(static_cast<std::uint32_t>(aOptions.m_headerBytes.Value()))
    , m_acceptsCloseDelimited(aOptions.m_acceptsCloseDelimitedResponses)
    , m_tcpLiveness(aOptions.m_tcpLiveness)
    , m_buffer(std::max(kMaxReadBytes, std::size_t(m_headerBytes)))
  {
  }

  void StartParser()
  {
    m_parser.emplace();
    m_parser->header_limit(m_headerBytes);
    // Beast 1.74 treats `none` as a limit below every length.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_isHead);
  }

  TimedSocket m_socket;
  std::uint32_t m_headerBytes;
  bool m_acceptsCloseDelimited;
  TcpLivenessOptions m_tcpLiveness;
  beast::flat_buffer m_buffer;
  std::optional<ResponseParser> m_parser;
  std::size_t m_readBytes = kFirstReadBytes;
  bool m_isHead = false;
  // The server responded before it had read the entire request.
  bool m_isRequestTruncated = false;
  // A write has taken the error of the connection; later reads return what had
  // arrived and then end of stream.
  bool m_hasWriteFailed = false;
  // Bytes may stay unacknowledged for longer.
  bool m_isTimeoutLifted = false;
};

ClientStream::ClientStream(const HttpUpstreamOptions& aOptions)
  : m_state(std::make_unique<State>(aOptions))
{
}

ClientStream::~ClientStream() = default;

TimedSocket&
ClientStream::Socket()
{
  return m_state->m_socket;
}

Task<ErrorCode>
ClientStream::Connect(Endpoint aEndpoint)
{
  ErrorCode error;
  tcp::socket& socket = m_state->m_socket.Get();
  const tcp::endpoint endpoint = ToAsioEndpoint(aEndpoint);
  co_await socket.async_connect(
    endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    SetOptions(socket, m_state->m_tcpLiveness);
    socket.non_blocking(true, error);
  }
  co_return error;
}

Task<WriteOutcome>
ClientStream::WriteRequest(Endpoint aEndpoint, const OutboundRequest& aRequest)
{
  WriteOutcome outcome;
  m_state->m_isHead = aRequest.m_method == "HEAD";
  const std::string header = RequestHeader(aEndpoint, aRequest);
  const auto body = aRequest.m_body;
  std::array<asio::const_buffer, 2> rest = { asio::buffer(header),
                                             body ? asio::buffer(*body)
                                                  : asio::const_buffer() };
  while (!outcome.m_error && rest[0].size() + rest[1].size() > 0) {
    std::size_t written =
      m_state->m_socket.Get().write_some(rest, outcome.m_error);
    if (outcome.m_error == asio::error::would_block) {
      outcome.m_error = {};
      if (m_state->m_socket.HasExpired()) {
        outcome.m_error = asio::error::operation_aborted;
      } else if (!co_await WaitUntilWritable()) {
        m_state->m_isRequestTruncated = true;
        break;
      }
      continue;
    }
    outcome.m_bytesSent += written;
    for (asio::const_buffer& buffer : rest) {
      const std::size_t consumed = std::min(written, buffer.size());
      buffer += consumed;
      written -= consumed;
    }
  }
  m_state->m_hasWriteFailed = bool(outcome.m_error);
  co_return outcome;
}

// Returns false if the socket became readable before it became writable.
Task<bool>
ClientStream::WaitUntilWritable()
{
  struct Race
  {
    bool m_isOver = false;
    bool m_isReadable = false;
  };
  tcp::socket& socket = m_state->m_socket.Get();
  const auto race = std::make_shared<Race>();
  socket.async_wait(tcp::socket::wait_read,
                    [race, &socket](const ErrorCode& aError) {
                      if (!aError && !race->m_isOver) {
                        race->m_isReadable = true;
                        socket.cancel();
                      }
                    });
  ErrorCode error;
  co_await socket.async_wait(tcp::socket::wait_write,
                             asio::redirect_error(asio::use_awaitable, error));
  race->m_isOver = true;
  if (!race->m_isReadable) {
    socket.cancel(error);
  }
  co_return !race->m_isReadable;
}

Task<HeadOutcome>
ClientStream::ReadHead()
{
  HeadOutcome outcome;
  State& state = *m_state;
  state.m_buffer.reserve(kFirstReadBytes);
  state.StartParser();
  unsigned informational = 0;
  do {
    if (state.m_parser->is_header_done()) {
      // Skips an informational response.
      state.StartParser();
      if (++informational > kMaxInformationalResponses) {
        outcome.m_error = http::error::header_limit;
        break;
      }
    }
    co_await http::async_read_header(
      state.m_socket.Get(),
      state.m_buffer,
      *state.m_parser,
      asio::redirect_error(asio::use_awaitable, outcome.m_error));
  } while (!outcome.m_error &&
           IsInformational(state.m_parser->get().result_int()) &&
           state.m_parser->get().result() != http::status::switching_protocols);
  if (outcome.m_error) {
    if (!IsBrokenConnection(outcome.m_error)) {
      outcome.m_fault = outcome.m_error.message();
    }
    co_return outcome;
  }
  outcome.m_fault = FaultOfHead();
  if (!outcome.m_fault.empty()) {
    co_return outcome;
  }
  // A server that responds before it has read the body acknowledges that it has
  // no room for more; the timeout would end the response.
  if (HasUnsentBytes(state.m_socket.Get())) {
    state.m_isTimeoutLifted = true;
    SetUnacknowledgedTimeout(state.m_socket.Get(), {});
  }
  const ResponseParser& parser = *state.m_parser;
  outcome.m_head.m_isCloseDelimited = !parser.is_done() && parser.need_eof();
  outcome.m_head.m_status = parser.get().result_int();
  outcome.m_head.m_headers = FieldsOf(parser);
  if (const auto length = parser.content_length()) {
    outcome.m_head.m_contentLength = *length;
  }
  co_return outcome;
}

std::string
ClientStream::FaultOfHead() const
{
  const ResponseParser& parser = *m_state->m_parser;
  const unsigned status = parser.get().result_int();
  if (!IsStatusCode(status)) {
    return "status " + std::to_string(status);
  }
  if (parser.get().result() == http::status::switching_protocols) {
    return "a protocol switch that was not requested";
  }
  if (HasOtherCoding(parser)) {
    return "a transfer coding other than chunked";
  }
  if (parser.is_done() || !parser.need_eof()) {
    return {};
  }
  if (!m_state->m_acceptsCloseDelimited) {
    return "neither Content-Length nor chunked encoding";
  }
  return m_state->m_hasWriteFailed
           ? "no length, on a connection that broke as the request was written"
           : "";
}

Task<ChunkOutcome>
ClientStream::ReadChunk()
{
  ChunkOutcome outcome;
  State& state = *m_state;
  while (!state.m_parser->is_done()) {
    state.m_buffer.reserve(state.m_readBytes);
    outcome.m_chunk.resize(state.m_readBytes);
    auto& body = state.m_parser->get().body();
    body.data = outcome.m_chunk.data();
    body.size = outcome.m_chunk.size();
    body.more = true;
    co_await http::async_read_some(
      state.m_socket.Get(),
      state.m_buffer,
      *state.m_parser,
      asio::redirect_error(asio::use_awaitable, outcome.m_error));
    if (outcome.m_error == http::error::need_buffer) {
      outcome.m_error = {};
    }
    const std::size_t count = state.m_readBytes - body.size;
    body.data = nullptr;
    if (count == state.m_readBytes) {
      state.m_readBytes = std::min(kMaxReadBytes, 2 * state.m_readBytes);
    }
    outcome.m_chunk.resize(count);
    if (count > 0 || outcome.m_error) {
      break;
    }
  }
  outcome.m_chunk.shrink_to_fit();
  co_return outcome;
}

bool
ClientStream::IsComplete() const
{
  return m_state->m_parser && m_state->m_parser->is_done() &&
         !(m_state->m_parser->need_eof() && m_state->m_hasWriteFailed);
}

bool
ClientStream::IsReusable() const
{
  return IsComplete() && m_state->m_parser->keep_alive() &&
         !m_state->m_parser->need_eof() && !m_state->m_isRequestTruncated &&
         m_state->m_buffer.size() == 0;
}

void
ClientStream::Reset()
{
  if (std::exchange(m_state->m_isTimeoutLifted, false)) {
    SetUnacknowledgedTimeout(m_state->m_socket.Get(),
                             m_state->m_tcpLiveness.m_unacknowledgedTimeout);
  }
  m_state->m_parser.reset();
  m_state->m_buffer.clear();
  m_state->m_buffer.shrink_to_fit();
  m_state->m_readBytes = kFirstReadBytes;
}

} // namespace rattanweir
