#include "testing/http/http.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace rattanweir::testing {

namespace beast = boost::beast;
namespace http = beast::http;
using ErrorCode = beast::error_code;
using namespace std::chrono_literals;

// Socket with a timeout for each wait. Models the SyncReadStream and
// SyncWriteStream requirements of Beast.
class FdStream
{
public:
  FdStream(int aFd, std::chrono::nanoseconds aTimeout)
    : m_fd(aFd)
    , m_timeout(aTimeout)
  {
    const int on = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~FdStream() { ::close(m_fd); }
  FdStream(const FdStream&) = delete;
  FdStream& operator=(const FdStream&) = delete;

  bool Wait(short aEvents, std::chrono::nanoseconds aTimeout) const
  {
    pollfd entry{ .fd = m_fd, .events = aEvents, .revents = 0 };
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(aTimeout);
    return ::poll(&entry, 1, static_cast<int>(wait.count())) > 0;
  }

  void ShutDown() const { ::shutdown(m_fd, SHUT_RDWR); }

  // Beast requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  template<class Buffers>
  std::size_t read_some(const Buffers& aBuffers, ErrorCode& aError)
  {
    if (!Wait(POLLIN, m_timeout)) {
      aError = make_error_code(beast::error::timeout);
      return 0;
    }
    const boost::asio::mutable_buffer buffer =
      *boost::asio::buffer_sequence_begin(aBuffers);
    const ssize_t count = ::recv(m_fd, buffer.data(), buffer.size(), 0);
    if (count == 0) {
      aError = boost::asio::error::eof;
      return 0;
    }
    return ToResult(count, aError);
  }

  template<class Buffers>
  std::size_t write_some(const Buffers& aBuffers, ErrorCode& aError)
  {
    for (auto it = boost::asio::buffer_sequence_begin(aBuffers);
         it != boost::asio::buffer_sequence_end(aBuffers);
         ++it) {
      const boost::asio::const_buffer buffer = *it;
      if (buffer.size() == 0) {
        continue;
      }
      if (!Wait(POLLOUT, m_timeout)) {
        aError = make_error_code(beast::error::timeout);
        return 0;
      }
      return ToResult(::send(m_fd, buffer.data(), buffer.size(), MSG_NOSIGNAL),
                      aError);
    }
    aError = {};
    return 0;
  }

  template<class Buffers>
  std::size_t read_some(const Buffers& aBuffers)
  {
    ErrorCode error;
    return ThrowOnError(read_some(aBuffers, error), error);
  }

  template<class Buffers>
  std::size_t write_some(const Buffers& aBuffers)
  {
    ErrorCode error;
    return ThrowOnError(write_some(aBuffers, error), error);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  static std::size_t ToResult(ssize_t aCount, ErrorCode& aError)
  {
    if (aCount >= 0) {
      aError = {};
      return static_cast<std::size_t>(aCount);
    }
    aError = ErrorCode(errno, boost::system::system_category());
    return 0;
  }

  static std::size_t ThrowOnError(std::size_t aCount, const ErrorCode& aError)
  {
    if (aError) {
      throw HttpError(aError.message());
    }
    return aCount;
  }

  int m_fd;
  std::chrono::nanoseconds m_timeout;
};

namespace {

constexpr auto kServerTimeout = 10min;
constexpr int kBacklog = 1024;
constexpr std::uint64_t kMaxBodyBytes = 64ULL * 1024 * 1024;

sockaddr_in
ToSocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.m_port);
  ::inet_pton(AF_INET, aEndpoint.m_address.c_str(), &address.sin_addr);
  return address;
}

template<class Fields>
HttpFields
CopyFields(const Fields& aFields)
{
  HttpFields copy;
  for (const auto& field : aFields) {
    copy.push_back({ .m_name = std::string(field.name_string()),
                     .m_value = std::string(field.value()) });
  }
  return copy;
}

std::string
FormatResponseHead(unsigned aStatus, const HttpFields& aHeaders)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aStatus) + " " +
    std::string(http::obsolete_reason(http::int_to_status(aStatus))) + "\r\n";
  for (const HttpField& field : aHeaders) {
    text += field.m_name + ": " + field.m_value + "\r\n";
  }
  return text + "\r\n";
}

void
ServeConnection(int aFd, const HttpHandler& aHandler)
{
  FdStream stream(aFd, kServerTimeout);
  beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    ErrorCode error;
    http::read(stream, buffer, parser, error);
    if (error) {
      return;
    }
    const auto& message = parser.get();
    const HttpRequest request{ .m_method = std::string(message.method_string()),
                               .m_target = std::string(message.target()),
                               .m_headers = CopyFields(message),
                               .m_body = message.body() };
    HttpResponder responder(stream);
    try {
      aHandler(request, responder);
    } catch (const HttpError&) {
      return;
    }
    if (responder.IsAborted() || !parser.keep_alive()) {
      return;
    }
  }
}

} // namespace

