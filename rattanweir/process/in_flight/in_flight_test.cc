#include "rattanweir/process/in_flight/in_flight.h"
#include "rattanweir/process/in_flight/peer_attempts.h"

#include <catch2/catch.hpp>

#include <optional>

namespace rattanweir {
namespace {

TEST_CASE(
  "a withdrawn key cancels requests, except dispatched non-idempotent ones")
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
    InFlightRequests requests;
    CancelSource cancel;
    const InFlightRequest request{ .m_key = KeyId(row.m_key),
                                   .m_isIdempotent = row.m_isIdempotent };
    auto registration = requests.Add(request, cancel);
    if (row.m_isDispatched) {
      registration.MarkDispatched();
    }
    requests.CancelWithdrawn([](const InFlightRequest& aRequest) {
      return aRequest.m_key == KeyId("granted");
    });
    REQUIRE((cancel.Reason() == ResultCode::KeyWithdrawn) == row.m_isCancelled);
    REQUIRE(requests.Count() == 1);
  }
}

TEST_CASE("cancelling a request may remove other requests from the registry")
{
  InFlightRequests requests;
  CancelSource first;
  CancelSource second;
  auto firstRegistration = requests.Add({}, first);
  std::optional<InFlightRequests::Registration> secondRegistration =
    requests.Add({}, second);
  const auto subscription = first.OnCancel([&] { secondRegistration.reset(); });
  requests.CancelAll(ResultCode::InstanceDraining);
  REQUIRE(first.Reason() == ResultCode::InstanceDraining);
  REQUIRE_FALSE(second.Reason().has_value());
  REQUIRE(requests.Count() == 1);
}

TEST_CASE("only registered attempts to a lost peer are cancelled")
{
  PeerAttempts attempts;
  const InstanceId lost("lost");
  CancelSource first;
  CancelSource second;
  CancelSource otherCancel;
  const auto firstRegistration = attempts.Add(lost, first);
  const auto otherRegistration = attempts.Add(InstanceId("other"), otherCancel);
  {
    const auto secondRegistration = attempts.Add(lost, second);
    REQUIRE(attempts.Peers().size() == 2);
  }
  attempts.CancelAttemptsTo(lost);
  attempts.CancelAttemptsTo(InstanceId("unknown"));
  REQUIRE(first.Reason() == ResultCode::PeerLost);
  REQUIRE_FALSE(second.Reason());
  REQUIRE_FALSE(otherCancel.Reason());
}

} // namespace
} // namespace rattanweir
