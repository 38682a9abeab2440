#include "review/support-3/http.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

constexpr std::size_t kReadBytes = 64UL * 1024;
constexpr std::size_t kChunkBytes = 64UL * 1024;
constexpr int kBacklog = 512;

std::string
LowerCase(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return aText;
}

sockaddr_in
LoopbackAddress(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a socket that is bound to a free port, and the port.
std::pair<int, std::uint16_t>
BindFreePort()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (descriptor < 0 || ::bind(descriptor, generic, size) != 0 ||
      ::getsockname(descriptor, generic, &size) != 0) {
    throw std::runtime_error("no port could be bound");
  }
  return { descriptor, ntohs(address.sin_port) };
}

std::string
ChunkedBody(const std::string& aBody)
{
  std::string text;
  for (std::size_t at = 0; at < aBody.size(); at += kChunkBytes) {
    const std::string chunk = aBody.substr(at, kChunkBytes);
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
    text += size.data() + chunk + "\r\n";
  }
  return text + "0\r\n\r\n";
}

std::string
FormatHeaders(const Headers& aHeaders)
{
  std::string text;
  for (const auto& [name, value] : aHeaders) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text;
}

} // namespace

std::string
Message::Header(const std::string& aName) const
{
  for (const auto& [name, value] : m_headers) {
    if (LowerCase(name) == LowerCase(aName)) {
      return value;
    }
  }
  return {};
}

int
Message::Status() const
{
  return std::atoi(m_second.c_str());
}

Connection::Connection(int aSocket)
  : m_socket(aSocket)
{
  const int on = 1;
  ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
  if (m_socket >= 0) {
    ::close(m_socket);
  }
}

Connection::Connection(Connection&& aOther) noexcept
  : m_socket(std::exchange(aOther.m_socket, -1))
  , m_unread(std::move(aOther.m_unread))
{
}

Connection&
Connection::operator=(Connection&& aOther) noexcept
{
  std::swap(m_socket, aOther.m_socket);
  std::swap(m_unread, aOther.m_unread);
  return *this;
}

std::optional<Connection>
Connection::Open(std::uint16_t aPort)
{
  Connection connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = LoopbackAddress(aPort);
  if (::connect(connection.m_socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    return std::nullopt;
  }
  return connection;
}

bool
Connection::Send(const std::string& aBytes) const
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count = ::send(
      m_socket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool
Connection::Fill(Milliseconds aTimeout)
{
  pollfd entry{ .fd = m_socket, .events = POLLIN };
  if (::poll(&entry, 1, static_cast<int>(aTimeout.count())) <= 0) {
    return false;
  }
  std::string bytes(kReadBytes, '\0');
  const auto count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  bytes.resize(static_cast<std::size_t>(count));
  m_unread += bytes;
  return true;
}

bool
Connection::ReadLine(std::string& aLine, Milliseconds aTimeout)
{
  std::size_t end = 0;
  while ((end = m_unread.find("\r\n")) == std::string::npos) {
    if (!Fill(aTimeout)) {
      return false;
    }
  }
  aLine = m_unread.substr(0, end);
  m_unread.erase(0, end + 2);
  return true;
}

bool
Connection::ReadBytes(std::size_t aCount,
                      Milliseconds aTimeout,
                      std::string* aBody)
{
  while (aCount > 0) {
    if (m_unread.empty() && !Fill(aTimeout)) {
      return false;
    }
    const std::size_t count = std::min(aCount, m_unread.size());
    if (aBody != nullptr) {
      aBody->append(m_unread, 0, count);
    }
    m_unread.erase(0, count);
    aCount -= count;
  }
  return true;
}

bool
Connection::ReadChunks(Milliseconds aTimeout, std::string* aBody)
{
  constexpr int kHexadecimal = 16;
  std::string line;
  while (ReadLine(line, aTimeout)) {
    const std::size_t size = std::strtoul(line.c_str(), nullptr, kHexadecimal);
    if (!ReadBytes(size, aTimeout, aBody) || !ReadLine(line, aTimeout)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
  return false;
}

std::optional<Message>
Connection::Read(Milliseconds aTimeout, bool aKeepsBody)
{
  Message message;
  std::string line;
  if (!ReadLine(line, aTimeout)) {
    return std::nullopt;
  }
  const std::size_t first = line.find(' ');
  const std::size_t second = line.find(' ', first + 1);
  message.m_first = line.substr(0, first);
  message.m_second = line.substr(first + 1, second - first - 1);
  while (ReadLine(line, aTimeout) && !line.empty()) {
    const std::size_t colon = line.find(": ");
    message.m_headers.emplace_back(line.substr(0, colon),
                                   line.substr(colon + 2));
  }
  if (!line.empty()) {
    return std::nullopt;
  }
  std::string* body = aKeepsBody ? &message.m_body : nullptr;
  const bool isComplete =
    message.Header("transfer-encoding") == "chunked"
      ? ReadChunks(aTimeout, body)
      : ReadBytes(
          std::strtoul(message.Header("content-length").c_str(), nullptr, 10),
          aTimeout,
          body);
  return isComplete ? std::optional(std::move(message)) : std::nullopt;
}

bool
Connection::IsClosed() const
{
  char byte = 0;
  const auto count =
    ::recv(m_socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
Connection::ShutDown() const
{
  ::shutdown(m_socket, SHUT_RDWR);
}

Listener::Listener(std::function<void(Connection&)> aHandler)
{
  const auto [descriptor, port] = BindFreePort();
  m_port = port;
  if (::listen(descriptor, kBacklog) != 0) {
    throw std::runtime_error("a port cannot be listened at");
  }
  std::thread([handler = std::move(aHandler), listening = descriptor] {
    for (;;) {
      const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const auto connection = std::make_shared<Connection>(accepted);
      std::thread([handler, connection] { handler(*connection); }).detach();
    }
  }).detach();
}

std::uint16_t
FreePort()
{
  // Below the ports that the system gives to outgoing connections.
  constexpr unsigned kFirst = 11'000;
  constexpr unsigned kCount = 20'000;
  constexpr unsigned kStep = 61;
  static std::atomic<unsigned> next = static_cast<unsigned>(::getpid()) * kStep;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = LoopbackAddress(port);
    const bool isFree = ::bind(descriptor,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof address) == 0;
    ::close(descriptor);
    if (isFree) {
      return port;
    }
  }
}

std::string
FormatRequest(const Request& aRequest)
{
  std::string text = aRequest.m_method + " " + aRequest.m_target +
                     " HTTP/1.1\r\n" + FormatHeaders(aRequest.m_headers);
  if (aRequest.m_isChunked) {
    return text + "Transfer-Encoding: chunked\r\n\r\n" +
           ChunkedBody(aRequest.m_body);
  }
  if (aRequest.m_method != "GET") {
    text +=
      "Content-Length: " + std::to_string(aRequest.m_body.size()) + "\r\n";
  }
  return text + "\r\n" + aRequest.m_body;
}

std::string
FormatResponse(int aStatus, const Headers& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" +
         FormatHeaders(aHeaders) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
Address(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace review
