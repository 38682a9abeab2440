#include "testing/harness/caller.h"

#include <utility>

namespace rattanweir::testing {

namespace {

using namespace std::chrono_literals;

// Exceeds the deadlines of all routes.
constexpr auto kCallTimeout = 10s;
constexpr std::uint64_t kBytesPerToken = 4;

std::string
PathOf(CallKind aKind)
{
  return aKind == CallKind::Booking ? "/bookings" : "/v1/chat";
}

std::string
BodyOf(const CallOptions& aOptions, const std::string& aMarker)
{
  Json::Value body;
  body["marker"] = aMarker;
  if (aOptions.m_kind != CallKind::Booking) {
    body["model"] = "guide";
    body["prompt"] = aOptions.m_prompt;
    body["max_tokens"] = Json::UInt64(aOptions.m_maxTokens);
    body["stream"] = aOptions.m_kind == CallKind::Stream;
  }
  return WriteJson(body);
}

std::int64_t
CostOf(const CallOptions& aOptions)
{
  if (aOptions.m_kind == CallKind::Booking) {
    return kBookingCost;
  }
  const std::uint64_t prompt =
    (aOptions.m_prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  return static_cast<std::int64_t>(prompt + aOptions.m_maxTokens);
}

} // namespace

Caller::Caller(Fleet& aFleet, std::string aInstance)
  : m_fleet(aFleet)
  , m_instance(std::move(aInstance))
{
}

bool
Caller::Connect()
{
  try {
    if (!m_connection || !m_connection->IsOpen()) {
      m_connection = std::make_unique<HttpConnection>(
        m_fleet.CallerAddress(m_instance), kCallTimeout);
    }
    return true;
  } catch (const HttpError&) {
    m_connection.reset();
    return false;
  }
}

CallerRecord
Caller::Call(const CallOptions& aOptions, const HttpConnection::OnBody& aOnBody)
{
  const std::string marker =
    aOptions.m_marker.empty() ? m_fleet.NewMarker() : aOptions.m_marker;
  HttpRequest request{
    .m_method = "POST",
    .m_target =
      aOptions.m_path.empty() ? PathOf(aOptions.m_kind) : aOptions.m_path,
    .m_headers = { { .m_name = "authorization",
                     .m_value =
                       "Bearer " + KeyTextOf(aOptions.m_clientAccount) },
                   { .m_name = "content-type",
                     .m_value = "application/json" } },
    .m_body = BodyOf(aOptions, marker)
  };
  if (!aOptions.m_idempotencyKey.empty()) {
    request.m_headers.push_back(
      { .m_name = "idempotency-key", .m_value = aOptions.m_idempotencyKey });
  }
  CallerRecord call{ .m_marker = marker,
                     .m_kind = aOptions.m_kind,
                     .m_clientAccount = aOptions.m_clientAccount,
                     .m_keyId = KeyIdOf(aOptions.m_clientAccount),
                     .m_instance = m_instance,
                     .m_prompt = aOptions.m_prompt,
                     .m_maxTokens = aOptions.m_maxTokens,
                     .m_body = request.m_body,
                     .m_cost = CostOf(aOptions),
                     .m_permittedRegions = aOptions.m_permittedRegions,
                     .m_sentAt = WallMicroseconds() };
  if (!Connect()) {
    return call;
  }
  m_last = m_connection->Send(request, aOnBody);
  call.m_endedAt = WallMicroseconds();
  call.m_status = m_last.m_status;
  call.m_ran = FieldOf(m_last.m_headers, "rattanweir-ran");
  call.m_response = m_last.m_body;
  call.m_isComplete = m_last.m_isComplete;
  m_fleet.Record(call);
  return call;
}

std::string
Caller::IssueKey(const std::string& aClientAccount)
{
  const HttpRequest request{ .m_method = "POST",
                             .m_target = "/v1/idempotency-keys",
                             .m_headers = { { .m_name = "x-api-key",
                                              .m_value =
                                                KeyTextOf(aClientAccount) } },
                             .m_body = R"({"route":"bookings"})" };
  if (!Connect()) {
    return "";
  }
  m_last = m_connection->Send(request);
  return m_last.m_status == 200
           ? ParseJson(m_last.m_body)["idempotency_key"].asString()
           : "";
}

std::string
Caller::LastResult() const
{
  return FieldOf(m_last.m_headers, "rattanweir-result");
}

bool
IsServed(Fleet& aFleet, const std::string& aInstance, const CallOptions& aCall)
{
  const CallerRecord call = Caller(aFleet, aInstance).Call(aCall);
  return call.m_status == 200 && IsExpectedResponse(call);
}

void
WaitUntilServed(Fleet& aFleet,
                const std::string& aInstance,
                const CallOptions& aCall)
{
  WaitUntil("a request to be served at " + aInstance,
            [&] { return IsServed(aFleet, aInstance, aCall); });
}

void
WaitUntilAllServe(Fleet& aFleet)
{
  aFleet.WaitUntilReady();
  for (const std::string& instance : aFleet.Instances()) {
    for (const char* const account : { "parents", "teachers" }) {
      WaitUntilServed(aFleet, instance, { .m_clientAccount = account });
    }
  }
}

} // namespace rattanweir::testing
