#include "rattanweir/base/asio/asio.h"

#include "testing/fleet_soak/stand_ins.h"

#include "rattanweir/base/json/json.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/wait/wait.h"

#include <utility>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kServiceTime{ 5 };

HttpServerOptions
ServerOptions(asio::io_context& aContext, RequestHandler& aHandler)
{
  return { .m_executor = aContext.get_executor(),
           .m_address = ParseEndpoint("127.0.0.1:0"),
           .m_handler = aHandler };
}

std::string
FieldOf(const InboundRequest& aRequest, const char* aName)
{
  const std::string* value = FindHeader(aRequest.m_headers, aName);
  return value == nullptr ? "" : *value;
}

bool
HappensWithProbability(RandomEngine& aRandom, double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom) < aProbability;
}

} // namespace

std::size_t
RunHistory::RunCount(const std::string& aId) const
{
  const auto found = m_runs.find(aId);
  return found == m_runs.end() ? 0 : found->second.size();
}

StandInServer::StandInServer(const StandInServerOptions& aOptions)
  : m_options(aOptions)
  , m_server(ServerOptions(aOptions.m_context, *this))
{
  m_server.Start();
}

std::string
StandInServer::StoreRecord(const Endpoint& aAddress, const char* aState) const
{
  Json::Value entry;
  entry["service"] = "desk";
  entry["address"] = aAddress.ToString();
  entry["zone"] = m_options.m_zone;
  entry["slots"] = 6;
  entry["state"] = aState;
  entry["born"] = 1;
  entry["sequence"] = 1;
  return JsonText(entry);
}

Task<void>
StandInServer::Handle(InboundRequest aRequest,
                      ResponseSink& aSink,
                      CancelSource& aCancel)
{
  const std::string id = FieldOf(aRequest, "Rattanweir-Request-Id");
  const bool isOtherServer =
    FieldOf(aRequest, "Rattanweir-Expect-Instance") != m_options.m_id;
  if (isOtherServer ||
      HappensWithProbability(m_options.m_random, m_refuseProbability)) {
    ResponseHead head{ .m_status = isOtherServer ? 421U : 503U,
                       .m_headers = { { "Rattanweir-Not-Run", "1" } },
                       .m_contentLength = 0 };
    co_await aSink.WriteHead(std::move(head));
    co_await aSink.Finish();
    co_return;
  }
  m_options.m_history.m_runs[id].push_back(
    { .m_server = m_options.m_id,
      .m_account = FieldOf(aRequest, "Rattanweir-Tenant"),
      .m_at = SystemClock().SteadyNow() });
  co_await WaitFor(m_options.m_context.get_executor(), kServiceTime, aCancel);
  std::string body = ExpectedBody(id);
  ResponseHead head{ .m_status = 200,
                     .m_headers = { { "Rattanweir-Request-Id", id },
                                    { "Rattanweir-Response-Seal", "s" } },
                     .m_contentLength = body.size() };
  const bool isAborted =
    HappensWithProbability(m_options.m_random, m_abortProbability);
  co_await aSink.WriteHead(std::move(head));
  if (isAborted) {
    throw RequestError(ResultCode::InternalError,
                       "response aborted by the test server");
  }
  co_await aSink.WriteChunk(std::move(body));
  co_await aSink.Finish();
}

std::string
ExpectedBody(const std::string& aId)
{
  return "answer to " + aId;
}

} // namespace rattanweir::testing
