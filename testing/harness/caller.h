// A caller of one instance of a Fleet.
//
//   Caller caller(fleet, "vestland-1");
//   const CallerRecord call = caller.Call({ .m_kind = CallKind::Stream });

#pragma once

#include "testing/harness/fleet.h"
#include "testing/history/history.h"
#include "testing/http/http.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace rattanweir::testing {

// One request of a caller.
struct CallOptions
{
  CallKind m_kind = CallKind::Stream;
  std::string m_clientAccount = "parents";
  // Empty for the kind's usual one.
  std::string m_path;
  std::string m_prompt = "what to pack";
  std::uint64_t m_maxTokens = 8;
  std::string m_idempotencyKey;
  // Empty for a fresh one.
  std::string m_marker;
  std::set<std::string> m_permittedRegions;
};

// A caller with a connection of its own, kept alive between calls.
class Caller
{
public:
  Caller(Fleet& aFleet, std::string aInstance);

  // Sends one request and records it, unless there is no connection: then the
  // status is 0 and nothing was sent.
  CallerRecord Call(const CallOptions& aOptions,
                    const HttpConnection::OnBody& aOnBody = {});

  // An idempotency key for the route `bookings`; empty if it was refused.
  std::string IssueKey(const std::string& aClientAccount = "parents");

  // The result number of the last answer; empty if it was no refusal.
  std::string LastResult() const;

private:
  bool Connect();

  Fleet& m_fleet;
  std::string m_instance;
  std::unique_ptr<HttpConnection> m_connection;
  HttpResponse m_last;
};

// Whether the call gets its own whole answer.
bool
IsServed(Fleet& aFleet, const std::string& aInstance, const CallOptions& aCall);

// Calls until the call is served.
void
WaitUntilServed(Fleet& aFleet,
                const std::string& aInstance,
                const CallOptions& aCall);

// Until every instance is ready and admits requests; a started one withholds
// its share of each account until leases of an earlier process have ended.
void
WaitUntilAllServe(Fleet& aFleet);

} // namespace rattanweir::testing
