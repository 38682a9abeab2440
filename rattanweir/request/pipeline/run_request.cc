#include "rattanweir/request/pipeline/run_request.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

// Tokens reserved for one request; settled when destroyed.
class RateHold
{
public:
  RateHold(Serving& aServing, Reservation aReservation)
    : m_serving(&aServing)
    , m_reservation(std::move(aReservation))
    , m_used(m_reservation.m_tokens)
  {
  }
  ~RateHold() { m_serving->m_rates.Settle(m_reservation, m_used); }
  RateHold(const RateHold&) = delete;
  RateHold& operator=(const RateHold&) = delete;

  void SetUsed(Tokens aUsed)
  {
    m_used = std::min(aUsed, m_reservation.m_tokens);
  }

private:
  Serving* m_serving;
  Reservation m_reservation;
  // All of it, unless less is known to be used.
  Tokens m_used;
};

// Turns a result that is no reservation into its refusal.
struct RefuseReserve
{
  Reservation operator()(const Reservation& aReservation) const
  {
    return aReservation;
  }
  Reservation operator()(const ExceedsBurst&) const
  {
    throw RequestError(ResultCode::RequestExceedsBurst,
                       "the request needs more than the whole burst",
                       Ran::No);
  }
  Reservation operator()(const UnknownClientAccount&) const
  {
    throw RequestError(ResultCode::ClientAccountUnknown,
                       "the client account is not in the configuration",
                       Ran::No);
  }
  Reservation operator()(const InsufficientTokens& aShort) const
  {
    throw RequestError(ResultCode::RateExceeded,
                       "the client account's rate allows no more now",
                       Ran::No,
                       aShort.m_retryAfter);
  }
  Reservation operator()(const LedgerPaused&) const
  {
    throw RequestError(
      ResultCode::InstancePaused, "the process was paused", Ran::No);
  }
};

// Gives back what was reserved for a request that is not served after all.
void
ReleaseTokens(Serving& aServing, const ReserveResult& aResult)
{
  if (const auto* reservation = std::get_if<Reservation>(&aResult)) {
    aServing.m_rates.Settle(*reservation, Tokens(0));
  }
}

// Borrows, then waits in line for what is still missing.
Task<ReserveResult>
WaitForTokens(Serving& aServing,
              const RequestPlan& aPlan,
              ReserveResult aShort,
              CancelSource& aCancel)
{
  const SteadyTime arrived = aServing.m_clock.SteadyNow();
  const SteadyTime until = std::min(arrived + kMaxRateWait, aPlan.m_deadline);
  RateQueue::Waiter place(
    aServing.m_rateQueue, aPlan.m_clientAccount, aPlan.m_cost);
  if (!place.IsQueued()) {
    co_return aShort;
  }
  const bool hasBorrowed = co_await aServing.m_borrower.Borrow(
    aPlan.m_clientAccount, place.CumulativeTokens(), until, aCancel);
  if (hasBorrowed) {
    aServing.m_rateQueue.Wake(aPlan.m_clientAccount);
  } else if (aServing.m_clock.SteadyNow() >= until) {
    co_return aShort;
  }
  const ReserveResult result = co_await place.Wait(until, aCancel);
  aServing.m_metrics.Observe("rattanweir_rate_wait_seconds",
                             aServing.m_clock.SteadyNow() - arrived);
  co_return result;
}

Task<Reservation>
Reserve(Serving& aServing, const RequestPlan& aPlan, CancelSource& aCancel)
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
  Reservation reservation = std::visit(RefuseReserve{}, result);
  if (reservation.m_isRunningLow) {
    aServing.m_borrower.BorrowAhead(aPlan.m_clientAccount);
  }
  co_return reservation;
}

// What the request used, once its report is final.
Tokens
UsedTokens(const RequestPlan& aPlan, const AttemptsReport& aReport)
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
RunRequest(Serving& aServing,
           const RequestPlan& aPlan,
           RunOptions aOptions,
           ResponseSink& aSink,
           CancelSource& aCancel,
           AttemptsReport& aReport)
{
  auto registration = aServing.m_inFlight.Add(RunningRequestOf(aPlan), aCancel);
  std::optional<RateHold> hold;
  if (aOptions.m_reservesRate && !aPlan.m_clientAccount.IsEmpty()) {
    Reservation reservation = co_await Reserve(aServing, aPlan, aCancel);
    hold.emplace(aServing, std::move(reservation));
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
  if (hold) {
    hold->SetUsed(UsedTokens(aPlan, aReport));
  }
  if (failure) {
    throw RequestError(*failure);
  }
}

} // namespace rattanweir
