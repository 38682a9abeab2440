#include "review/support/region_network.h"

#include <array>

#include <sys/socket.h>

namespace review {
namespace {

constexpr std::size_t kRelayBytes = 64UL * 1024;

} // namespace

RegionNetwork::RegionNetwork(const std::vector<std::string>& aInstances)
{
  for (const std::string& instance : aInstances) {
    m_addresses[instance] = FreeAddress();
  }
  for (const std::string& from : aInstances) {
    for (const std::string& to : aInstances) {
      if (from != to) {
        m_links[{ from, to }].m_listener =
          std::make_unique<Listener>(Address{});
      }
    }
  }
  for (const auto& [direction, link] : m_links) {
    std::thread([this, from = direction.first, to = direction.second] {
      Accept(from, to);
    }).detach();
  }
}

Address
RegionNetwork::AddressOf(const std::string& aInstance) const
{
  return m_addresses.at(aInstance);
}

std::vector<Address>
RegionNetwork::SeedsOf(const std::string& aInstance) const
{
  std::vector<Address> seeds;
  for (const auto& [direction, link] : m_links) {
    if (direction.first == aInstance) {
      seeds.push_back(link.m_listener->LocalAddress());
    }
  }
  return seeds;
}

void
RegionNetwork::Cut(const std::string& aOne, const std::string& aOther)
{
  m_links.at({ aOne, aOther }).m_isCut = true;
  m_links.at({ aOther, aOne }).m_isCut = true;
}

void
RegionNetwork::ResetNearEnds(const std::string& aFrom, const std::string& aTo)
{
  Link& link = m_links.at({ aFrom, aTo });
  const std::lock_guard lock(link.m_mutex);
  for (const Relayed& connection : link.m_connections) {
    connection.m_near->Reset();
  }
}

void
RegionNetwork::Accept(const std::string& aFrom, const std::string& aTo)
{
  Link& link = m_links.at({ aFrom, aTo });
  for (;;) {
    auto near = std::make_shared<Connection>(link.m_listener->Accept());
    auto far = std::make_shared<Connection>(Connect(m_addresses.at(aTo)));
    if (!far->IsOpen()) {
      near->Reset();
      continue;
    }
    {
      const std::lock_guard lock(link.m_mutex);
      link.m_connections.push_back({ .m_near = near, .m_far = far });
    }
    std::thread([this, aFrom, aTo, &link, near, far] {
      Relay({ aFrom, aTo }, link, near, far);
    }).detach();
    std::thread([this, aFrom, aTo, &link, near, far] {
      Relay({ aTo, aFrom }, link, far, near);
    }).detach();
  }
}

void
RegionNetwork::Relay(const Pair& aDirection,
                     Link& aLink,
                     const std::shared_ptr<Connection>& aFrom,
                     const std::shared_ptr<Connection>& aTo)
{
  std::array<char, kRelayBytes> bytes{};
  for (;;) {
    const ssize_t count = ::recv(aFrom->Fd(), bytes.data(), bytes.size(), 0);
    if (aLink.m_isCut) {
      if (count <= 0) {
        // The other end is not told.
        return;
      }
      continue;
    }
    if (count <= 0) {
      ::shutdown(aTo->Fd(), SHUT_RDWR);
      return;
    }
    aTo->Write(Translate(
      aDirection, std::string(bytes.data(), static_cast<std::size_t>(count))));
  }
}

std::string
RegionNetwork::Translate(const Pair& aDirection, std::string aBytes) const
{
  const auto& [sender, receiver] = aDirection;
  for (const auto& [instance, address] : m_addresses) {
    // How the sender and the receiver see the address of the instance.
    const auto seenBy = [&, &name = instance](const std::string& aViewer) {
      return aViewer == name ? m_addresses.at(name).ToString()
                             : m_links.at({ aViewer, name })
                                 .m_listener->LocalAddress()
                                 .ToString();
    };
    const std::string before = seenBy(sender);
    const std::string after = seenBy(receiver);
    for (std::size_t at = aBytes.find(before); at != std::string::npos;
         at = aBytes.find(before, at + after.size())) {
      aBytes.replace(at, before.size(), after);
    }
  }
  return aBytes;
}

} // namespace review
