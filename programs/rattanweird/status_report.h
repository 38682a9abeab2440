// Product's own interface (settings without `fleet`): the JSON responses of the
// admin address.
//
//   const StatusReport report(serving, incarnation, keyedRuns);
//   std::string json = report.Status();
//
// Holds references and no state of its own. Not thread-safe.

#pragma once

#include "rattanweir/connection/admin/admin_query.h"
#include "rattanweir/request/pipeline/keyed_runs.h"
#include "rattanweir/request/pipeline/serving.h"

#include <json/value.h>

#include <string>

namespace rattanweir {

class StatusReport
{
public:
  // `aServing` and `aKeyedRuns` must outlive this object.
  StatusReport(const ServingContext& aServing,
               Incarnation aIncarnation,
               const KeyedRuns& aKeyedRuns);

  // Returns the instance, its sections with versions and faults, peers, rates
  // and the number of requests in flight.
  std::string Status() const;

  // Returns the numbers of refusals and retries by result code name.
  std::string Counters() const;

  // Explains the routing of a request, given as `route=..&client_account=..` or
  // `path=..&model=..`.
  std::string Explain(const AdminQuery& aQuery) const;

private:
  Json::Value Sections() const;
  Json::Value Peers() const;
  Json::Value Rates() const;

  const ServingContext& m_serving;
  Incarnation m_incarnation;
  const KeyedRuns& m_keyedRuns;
};

} // namespace rattanweir
