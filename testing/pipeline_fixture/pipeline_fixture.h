// One instance's request pipeline between a scripted upstream and a recording
// caller, on one io_context and a clock moved by hand.
//
//   PipelineFixture world;
//   world.Script("10.0.0.1:1", { .m_kind = ResponseKind::ConnectFails });
//   const Outcome outcome = world.Ask({ .m_target = "/ask" });
//   REQUIRE(outcome.m_code == ResultCode::Ok);
//
// The instance is east-1 of region east. Its peers are east-2 and west-1.

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
  // Runs before the answer.
  std::function<void()> m_onBorrow;
  bool m_isGranted = false;
};

class PipelineFixture
{
public:
  PipelineFixture();

  void Script(const std::string& aEndpoint, ScriptedResponse aResponse);

  // Handles one request to its end.
  Outcome& SendRequest(const PipelineTestRequest& aRequest);
  Outcome& SendPeerRequest(const PipelineTestRequest& aRequest);

  // Starts one request; ends once nothing can go on without help.
  Outcome& Start(RequestHandler& aHandler, const PipelineTestRequest& aRequest);

  // Runs until the condition holds. Fails the test if it never can.
  void RunUntil(const std::function<bool()>& aCondition);

  // Lets time pass as it does for a process that runs.
  void Advance(std::chrono::nanoseconds aDuration);

  void Offer(SectionKind aKind, const std::string& aText);
  void OfferKeys(const std::vector<std::string>& aNames);
  // As the peer's heartbeat tells it; the next one is due in a second.
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

// The first fields and then the others.
HeaderFields
With(HeaderFields aFields, const HeaderFields& aMore);

// The field that shows the key of client account a.
extern const HeaderFields kKeyA;

// What west-1 sends with a request of client account a.
HeaderFields
WestPeerHeaders(const char* aRoute);

// A booking under this idempotency key.
PipelineTestRequest
Booking(const std::string& aKey, const char* aBody = R"({"place":1})");

// Lets the rate ledger see a gap as after a pause of the process.
void
PauseProcess(PipelineFixture& aFixture);

// Both engines of the region do this, so many times.
void
FailEngines(PipelineFixture& aFixture, ResponseKind aKind, int aTimes = 1);

// A header field of a request that was sent; fails the test without one.
const std::string&
SentField(const PipelineFixture& aFixture,
          std::size_t aIndex,
          const char* aName);

} // namespace rattanweir
