// A TCP relay that stands for the network between two processes.
//
//   LinkCutter link;                      // callers connect to link.Address()
//   link.SetTarget(endpoint);
//   link.Set(LinkState::BlackHole);       // bytes vanish, nothing closes
//   link.Set(LinkState::Cut);             // connections close, none is taken
//
// It reads the heads of forwarded requests that pass, so that a test knows
// which instances each one had visited. Safe from any thread.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"

#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rattanweir::testing {

enum class LinkState
{
  Open,
  // Closes connections, also new ones.
  Cut,
  // Takes connections and drops every byte.
  BlackHole,
};

class LinkCutter
{
public:
  LinkCutter();
  ~LinkCutter();
  LinkCutter(const LinkCutter&) = delete;
  LinkCutter& operator=(const LinkCutter&) = delete;

  // Where to connect.
  Endpoint Address() const { return m_address; }

  void SetTarget(const Endpoint& aTarget);
  void Set(LinkState aState);

  // Adds a delay to each piece of bytes, each way.
  void SetDelay(std::chrono::milliseconds aDelay);

  // The values of the `rattanweir-hop` fields that passed towards the target.
  std::vector<std::string> Hops() const;

private:
  struct RelayedConnection;

  void Accept();
  void Connect(int aFd);
  void RelayBytes(const std::shared_ptr<RelayedConnection>& aConnection, bool aIsTowardsTarget);
  void RecordHops(std::string& aPending);

  int m_listener = -1;
  Endpoint m_address;
  std::atomic<LinkState> m_state{ LinkState::Open };
  std::atomic<std::int64_t> m_delayMilliseconds{ 0 };
  std::atomic<bool> m_isStopped{ false };
  mutable std::mutex m_mutex;
  Endpoint m_target;
  std::vector<std::string> m_hops;
  std::list<std::weak_ptr<RelayedConnection>> m_connections;
  std::list<std::thread> m_relayThreads;
  std::thread m_acceptor;
};

} // namespace rattanweir::testing
