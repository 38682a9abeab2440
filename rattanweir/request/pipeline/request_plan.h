// An admitted request of the product's own interface, as a value with
// everything that is needed to serve the request.
//
//   RequestPlan plan = AdmitFromCaller(serving, std::move(request));
//
// Refers to no part of the configuration, which may change while the request
// runs.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/process/in_flight/in_flight.h"
#include "rattanweir/process/prefix_view/prefix_view.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/version/section/section.h"

#include <memory>
#include <optional>
#include <string>

namespace rattanweir {

struct RequestPlan
{
  RequestId m_id;
  Route m_route;
  // Both are empty on a route that is open to all.
  std::optional<KeyId> m_key;
  ClientAccountId m_clientAccount;
  std::string m_method;
  // Target, headers and body to send on, without the caller's key.
  std::string m_target;
  HeaderFields m_headers;
  std::shared_ptr<const std::string> m_body;
  // Maximum number of tokens that the request can use, and the estimated tokens
  // of its prompt.
  Tokens m_cost;
  Tokens m_promptTokens;
  // Empty if the request has no prompt or a short one.
  PromptPrefix m_promptPrefix;
  SteadyTime m_receivedAt;
  SteadyTime m_deadline;
  // Set only on routes that are not idempotent.
  std::optional<std::string> m_idempotencyKey;
  // The instance that forwarded the request here, if any.
  std::optional<InstanceId> m_forwardedBy;
  // Offset of the first event of the response stream that the sender needs.
  std::uint64_t m_resumeOffset = 0;
};

// Returns the entry of the request in the in-flight registry.
InFlightRequest
ToInFlightRequest(const RequestPlan& aPlan);

} // namespace rattanweir
