// One admitted request: all that serving it needs, as a value.
//
//   RequestPlan plan = AdmitFromCaller(serving, std::move(request));
//
// Nothing in it points into the configuration, which may change while the
// request runs.

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
  // Both empty on a route open to all.
  std::optional<KeyId> m_key;
  ClientAccountId m_clientAccount;
  std::string m_method;
  // Target, header fields and body as they may be passed on.
  std::string m_target;
  HeaderFields m_headers;
  std::shared_ptr<const std::string> m_body;
  // The most tokens that it can use, and those of its prompt.
  Tokens m_cost;
  Tokens m_promptTokens;
  // Empty for a request without a prompt, or with a short one.
  PromptPrefix m_promptPrefix;
  SteadyTime m_receivedAt;
  SteadyTime m_deadline;
  // Only on routes that are not idempotent.
  std::optional<std::string> m_idempotencyKey;
  // The instance that forwarded it here.
  std::optional<InstanceId> m_forwardedBy;
  // The first event of the answer stream that the sender needs.
  std::uint64_t m_resumeOffset = 0;
};

// The request as the in-flight registry knows it.
InFlightRequest
RunningRequestOf(const RequestPlan& aPlan);

} // namespace rattanweir