std::string
FieldOf(const HttpFields& aFields, std::string_view aName)
{
  for (const HttpField& field : aFields) {
    if (beast::iequals(field.m_name,
                       beast::string_view(aName.data(), aName.size()))) {
      return field.m_value;
    }
  }
  return {};
}

void
HttpResponder::Respond(unsigned aStatus,
                       HttpFields aHeaders,
                       const std::string& aBody)
{
  aHeaders.push_back(
    { .m_name = "content-length", .m_value = std::to_string(aBody.size()) });
  WriteRaw(FormatResponseHead(aStatus, aHeaders) + aBody);
}

void
HttpResponder::StartStream(unsigned aStatus, const HttpFields& aHeaders)
{
  HttpFields headers = aHeaders;
  headers.push_back({ .m_name = "transfer-encoding", .m_value = "chunked" });
  WriteRaw(FormatResponseHead(aStatus, headers));
}

void
HttpResponder::WriteChunk(std::string_view aChunk)
{
  ErrorCode error;
  const auto buffer = boost::asio::buffer(aChunk.data(), aChunk.size());
  boost::asio::write(m_stream, http::make_chunk(buffer), error);
  if (error) {
    throw HttpError(error.message());
  }
}

void
HttpResponder::FinishStream()
{
  WriteRaw("0\r\n\r\n");
}

void
HttpResponder::WriteRaw(std::string_view aBytes)
{
  ErrorCode error;
  const auto buffer = boost::asio::buffer(aBytes.data(), aBytes.size());
  boost::asio::write(m_stream, buffer, error);
  if (error) {
    throw HttpError(error.message());
  }
}

bool
HttpResponder::WaitForPeerClose(std::chrono::nanoseconds aDuration)
{
  return m_stream.Wait(POLLRDHUP, aDuration);
}

HttpListener::HttpListener(std::uint16_t aPort)
  : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address =
    ToSocketAddress({ .m_address = "127.0.0.1", .m_port = aPort });
  if (::bind(m_fd,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(m_fd, kBacklog) != 0) {
    throw HttpError("cannot listen on port " + std::to_string(aPort));
  }
}

HttpListener::~HttpListener()
{
  ::close(m_fd);
}

Endpoint
HttpListener::Address() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
  return { .m_address = "127.0.0.1", .m_port = ntohs(address.sin_port) };
}

void
HttpListener::Serve(const HttpHandler& aHandler)
{
  for (;;) {
    const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      std::thread([fd, &aHandler] { ServeConnection(fd, aHandler); }).detach();
    }
  }
}

struct HttpConnection::State
{
  State(int aFd, std::chrono::nanoseconds aTimeout)
    : m_stream(aFd, aTimeout)
  {
  }

  FdStream m_stream;
  beast::flat_buffer m_buffer;
};

HttpConnection::HttpConnection(const Endpoint& aEndpoint,
                               std::chrono::nanoseconds aTimeout)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  m_state = std::make_unique<State>(fd, aTimeout);
  const sockaddr_in address = ToSocketAddress(aEndpoint);
  if (::connect(fd,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    throw HttpError("cannot connect to " + aEndpoint.ToString() + ": " +
                    std::generic_category().message(errno));
  }
}

HttpConnection::~HttpConnection() = default;

HttpResponse
HttpConnection::Send(const HttpRequest& aRequest, const OnBody& aOnBody)
{
  http::request<http::string_body> message;
  message.method_string(aRequest.m_method);
  message.target(aRequest.m_target);
  message.set(http::field::host, "rattanweir");
  for (const HttpField& field : aRequest.m_headers) {
    message.insert(field.m_name, field.m_value);
  }
  message.body() = aRequest.m_body;
  message.prepare_payload();

  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  ErrorCode error;
  http::write(m_state->m_stream, message, error);
  if (!error) {
    http::read_header(m_state->m_stream, m_state->m_buffer, parser, error);
  }
  bool keepsReading = true;
  while (!error && !parser.is_done() && keepsReading) {
    const std::size_t before = parser.get().body().size();
    http::read_some(m_state->m_stream, m_state->m_buffer, parser, error);
    if (aOnBody && parser.get().body().size() > before) {
      keepsReading = aOnBody(parser.get().body());
    }
  }
  m_isOpen = !error && keepsReading && parser.is_done() && parser.keep_alive();
  if (!m_isOpen) {
    m_state->m_stream.ShutDown();
  }
  if (!parser.is_header_done()) {
    return {};
  }
  return { .m_status = parser.get().result_int(),
           .m_headers = CopyFields(parser.get()),
           .m_body = parser.get().body(),
           .m_isComplete = !error && parser.is_done() };
}

} // namespace rattanweir::testing
