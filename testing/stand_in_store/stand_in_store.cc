#include "rattanweir/base/asio/asio.h"

#include "testing/stand_in_store/stand_in_store.h"

#include "rattanweir/base/json/json.h"
#include "rattanweir/connection/admin/admin_query.h"
#include "rattanweir/request/wait/wait.h"

#include <openssl/evp.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWatchPollInterval{ 10 };
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpGone = 410;
constexpr unsigned kHttpServiceUnavailable = 503;

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

} // namespace

StandInStore::StandInStore(asio::io_context& aContext)
  : m_context(aContext)
  , m_server({ .m_executor = aContext.get_executor(),
               .m_address = ParseEndpoint("127.0.0.1:0"),
               .m_handler = *this })
{
  m_server.Start();
}

void
StandInStore::Put(const std::string& aKey, const std::string& aValue)
{
  m_contents.m_items[aKey] = { .m_key = aKey,
                               .m_value = aValue,
                               .m_revision = ++m_contents.m_revision };
}

void
StandInStore::Remove(const std::string& aKey)
{
  m_contents.m_items[aKey] = { .m_key = aKey,
                               .m_revision = ++m_contents.m_revision,
                               .m_isRemoved = true };
}

void
StandInStore::Restore(const Copy& aCopy)
{
  const std::uint64_t era = m_contents.m_era;
  m_contents = aCopy;
  m_contents.m_era = era + 1;
  m_endedCalls = m_calls;
}

void
StandInStore::DropHistory()
{
  m_contents.m_oldestRevision = m_contents.m_revision;
}

Json::Value
StandInStore::ItemsNewerThan(const Copy& aCopy,
                             const std::string& aPrefix,
                             std::uint64_t aAfter,
                             bool aIncludesRemoved)
{
  std::vector<const Item*> items;
  for (const auto& [key, item] : aCopy.m_items) {
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
  const std::uint64_t call = ++m_calls;
  Json::Value response(Json::objectValue);
  if (m_isDown) {
    co_await Respond(kHttpServiceUnavailable, std::move(response), aSink);
    co_return;
  }
  const AdminQuery query = ParseAdminTarget(aRequest.m_target);
  const std::string prefix = query.Require("prefix");
  if (query.m_path == "/api/kv-range") {
    response["items"] = ItemsNewerThan(Served(), prefix, 0, false);
    response["truncated"] = false;
  } else {
    const std::uint64_t after = std::stoull(query.Require("after"));
    milliseconds left(std::stoll(query.Require("waitMs")));
    const auto isGone = [&] {
      return after > Served().m_revision || after < Served().m_oldestRevision;
    };
    response["events"] = Json::Value(Json::arrayValue);
    while (!isGone() && !aCancel.Reason() && !m_isDown && call > m_endedCalls) {
      if (call > m_silencedCalls) {
        response["events"] = ItemsNewerThan(Served(), prefix, after, true);
        if (!response["events"].empty() || left <= milliseconds::zero()) {
          break;
        }
      }
      co_await WaitFor(m_context.get_executor(), kWatchPollInterval, aCancel);
      left -= kWatchPollInterval;
    }
    if (call <= m_endedCalls) {
      throw RequestError(ResultCode::InternalError, "the store was restored");
    }
    if (isGone()) {
      co_await Respond(kHttpGone, Json::Value(Json::objectValue), aSink);
      co_return;
    }
  }
  response["at"] = Json::UInt64(Served().m_revision);
  co_await Respond(kHttpOk, std::move(response), aSink);
}

Task<void>
StandInStore::Respond(unsigned aStatus, Json::Value aBody, ResponseSink& aSink)
{
  std::string text = JsonText(aBody);
  ResponseHead head{ .m_status = aStatus,
                     .m_headers = { { "Store-Era",
                                      std::to_string(Served().m_era) } },
                     .m_contentLength = text.size() };
  co_await aSink.WriteHead(std::move(head));
  co_await aSink.WriteChunk(std::move(text));
  co_await aSink.Finish();
}

} // namespace rattanweir::testing
