#include "testing/link_cutter/link_cutter.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace rattanweir::testing {

namespace {

constexpr std::size_t kReadBytes = 65'536;
constexpr std::string_view kHopField = "rattanweir-hop:";

sockaddr_in
ToSocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.m_port);
  ::inet_pton(AF_INET, aEndpoint.m_address.c_str(), &address.sin_addr);
  return address;
}

bool
SendAll(int aFd, const char* aData, std::size_t aSize)
{
  while (aSize > 0) {
    const ssize_t count = ::send(aFd, aData, aSize, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aData += count;
    aSize -= static_cast<std::size_t>(count);
  }
  return true;
}

} // namespace

// Owns the two sockets of one relayed connection. They are closed when the last
// relay thread ends.
struct LinkCutter::RelayedConnection
{
  int m_caller;
  int m_target;

  RelayedConnection(int aCaller, int aTarget)
    : m_caller(aCaller)
    , m_target(aTarget)
  {
    const int on = 1;
    ::setsockopt(m_caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(m_target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~RelayedConnection()
  {
    ::close(m_caller);
    ::close(m_target);
  }
  RelayedConnection(const RelayedConnection&) = delete;
  RelayedConnection& operator=(const RelayedConnection&) = delete;

  void ShutDown() const
  {
    ::shutdown(m_caller, SHUT_RDWR);
    ::shutdown(m_target, SHUT_RDWR);
  }
};

LinkCutter::LinkCutter()
  : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address =
    ToSocketAddress({ .m_address = "127.0.0.1", .m_port = 0 });
  socklen_t size = sizeof(address);
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  if (::bind(m_listener, raw, size) != 0 ||
      ::listen(m_listener, SOMAXCONN) != 0 ||
      ::getsockname(m_listener, raw, &size) != 0) {
    throw std::runtime_error("LinkCutter cannot listen on a loopback port");
  }
  m_address = { .m_address = "127.0.0.1", .m_port = ntohs(address.sin_port) };
  m_acceptor = std::thread([this] { Accept(); });
}

LinkCutter::~LinkCutter()
{
  m_isStopped = true;
  ::shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  Set(LinkState::Cut);
  for (std::thread& relayThread : m_relayThreads) {
    relayThread.join();
  }
  ::close(m_listener);
}

void
LinkCutter::SetTarget(const Endpoint& aTarget)
{
  const std::lock_guard lock(m_mutex);
  m_target = aTarget;
}

void
LinkCutter::Set(LinkState aState)
{
  m_state = aState;
  if (aState != LinkState::Cut) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  for (const std::weak_ptr<RelayedConnection>& each : m_connections) {
    if (const std::shared_ptr<RelayedConnection> connection = each.lock()) {
      connection->ShutDown();
    }
  }
  m_connections.clear();
}

void
LinkCutter::SetDelay(std::chrono::milliseconds aDelay)
{
  m_delayMilliseconds = aDelay.count();
}

std::vector<std::string>
LinkCutter::Hops() const
{
  const std::lock_guard lock(m_mutex);
  return m_hops;
}

void
LinkCutter::Accept()
{
  while (!m_isStopped) {
    const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      Connect(fd);
    }
  }
}

void
LinkCutter::Connect(int aFd)
{
  const int target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto connection = std::make_shared<RelayedConnection>(aFd, target);
  const std::lock_guard lock(m_mutex);
  const sockaddr_in address = ToSocketAddress(m_target);
  if (m_state == LinkState::Cut ||
      ::connect(target,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    return;
  }
  m_connections.push_back(connection);
  m_relayThreads.emplace_back(
    [this, connection] { RelayBytes(connection, true); });
  m_relayThreads.emplace_back(
    [this, connection] { RelayBytes(connection, false); });
}

void
LinkCutter::RelayBytes(const std::shared_ptr<RelayedConnection>& aConnection,
                       bool aIsTowardsTarget)
{
  const int from =
    aIsTowardsTarget ? aConnection->m_caller : aConnection->m_target;
  const int to =
    aIsTowardsTarget ? aConnection->m_target : aConnection->m_caller;
  std::vector<char> buffer(kReadBytes);
  std::string pending;
  for (;;) {
    const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      break;
    }
    if (m_state == LinkState::BlackHole) {
      continue;
    }
    const auto size = static_cast<std::size_t>(count);
    if (aIsTowardsTarget) {
      pending.append(buffer.data(), size);
      RecordHops(pending);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMilliseconds));
    if (!SendAll(to, buffer.data(), size)) {
      break;
    }
  }
  aConnection->ShutDown();
}

// Parses all complete lines; an incomplete line stays in `aPending` until the
// next block.
void
LinkCutter::RecordHops(std::string& aPending)
{
  std::size_t begin = 0;
  for (std::size_t end = 0;
       (end = aPending.find('\n', begin)) != std::string::npos;
       begin = end + 1) {
    std::string line = aPending.substr(begin, end - begin);
    std::transform(line.begin(), line.end(), line.begin(), [](char aByte) {
      return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
    });
    if (line.starts_with(kHopField)) {
      std::istringstream value(line.substr(kHopField.size()));
      std::string hops;
      value >> hops;
      const std::lock_guard lock(m_mutex);
      m_hops.push_back(hops);
    }
  }
  aPending.erase(0, begin);
}

} // namespace rattanweir::testing
