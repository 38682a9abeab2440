#include "rattanweir/base/asio/asio.h"

#include "testing/fleet_soak/stand_ins.h"

#include "rattanweir/base/json/json.h"
#include "rattanweir/connection/admin/admin_query.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/wait/wait.h"

#include <openssl/evp.h>

#include <algorithm>
#include <utility>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWatchPollInterval{ 10 };
constexpr milliseconds kServiceTime{ 5 };

HttpServerOptions
ServerOptions(asio::io_context& aContext, RequestHandler& aHandler)
{
  return { .m_executor = aContext.get_executor(),
           .m_address = ParseEndpoint("127.0.0.1:0"),
           .m_handler = aHandler };
}

std::string
Base64(const std::string& aText)
{
  std::string encoded(4 * ((aText.size() + 2) / 3) + 1, '\0');
  const int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  encoded.resize(static_cast<std::size_t>(length));
  return encoded;
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

StandInStore::StandInStore(asio::io_context& aContext)
  : m_context(aContext)
  , m_server(ServerOptions(aContext, *this))
{
  m_server.Start();
}

void
StandInStore::Put(const std::string& aKey, const std::string& aValue)
{
  m_items[aKey] = { .m_key = aKey,
                    .m_value = aValue,
                    .m_revision = ++m_revision };
}

void
StandInStore::Remove(const std::string& aKey)
{
  m_items[aKey] = { .m_key = aKey,
                    .m_revision = ++m_revision,
                    .m_isRemoved = true };
}

Json::Value
StandInStore::ItemsNewerThan(const std::string& aPrefix,
                             std::uint64_t aAfter,
                             bool aIncludesRemoved) const
{
  std::vector<const Item*> items;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(aPrefix) && item.m_revision > aAfter &&
        (aIncludesRemoved || !item.m_isRemoved)) {
      items.push_back(&item);
    }
  }
  std::ranges::sort(items, {}, &Item::m_revision);
  Json::Value list(Json::arrayValue);
  for (const Item* item : items) {
    Json::Value entry;
    entry["key"] = item->m_key;
    entry["revision"] = Json::UInt64(item->m_revision);
    if (item->m_isRemoved) {
      entry["tombstone"] = true;
    } else {
      entry["value"] = Base64(item->m_value);
    }
    list.append(std::move(entry));
  }
  return list;
}

Task<void>
StandInStore::Handle(InboundRequest aRequest,
                     ResponseSink& aSink,
                     CancelSource& aCancel)
{
  if (m_isDown) {
    Json::Value nothing(Json::objectValue);
    co_await Respond(503, std::move(nothing), aSink);
    co_return;
  }
  const AdminQuery query = ParseAdminTarget(aRequest.m_target);
  const std::string prefix = query.Require("prefix");
  Json::Value response;
  if (query.m_path == "/api/kv-range") {
    response["items"] = ItemsNewerThan(prefix, 0, false);
    response["truncated"] = false;
  } else {
    const std::uint64_t after = std::stoull(query.Require("after"));
    milliseconds left(std::stoll(query.Require("waitMs")));
    response["events"] = ItemsNewerThan(prefix, after, true);
    while (response["events"].empty() && left > milliseconds(0) &&
           !aCancel.Reason() && !m_isDown) {
      co_await WaitFor(m_context.get_executor(), kWatchPollInterval, aCancel);
      left -= kWatchPollInterval;
      response["events"] = ItemsNewerThan(prefix, after, true);
    }
  }
  response["at"] = Json::UInt64(m_revision);
  co_await Respond(200, std::move(response), aSink);
}

Task<void>
StandInStore::Respond(unsigned aStatus, Json::Value aBody, ResponseSink& aSink)
{
  std::string text = JsonText(aBody);
  ResponseHead head{ .m_status = aStatus, .m_contentLength = text.size() };
  co_await aSink.WriteHead(std::move(head));
  co_await aSink.WriteChunk(std::move(text));
  co_await aSink.Finish();
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
