// One client account at this instance: its bucket, its demand, and the leases
// asked for and lent.
//
// RateLedger keeps one for each account and sees pauses for them; see there
// for the contract. Times passed in never go back. For one thread.

#pragma once

#include "rattanweir/process/rate/internal/demand.h"
#include "rattanweir/process/rate/internal/lender_choice.h"
#include "rattanweir/process/rate/internal/share_bucket.h"
#include "rattanweir/process/rate/rate_ledger.h"

#include <optional>
#include <vector>

namespace rattanweir::internal {

class AccountLedger
{
public:
  // Owns nothing until `aOwnsFrom`, since a predecessor may have lent it.
  AccountLedger(const RateLedgerOptions& aOptions,
                SteadyTime aNow,
                SteadyTime aOwnsFrom,
                const ShareLimits& aLimits);

  void SetLimits(SteadyTime aNow, const ShareLimits& aLimits);

  // Takes the tokens, or says how long it would take.
  std::optional<InsufficientTokens> Take(SteadyTime aNow, Tokens aTokens);
  // How long until `aAhead` tokens and then these were taken.
  InsufficientTokens ShortBehind(SteadyTime aNow,
                                 Tokens aTokens,
                                 Tokens aAhead);
  void CountDemand(SteadyTime aNow, Tokens aTokens);
  void GiveBack(SteadyTime aNow, Tokens aTokens);

  // Whether the share held covers the demand of the next second.
  bool IsRunningLow(SteadyTime aNow) const;

  // The request without its id, borrower and account.
  std::optional<LeaseRequest> Prepare(SteadyTime aNow,
                                      Tokens aTokens,
                                      const std::vector<InstanceId>& aPeers);
  // The id under which the prepared request is sent.
  void NoteAsked(const LeaseId& aId) { m_asked->m_id = aId; }

  LeaseGrant Lend(SteadyTime aNow, const LeaseRequest& aRequest);
  bool Accept(SteadyTime aNow, const LeaseGrant& aGrant);

  bool Reclaim(SteadyTime aNow, const LeaseReturn& aReturn);

  // Ends leases that are over, and gives up those that are not needed, without
  // borrower and account.
  std::vector<LeaseReturn> EndLeases(SteadyTime aNow);

  // Forgets what was borrowed and asked for, with an empty bucket.
  void Pause(SteadyTime aNow);
  void Empty(SteadyTime aNow);

  const ShareBucket& Bucket() const { return m_bucket; }

private:
  // The one request that waits for its answer.
  struct Asked
  {
    LeaseId m_id;
    InstanceId m_lender;
    double m_fraction = 0;
    SteadyTime m_at;
  };
  struct Asker
  {
    InstanceId m_borrower;
    SteadyTime m_at;
  };

  // Whether a request is out that may still be answered.
  bool IsWaiting(SteadyTime aNow) const;
  double FractionWanted(SteadyTime aNow, double aTokens) const;
  double TokensWanted(SteadyTime aNow, double aTokens) const;
  double FractionToSpare(SteadyTime aNow) const;
  double FairPart(SteadyTime aNow, const InstanceId& aBorrower);
  double TokensToLend(SteadyTime aNow,
                      double aFraction,
                      const LeaseRequest& aRequest) const;
  bool IsSpare(SteadyTime aNow, const BorrowedPart& aPart) const;
  std::chrono::nanoseconds RetryAfter(SteadyTime aNow) const;

  const RateLedgerOptions& m_options;
  ShareBucket m_bucket;
  Demand m_demand;
  LenderChoice m_choice;
  std::optional<Asked> m_asked;
  std::vector<Asker> m_askers;
};

} // namespace rattanweir::internal
