#include "rattanweir/process/in_flight/in_flight.h"
#include "rattanweir/process/in_flight/peer_attempts.h"

#include <catch2/catch.hpp>

#include <optional>

namespace rattanweir {
namespace {

TEST_CASE("a withdrawn key ends requests that may be ended")
{
  struct Row
  {
    const char* m_key;
    bool m_isIdempotent;
    bool m_isDispatched;
    bool m_isCancelled;
  };
  const Row rows[] = {
    { "withdrawn", true, false, true },  { "withdrawn", true, true, true },
    { "withdrawn", false, false, true }, { "withdrawn", false, true, false },
    { "granted", true, true, false },
  };
  for (const Row& row : rows) {
    InFlightRequests running;
    CancelSource cancel;
    const InFlightRequest request{ .m_key = KeyId(row.m_key),
                                   .m_isIdempotent = row.m_isIdempotent };
    auto entry = running.Add(request, cancel);
    if (row.m_isDispatched) {
      entry.MarkDispatched();
    }
    running.CancelWithdrawn([](const InFlightRequest& aRequest) {
      return aRequest.m_key == KeyId("granted");
    });
    REQUIRE((cancel.Reason() == ResultCode::KeyWithdrawn) == row.m_isCancelled);
    REQUIRE(running.Count() == 1);
  }
}

TEST_CASE("cancelling may end other requests of the registry")
{
  InFlightRequests running;
  CancelSource first;
  CancelSource second;
  auto firstEntry = running.Add({}, first);
  std::optional<InFlightRequests::Registration> secondEntry =
    running.Add({}, second);
  const auto registration = first.OnCancel([&] { secondEntry.reset(); });
  running.CancelAll(ResultCode::InstanceDraining);
  REQUIRE(first.Reason() == ResultCode::InstanceDraining);
  REQUIRE_FALSE(second.Reason().has_value());
  REQUIRE(running.Count() == 1);
}

TEST_CASE("only the attempts at a lost peer end, while they are waited for")
{
  PeerAttempts attempts;
  const InstanceId lost("lost");
  CancelSource first;
  CancelSource second;
  CancelSource elsewhere;
  const auto firstEntry = attempts.Add(lost, first);
  const auto otherEntry = attempts.Add(InstanceId("other"), elsewhere);
  {
    const auto secondEntry = attempts.Add(lost, second);
    REQUIRE(attempts.Peers().size() == 2);
  }
  attempts.CancelAttemptsTo(lost);
  attempts.CancelAttemptsTo(InstanceId("unknown"));
  REQUIRE(first.Reason() == ResultCode::PeerLost);
  REQUIRE_FALSE(second.Reason());
  REQUIRE_FALSE(elsewhere.Reason());
}

} // namespace
} // namespace rattanweir
