// The JSON texts with which an instance describes itself to operators.
//
//   const StatusReport report(serving, incarnation, keyedRuns);
//   std::string json = report.Status();
//
// Holds references; made where it is needed.

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
  // Both must outlive it.
  StatusReport(const ServingContext& aServing,
               Incarnation aIncarnation,
               const KeyedRuns& aKeyedRuns);

  // Instance, sections with versions and faults, peers, rates, in flight.
  std::string Status() const;

  // Refusals and retries by the names of their result codes.
  std::string Counters() const;

  // Answers `route=..&client_account=..` or `path=..&model=..`.
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
