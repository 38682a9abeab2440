// Test fixture: the request pipeline of one instance, with a scripted upstream
// and a caller that records outcomes, on one io_context and a manual clock.
//
//   PipelineFixture fixture;
//   fixture.Script("10.0.0.1:1", { .m_kind = ResponseKind::ConnectFails });
//   const Outcome outcome = fixture.SendRequest({ .m_target = "/ask" });
//   REQUIRE(outcome.m_code == ResultCode::Ok);
//
// The instance is east-1 in region east. Its peers are east-2 and west-1.

#pragma once

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/request/pipeline/entry_handler.h"
#include "rattanweir/request/pipeline/peer_handler.h"
#include "testing/pipeline_fixture/outcome.h"
#include "testing/pipeline_fixture/scripted_upstream.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace rattanweir {

struct PipelineTestRequest
{
  std::string m_method = "POST";
  std::string m_target = "/ask";
  HeaderFields m_headers = { { "authorization", "Bearer key-a" } };
  std::string m_body = R"({"prompt":"12345678","max_tokens":10})";
};

class ScriptedBorrower final : public ShareBorrower
{
public:
  Task<bool> Borrow(ClientAccountId aAccount,
                    Tokens aTokens,
                    SteadyTime aDeadline,
                    CancelSource& aCancel) override;
  void BorrowAhead(const ClientAccountId& aAccount) override;

  unsigned m_borrowCount = 0;
  unsigned m_borrowAheadCount = 0;
  // Called by Borrow before it returns.
  std::function<void()> m_onBorrow;
  bool m_isGranted = false;
};

class PipelineFixture
{
public:
  PipelineFixture();

  void Script(const std::string& aEndpoint, ScriptedResponse aResponse);

  // Sends one request and runs until it completes.
  Outcome& SendRequest(const PipelineTestRequest& aRequest);
  Outcome& SendPeerRequest(const PipelineTestRequest& aRequest);

  // Starts one request; returns when no handler is ready to run.
  Outcome& Start(RequestHandler& aHandler, const PipelineTestRequest& aRequest);

  // Runs until the condition holds. Fails the test if no work remains before
  // that.
  void RunUntil(const std::function<bool()>& aCondition);

  // Advances the clock in steps short enough that the rate ledger detects no
  // pause of the process.
  void Advance(std::chrono::nanoseconds aDuration);

  void Offer(SectionKind aKind, const std::string& aText);
  void OfferKeys(const std::vector<std::string>& aNames);
  // Applies a heartbeat of the peer, with an interval of one second.
  void ReceiveHeartbeat(const std::string& aId, Incarnation aIncarnation);
  // Issues an idempotency key for the route `book`.
  std::string IssueKey();

  asio::io_context m_context;
  ManualClock m_clock;
  RandomEngine m_random{ 11 };
  Catalog m_catalog;
  Membership m_membership{ { .m_clock = m_clock,
                             .m_self = InstanceId("east-1") } };
  RateLedger m_rates;
  IdempotencyLedger m_idempotencyLedger;
  BackendView m_backends{ { .m_clock = m_clock } };
  PrefixView m_prefixes{ { .m_clock = m_clock } };
  InFlightRequests m_inFlight;
  PeerAttempts m_peerAttempts;
  RetryBudget m_retryBudget{ {} };
  RateQueue m_rateQueue;
  Metrics m_metrics;
  ScriptedUpstream m_upstream{ m_context };
  ScriptedBorrower m_borrower;
  ServingContext m_serving;
  KeyedRuns m_keyedRuns{ m_serving };
  EntryHandler m_entry{ m_serving, m_keyedRuns };
  PeerHandler m_peer;

private:
  std::uint64_t m_nextVersion = 1;
  std::uint64_t m_nextRequest = 1;
  std::deque<Outcome> m_outcomes;
};

// Returns `aFields` followed by `aMore`.
HeaderFields
With(HeaderFields aFields, const HeaderFields& aMore);

// The authorization header with the key of client account a.
extern const HeaderFields kKeyA;

// Returns the headers with which west-1 forwards a request of client account a.
HeaderFields
WestPeerHeaders(const char* aRoute);

// Returns a booking request with this idempotency key.
PipelineTestRequest
Booking(const std::string& aKey, const char* aBody = R"({"place":1})");

// Advances the clock by 10 s at once, which the rate ledger detects as a pause
// of the process.
void
PauseProcess(PipelineFixture& aFixture);

// Scripts this response `aTimes` times for both engines of region east.
void
FailEngines(PipelineFixture& aFixture, ResponseKind aKind, int aTimes = 1);

// Returns a header field of a sent request; fails the test if absent.
const std::string&
SentField(const PipelineFixture& aFixture,
          std::size_t aIndex,
          const char* aName);

} // namespace rattanweir
