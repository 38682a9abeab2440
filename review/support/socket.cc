#include "review/support/socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <mutex>
#include <set>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

constexpr std::size_t kReadBytes = 64UL * 1024;
constexpr int kBacklog = 512;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.m_port);
  if (::inet_pton(AF_INET, aAddress.m_ip.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("not an IPv4 address: " + aAddress.m_ip);
  }
  return address;
}

char
ToLower(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z'
           ? static_cast<char>(aLetter - 'A' + 'a')
           : aLetter;
}

bool
IsSameName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aOther) { return ToLower(aOne) == ToLower(aOther); });
}

std::size_t
ParseNumber(std::string_view aText, int aBase)
{
  std::size_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number, aBase);
  return number;
}

void
SetNoDelay(int aFd)
{
  const int on = 1;
  ::setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

const std::string&
OwnLoopbackIp()
{
  constexpr int kNumbers = 250;
  static const std::string ip =
    "127." + std::to_string(1 + ::getpid() % kNumbers) + "." +
    std::to_string(::getpid() / kNumbers % kNumbers) + ".1";
  return ip;
}

Socket::~Socket()
{
  if (m_fd >= 0) {
    ::close(m_fd);
  }
}

Listener::Listener(const Address& aAddress)
  : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  , m_address(aAddress)
{
  const int on = 1;
  ::setsockopt(m_socket.Fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = ToSockaddr(aAddress);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(m_socket.Fd(), generic, size) != 0 ||
      ::listen(m_socket.Fd(), kBacklog) != 0 ||
      ::getsockname(m_socket.Fd(), generic, &size) != 0) {
    throw std::runtime_error("cannot listen at " + aAddress.ToString());
  }
  m_address.m_port = ntohs(address.sin_port);
}

Socket
Listener::Accept()
{
  Socket socket(::accept4(m_socket.Fd(), nullptr, nullptr, SOCK_CLOEXEC));
  if (socket.IsOpen()) {
    SetNoDelay(socket.Fd());
  }
  return socket;
}

void
Listener::Stop() const
{
  ::shutdown(m_socket.Fd(), SHUT_RDWR);
}

Address
FreeAddress()
{
  static std::mutex mutex;
  static std::set<std::uint16_t> chosen;
  const std::lock_guard lock(mutex);
  for (;;) {
    Address address = Listener(Address{}).LocalAddress();
    if (chosen.insert(address.m_port).second) {
      return address;
    }
  }
}

Socket
Connect(const Address& aAddress)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = ToSockaddr(aAddress);
  if (::connect(socket.Fd(),
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    return Socket();
  }
  SetNoDelay(socket.Fd());
  return socket;
}

const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (IsSameName(name, aName)) {
      return &value;
    }
  }
  return nullptr;
}

std::string
ChunkOf(const std::string& aText)
{
  std::string size;
  for (std::size_t left = aText.size(); left > 0; left /= kHexadecimal) {
    size.insert(size.begin(), "0123456789abcdef"[left % kHexadecimal]);
  }
  return size + "\r\n" + aText + "\r\n";
}

bool
Connection::Write(std::string_view aText)
{
  while (!aText.empty()) {
    const ssize_t written =
      ::send(m_socket.Fd(), aText.data(), aText.size(), MSG_NOSIGNAL);
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    aText.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

void
Connection::Reset()
{
  const linger option{ .l_onoff = 1, .l_linger = 0 };
  ::setsockopt(m_socket.Fd(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
  // Wakes a thread that reads, which would keep the connection open.
  ::shutdown(m_socket.Fd(), SHUT_RD);
  m_socket = Socket();
}

bool
Connection::IsClosedByPeer() const
{
  pollfd entry{ .fd = m_socket.Fd(), .events = POLLRDHUP };
  return ::poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLERR | POLLHUP | POLLNVAL)) != 0;
}

bool
Connection::ReadMore(SteadyTime aDeadline)
{
  for (;;) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      aDeadline - SteadyClock::now());
    if (left.count() <= 0) {
      return false;
    }
    pollfd entry{ .fd = m_socket.Fd(), .events = POLLIN };
    const int ready = ::poll(&entry, 1, static_cast<int>(left.count()));
    if (ready < 0 && errno == EINTR) {
      continue;
    }
    if (ready <= 0) {
      return false;
    }
    std::array<char, kReadBytes> bytes{};
    const ssize_t count = ::recv(m_socket.Fd(), bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
  }
}

std::optional<std::string>
Connection::ReadLine(SteadyTime aDeadline)
{
  std::size_t end = m_buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!ReadMore(aDeadline)) {
      return std::nullopt;
    }
    end = m_buffer.find("\r\n");
  }
  std::string line = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 2);
  return line;
}

