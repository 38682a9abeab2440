// In-process replacement for the backend servers of the users' platform in the
// fleet soak test, which record each request they run. The store has its own
// package, testing/stand_in_store.
//
//   RunHistory history;
//   StandInServer server({ .m_context = context, .m_id = "s1", ... });
//   store.Put("servers/s1", server.Entry("ready"));
//
// Runs in the test's own process and thread. Not thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/connection/http_server/http_server.h"

#include <boost/asio/io_context.hpp>

#include <map>
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
