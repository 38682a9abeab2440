// In-process replacements for the users' platform in the fleet soak test: the
// key-value store, and backend servers that record each request they run.
//
//   History history;
//   StandInStore store(context);
//   StandInServer server({ .m_context = context, .m_id = "s1", ... });
//   store.Put("servers/s1", server.Entry("ready"));
//
// Both run in the test's own process and thread. Not thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/connection/http_server/http_server.h"

#include <boost/asio/io_context.hpp>

#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanweir::testing {

// Records which backend servers ran each request, by request id.
struct RunHistory
{
  struct Run
  {
    std::string m_server;
    std::string m_account;
    SteadyTime m_at;
  };

  std::map<std::string, std::vector<Run>> m_runs;

  std::size_t RunCount(const std::string& aId) const;
};

// Key-value store that clients can only read, by range reads and long-poll
// watches.
class StandInStore final : public RequestHandler
{
public:
  explicit StandInStore(asio::io_context& aContext);

  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  Endpoint Address() const { return m_server.LocalEndpoint(); }

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

  // Responds to every call with status 503.
  bool m_isDown = false;

private:
  struct Item
  {
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
    bool m_isRemoved = false;
  };

  Json::Value ItemsNewerThan(const std::string& aPrefix,
                             std::uint64_t aAfter,
                             bool aIncludesRemoved) const;
  Task<void> Respond(unsigned aStatus, Json::Value aBody, ResponseSink& aSink);

  asio::io_context& m_context;
  std::map<std::string, Item> m_items;
  std::uint64_t m_revision = 1;
  HttpServer m_server;
};

struct StandInServerOptions
{
  asio::io_context& m_context;
  RunHistory& m_history;
  RandomEngine& m_random;
  std::string m_id;
  std::string m_zone;
};

// Plain service that can abort responses or refuse requests.
class StandInServer final : public RequestHandler
{
public:
  explicit StandInServer(const StandInServerOptions& aOptions);

  Endpoint Address() const { return m_server.LocalEndpoint(); }
  // Returns the JSON record that registers this server in the store under the
  // given address and state.
  std::string StoreRecord(const Endpoint& aAddress, const char* aState) const;

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

  // Probability, from 0 to 1, of aborting the response after the request ran,
  // and of refusing the request without running it.
  double m_abortProbability = 0;
  double m_refuseProbability = 0;

private:
  StandInServerOptions m_options;
  HttpServer m_server;
};

// Returns the response body that a server sends for a request id.
std::string
ExpectedBody(const std::string& aId);

} // namespace rattanweir::testing