bool
Connection::ReadBytes(std::size_t aCount,
                      std::string& aTo,
                      SteadyTime aDeadline)
{
  while (aCount > 0) {
    if (m_buffer.empty() && !ReadMore(aDeadline)) {
      return false;
    }
    const std::size_t taken = std::min(aCount, m_buffer.size());
    aTo.append(m_buffer, 0, taken);
    m_buffer.erase(0, taken);
    aCount -= taken;
  }
  return true;
}

bool
Connection::ReadHeaders(Headers& aHeaders, SteadyTime aDeadline)
{
  for (;;) {
    const auto line = ReadLine(aDeadline);
    if (!line) {
      return false;
    }
    if (line->empty()) {
      return true;
    }
    const std::size_t colon = line->find(':');
    std::size_t value = colon == std::string::npos ? line->size() : colon + 1;
    while (value < line->size() && (*line)[value] == ' ') {
      ++value;
    }
    aHeaders.emplace_back(line->substr(0, colon), line->substr(value));
  }
}

bool
Connection::ReadChunks(std::string& aBody, SteadyTime aDeadline)
{
  for (;;) {
    const auto line = ReadLine(aDeadline);
    if (!line) {
      return false;
    }
    const std::size_t size = ParseNumber(*line, kHexadecimal);
    std::string end;
    if (!ReadBytes(size, aBody, aDeadline) || !ReadBytes(2, end, aDeadline)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

bool
Connection::ReadBody(const Headers& aHeaders,
                     std::string& aBody,
                     SteadyTime aDeadline)
{
  const std::string* coding = FindHeader(aHeaders, "transfer-encoding");
  if (coding != nullptr && IsSameName(*coding, "chunked")) {
    return ReadChunks(aBody, aDeadline);
  }
  const std::string* length = FindHeader(aHeaders, "content-length");
  return length == nullptr ||
         ReadBytes(ParseNumber(*length, kDecimal), aBody, aDeadline);
}

std::optional<Request>
Connection::ReadRequest(SteadyTime aDeadline)
{
  Request request;
  const auto line = ReadLine(aDeadline);
  if (!line || !ReadHeaders(request.m_headers, aDeadline) ||
      !ReadBody(request.m_headers, request.m_body, aDeadline)) {
    return std::nullopt;
  }
  const std::size_t target = line->find(' ');
  const std::size_t version = line->rfind(' ');
  if (target == std::string::npos || version <= target) {
    return std::nullopt;
  }
  request.m_method = line->substr(0, target);
  request.m_target = line->substr(target + 1, version - target - 1);
  return request;
}

std::optional<Response>
Connection::ReadResponse(SteadyTime aDeadline)
{
  Response response;
  const auto line = ReadLine(aDeadline);
  if (!line || !ReadHeaders(response.m_headers, aDeadline)) {
    return std::nullopt;
  }
  response.m_status = static_cast<unsigned>(
    ParseNumber(std::string_view(*line).substr(line->find(' ') + 1), kDecimal));
  response.m_isComplete =
    ReadBody(response.m_headers, response.m_body, aDeadline);
  return response;
}

} // namespace review
