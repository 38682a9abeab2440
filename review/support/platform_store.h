// Stand-in for the platform's store: items with revisions, ranges and watches.
// Thread-safe.
//
//   PlatformStore store;
//   store.Put("op/config", text);

#pragma once

#include "review/support/socket.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

class PlatformStore
{
public:
  PlatformStore();

  Address LocalAddress() const { return m_listener.LocalAddress(); }
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

private:
  struct Event
  {
    std::string m_key;
    // Empty for a removal.
    std::string m_item;
    std::uint64_t m_revision = 0;
  };

  [[noreturn]] void Accept();
  void Serve(Socket aSocket);
  std::string Answer(const std::string& aTarget);
  std::string Range(const std::string& aPrefix);
  std::string Watch(const std::string& aPrefix,
                    std::uint64_t aAfter,
                    std::chrono::milliseconds aWait);
  void Append(const std::string& aKey, std::string aItem);

  Listener m_listener;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_revision = 1;
  // Items as JSON.
  std::map<std::string, std::string> m_items;
  std::vector<Event> m_events;
};

} // namespace review
