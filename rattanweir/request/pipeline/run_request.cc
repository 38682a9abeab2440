#include "rattanweir/request/pipeline/run_request.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

// Holds the tokens reserved for one request; settles them on destruction.
class ScopedReservation
{
public:
  ScopedReservation(ServingContext& aServing, Reservation aReservation)
    : m_serving(&aServing)
    , m_reservation(std::move(aReservation))
    , m_used(m_reservation.m_tokens)
  {
  }
  ~ScopedReservation() { m_serving->m_rates.Settle(m_reservation, m_used); }
  ScopedReservation(const ScopedReservation&) = delete;
  ScopedReservation& operator=(const ScopedReservation&) = delete;

  void SetUsed(Tokens aUsed)
  {
    m_used = std::min(aUsed, m_reservation.m_tokens);
  }

private:
  ServingContext* m_serving;
  Reservation m_reservation;
  // Equals the entire reservation until SetUsed is called.
  Tokens m_used;
};

// Returns the reservation, or throws the refusal for any other result.
struct ReservationOrThrow
{
  Reservation operator()(const Reservation& aReservation) const
  {
    return aReservation;
  }
  Reservation operator()(const ExceedsBurst&) const
  {
    throw RequestError(
      ResultCode::RequestExceedsBurst,
      "the request needs more tokens than the client account's burst",
      Ran::No);
  }
  Reservation operator()(const UnknownClientAccount&) const
  {
    throw RequestError(ResultCode::ClientAccountUnknown,
                       "the client account is not in the configuration",
                       Ran::No);
  }
  Reservation operator()(const InsufficientTokens& aInsufficient) const
  {
    throw RequestError(ResultCode::RateExceeded,
                       "the client account's rate is exceeded",
                       Ran::No,
                       aInsufficient.m_retryAfter);
  }
  Reservation operator()(const LedgerPaused&) const
  {
    throw RequestError(
      ResultCode::InstancePaused, "the process was paused", Ran::No);
  }
};

// Releases the reservation, if any, of a request that is not served.
void
ReleaseTokens(ServingContext& aServing, const ReserveResult& aResult)
{
  if (const auto* reservation = std::get_if<Reservation>(&aResult)) {
    aServing.m_rates.Settle(*reservation, Tokens(0));
  }
}

// Enqueues the request, borrows from peers, then waits for the missing tokens.
Task<ReserveResult>
WaitForTokens(ServingContext& aServing,
              const RequestPlan& aPlan,
              ReserveResult aInsufficient,
              CancelSource& aCancel)
{
  const SteadyTime startedAt = aServing.m_clock.SteadyNow();
  const SteadyTime until = std::min(startedAt + kMaxRateWait, aPlan.m_deadline);
  RateQueue::Waiter waiter(
    aServing.m_rateQueue, aPlan.m_clientAccount, aPlan.m_cost);
  if (!waiter.IsQueued()) {
    co_return aInsufficient;
  }
  const bool hasBorrowed = co_await aServing.m_borrower.Borrow(
    aPlan.m_clientAccount, waiter.CumulativeTokens(), until, aCancel);
  if (hasBorrowed) {
    aServing.m_rateQueue.Wake(aPlan.m_clientAccount);
  } else if (aServing.m_clock.SteadyNow() >= until) {
    co_return aInsufficient;
  }
  const ReserveResult result = co_await waiter.Wait(until, aCancel);
  aServing.m_metrics.Observe("rattanweir_rate_wait_seconds",
                             aServing.m_clock.SteadyNow() - startedAt);
  co_return result;
}

Task<Reservation>
Reserve(ServingContext& aServing,
        const RequestPlan& aPlan,
        CancelSource& aCancel)
{
  ReserveResult result =
    aServing.m_rateQueue.Reserve(aPlan.m_clientAccount, aPlan.m_cost);
  if (std::holds_alternative<InsufficientTokens>(result)) {
    result =
      co_await WaitForTokens(aServing, aPlan, std::move(result), aCancel);
  }
  if (const auto reason = aCancel.Reason()) {
    ReleaseTokens(aServing, result);
    throw RequestError(*reason, "the request was cancelled", Ran::No);
  }
  Reservation reservation = std::visit(ReservationOrThrow{}, result);
  if (reservation.m_isRunningLow) {
    aServing.m_borrower.BorrowAhead(aPlan.m_clientAccount);
  }
  co_return reservation;
}

// Returns the tokens that the request used, from its final report.
Tokens
CountUsedTokens(const RequestPlan& aPlan, const AttemptsReport& aReport)
{
  if (aReport.m_ran == Ran::No) {
    return Tokens(0);
  }
  const bool isModelCost =
    std::holds_alternative<ModelCost>(aPlan.m_route.m_cost);
  if (isModelCost && aReport.m_generatedTokens) {
    return aPlan.m_promptTokens + Tokens(*aReport.m_generatedTokens);
  }
  return aPlan.m_cost;
}

} // namespace

Task<void>
RunRequest(ServingContext& aServing,
           const RequestPlan& aPlan,
           RunOptions aOptions,
           ResponseSink& aSink,
           CancelSource& aCancel,
           AttemptsReport& aReport)
{
  auto registration =
    aServing.m_inFlight.Add(ToInFlightRequest(aPlan), aCancel);
  std::optional<ScopedReservation> scopedReservation;
  if (aOptions.m_reservesRate && !aPlan.m_clientAccount.IsEmpty()) {
    Reservation reservation = co_await Reserve(aServing, aPlan, aCancel);
    scopedReservation.emplace(aServing, std::move(reservation));
  }
  Attempts attempts({ .m_serving = aServing,
                      .m_plan = aPlan,
                      .m_sink = aSink,
                      .m_cancel = aCancel,
                      .m_registration = registration });
  std::optional<RequestError> failure;
  try {
    if (aOptions.m_onlyPeer) {
      co_await attempts.RunAtPeer(*aOptions.m_onlyPeer);
    } else {
      co_await attempts.Run();
    }
  } catch (const RequestError& error) {
    failure = error;
  }
  aReport = attempts.Report();
  if (scopedReservation) {
    scopedReservation->SetUsed(CountUsedTokens(aPlan, aReport));
  }
  if (failure) {
    throw RequestError(*failure);
  }
}

} // namespace rattanweir
