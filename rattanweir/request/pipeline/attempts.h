// Makes the attempts at one admitted request until one gives a whole answer.
//
//   Attempts attempts(options);
//   co_await attempts.Run();
//
// Each attempt has its own id and is looked at afresh: cancelled, paused, key
// still granted, time left, region still permitted. Whether a failed one is
// followed by another: request/retry. The error thrown in the end says whether
// any of the attempts may have run.

#pragma once

#include "rattanweir/request/pipeline/request_plan.h"
#include "rattanweir/request/pipeline/routing_input.h"
#include "rattanweir/request/pipeline/serving.h"
#include "rattanweir/request/relay/response_relay.h"
#include "rattanweir/request/routing/request_router.h"

#include <optional>

namespace rattanweir {

struct AttemptsOptions
{
  Serving& m_serving;
  const RequestPlan& m_plan;
  ResponseSink& m_sink;
  CancelSource& m_cancel;
  InFlightRequests::Registration& m_registration;
};

// What became of a request, for its log record.
struct AttemptsReport
{
  unsigned m_attempts = 0;
  // Whether any attempt may have run.
  Ran m_ran = Ran::No;
  std::optional<std::int64_t> m_generatedTokens;
};

class Attempts
{
public:
  explicit Attempts(const AttemptsOptions& aOptions);

  // Throws RequestError.
  Task<void> Run();

  // One attempt at this peer and no other, whatever it ends with.
  Task<void> RunAtPeer(PeerView aPeer);

  AttemptsReport Report() const;

private:
  using Failure = std::optional<RequestError>;

  void CheckBeforeDispatch() const;
  Task<RoutingDecision> ChoosePlace();
  Task<Failure> Attempt(RoutingDecision aPlace);
  Task<void> AttemptHere(BackendServerId aId);
  Task<void> AttemptAtPeer(PeerView aPeer);
  Task<std::unique_ptr<UpstreamExchange>> Send(Endpoint aEndpoint,
                                               HeaderFields aFields,
                                               CancelSource& aCancel);
  Task<void> Relay(UpstreamExchange& aExchange,
                   ResponseHead aHead,
                   ResponseOrigin aOrigin);
  void ThrowUnlessRetried(const RequestError& aFailure);
  RequestError WithRan(const RequestError& aError) const;
  std::chrono::nanoseconds TimeLeft() const;
  std::string MillisecondsLeft() const;

  AttemptsOptions m_options;
  Serving& m_serving;
  const RequestPlan& m_plan;
  BackendSelector m_backendChoice;
  RequestRouter m_placeChoice;
  TriedPlaces m_tried;
  ResponseProgress m_progress;
  AttemptsReport m_report;
  Failure m_lastFailure;
};

} // namespace rattanweir
