// Client that sends requests to one instance of a Fleet and records them.
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

// Describes one request.
struct CallOptions
{
  CallKind m_kind = CallKind::Stream;
  std::string m_clientAccount = "parents";
  // Empty for the default path of the kind.
  std::string m_path;
  std::string m_prompt = "what to pack";
  std::uint64_t m_maxTokens = 8;
  std::string m_idempotencyKey;
  // Empty for a new unique marker.
  std::string m_marker;
  std::set<std::string> m_permittedRegions;
};

// Keeps one connection alive between calls. Not thread-safe.
class Caller
{
public:
  Caller(Fleet& aFleet, std::string aInstance);

  // Sends one request and records it. If the connection cannot be established,
  // nothing is sent or recorded and the returned status is 0.
  CallerRecord Call(const CallOptions& aOptions,
                    const HttpConnection::OnBody& aOnBody = {});

  // Returns an idempotency key for the route `bookings`, or an empty string if
  // the request was refused.
  std::string IssueKey(const std::string& aClientAccount = "parents");

  // Returns the result code of the last response; empty if it was no refusal.
  std::string LastResult() const;

private:
  bool Connect();

  Fleet& m_fleet;
  std::string m_instance;
  std::unique_ptr<HttpConnection> m_connection;
  HttpResponse m_last;
};

// Returns whether the call gets a complete response that matches its request.
bool
IsServed(Fleet& aFleet, const std::string& aInstance, const CallOptions& aCall);

// Repeats the call until it is served.
void
WaitUntilServed(Fleet& aFleet,
                const std::string& aInstance,
                const CallOptions& aCall);

// Waits until every instance is ready and admits requests. A newly started
// instance does not use its share of an account's rate until the leases of the
// previous process have expired.
void
WaitUntilAllServe(Fleet& aFleet);

} // namespace rattanweir::testing
