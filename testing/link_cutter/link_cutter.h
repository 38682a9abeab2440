// TCP relay that simulates network faults between two processes.
//
//   LinkCutter link;                      // clients connect to link.Address()
//   link.SetTarget(endpoint);
//   link.Set(LinkState::BlackHole);       // drops bytes, closes nothing
//   link.Set(LinkState::Cut);             // closes all connections
//
// The relay records the `rattanweir-hop` header field of each forwarded
// request, so that a test knows which instances the request has visited.
// Thread-safe.

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
  // Closes existing connections, and new ones as soon as they are accepted.
  Cut,
  // Accepts connections and drops all bytes.
  BlackHole,
};

class LinkCutter
{
public:
  LinkCutter();
  ~LinkCutter();
  LinkCutter(const LinkCutter&) = delete;
  LinkCutter& operator=(const LinkCutter&) = delete;

  // Returns the address to which clients connect.
  Endpoint Address() const { return m_address; }

  void SetTarget(const Endpoint& aTarget);
  void Set(LinkState aState);

  // Delays each block of relayed bytes, in both directions.
  void SetDelay(std::chrono::milliseconds aDelay);

  // Returns the values of the `rattanweir-hop` fields that were relayed to the
  // target.
  std::vector<std::string> Hops() const;

private:
  struct RelayedConnection;

  void Accept();
  void Connect(int aFd);
  void RelayBytes(const std::shared_ptr<RelayedConnection>& aConnection,
                  bool aIsTowardsTarget);
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
