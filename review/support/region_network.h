// The links between instances of different regions: each instance reaches every
// other one through a relay of its own, which translates the addresses that
// instances tell each other, drops bytes and resets connections. Thread-safe.
//
//   RegionNetwork network({ "front-a", "front-b" });
//   optionsOfA.m_addresses.m_peer = network.AddressOf("front-a");
//   optionsOfA.m_seeds = network.SeedsOf("front-a");
//   network.Cut("front-a", "front-b");

#pragma once

#include "review/support/socket.h"

#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

class RegionNetwork
{
public:
  explicit RegionNetwork(const std::vector<std::string>& aInstances);

  // The address at which the instance itself listens.
  Address AddressOf(const std::string& aInstance) const;
  // The addresses of all others, as the instance sees them.
  std::vector<Address> SeedsOf(const std::string& aInstance) const;

  // Drops everything between the two instances from now on and closes nothing.
  void Cut(const std::string& aOne, const std::string& aOther);
  // Resets the near ends of the connections that an instance has opened to
  // another one, as its own TCP does when its probes get no answer. The far
  // ends learn nothing.
  void ResetNearEnds(const std::string& aFrom, const std::string& aTo);

private:
  using Pair = std::pair<std::string, std::string>;

  struct Relayed
  {
    std::shared_ptr<Connection> m_near;
    std::shared_ptr<Connection> m_far;
  };

  struct Link
  {
    std::unique_ptr<Listener> m_listener;
    std::atomic<bool> m_isCut = false;
    std::mutex m_mutex;
    std::vector<Relayed> m_connections;
  };

  [[noreturn]] void Accept(const std::string& aFrom, const std::string& aTo);
  // Relays one direction until it ends.
  void Relay(const Pair& aDirection,
             Link& aLink,
             const std::shared_ptr<Connection>& aFrom,
             const std::shared_ptr<Connection>& aTo);
  // Translates the addresses of a message of one instance to another.
  std::string Translate(const Pair& aDirection, std::string aBytes) const;

  std::map<std::string, Address> m_addresses;
  // By the instance that connects and the one that it connects to.
  std::map<Pair, Link> m_links;
};

} // namespace review
