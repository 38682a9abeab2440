// In-process replacement for the users' platform's key-value store: clients
// read it by range reads and long-poll watches.
//
//   StandInStore store(context);
//   store.Put("op/config", text);
//   const StandInStore::Copy copy = store.TakeCopy();
//   ...
//   store.Restore(copy);   // loses what was written since
//
// Every response carries the era of the store, which each restore increments.
// Revisions that a restore loses are assigned again to later changes. A watch
// from a revision that the store does not have receives status 410. Runs in the
// thread of its context. Not thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/http_server/http_server.h"

#include <boost/asio/io_context.hpp>

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rattanweir::testing {

class StandInStore final : public RequestHandler
{
public:
  struct Item
  {
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
    bool m_isRemoved = false;
  };

  // The contents at one moment.
  struct Copy
  {
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    // Watches from an earlier revision receive status 410.
    std::uint64_t m_oldestRevision = 0;
    std::uint64_t m_era = 1;
  };

  explicit StandInStore(asio::io_context& aContext);

  // Each assigns the next revision. A call returns after the change has been
  // acknowledged.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

  Copy TakeCopy() const { return m_contents; }
  // Continues from the copy in the next era. Calls in progress end without a
  // response.
  void Restore(const Copy& aCopy);

  // Drops the history: watches from any earlier revision receive status 410.
  void DropHistory();

  // Calls in progress never receive a response, and their connections stay
  // open. Later calls are served.
  void SilenceOpenCalls() { m_silencedCalls = m_calls; }

  // Serves range reads and watches from an earlier copy until called with
  // nullopt.
  void ServePast(std::optional<Copy> aCopy) { m_past = std::move(aCopy); }

  Endpoint Address() const { return m_server.LocalEndpoint(); }
  std::uint64_t Calls() const { return m_calls; }

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

  // Responds to every call with status 503.
  bool m_isDown = false;

private:
  const Copy& Served() const { return m_past ? *m_past : m_contents; }
  static Json::Value ItemsNewerThan(const Copy& aCopy,
                                    const std::string& aPrefix,
                                    std::uint64_t aAfter,
                                    bool aIncludesRemoved);
  Task<void> Respond(unsigned aStatus, Json::Value aBody, ResponseSink& aSink);

  asio::io_context& m_context;
  Copy m_contents;
  std::optional<Copy> m_past;
  // Calls received so far, and how many of them were silenced or ended.
  std::uint64_t m_calls = 0;
  std::uint64_t m_silencedCalls = 0;
  std::uint64_t m_endedCalls = 0;
  HttpServer m_server;
};

} // namespace rattanweir::testing
