#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/response_pass.h"

#include "rattanweir/base/result/result_code.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/relay/event_splitter.h"

#include <utility>

namespace rattanweir {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
// An answer up to this length is passed on only once it is whole.
constexpr std::uint64_t kHeldBackBytes = std::uint64_t{ 64 } * 1024;

bool
IsSuccess(const ResponseHead& aHead)
{
  return aHead.m_status >= 200 && aHead.m_status < 300;
}

// Counts the event. Throws AnswerMismatch if the caller has it already.
void
CountEvent(const StreamEvent& aEvent, PassProgress& aProgress)
{
  if (!aEvent.m_id) {
    aProgress.m_isUnnumbered = true;
    return;
  }
  if (aProgress.m_lastEvent && *aEvent.m_id <= *aProgress.m_lastEvent) {
    throw RequestError(ResultCode::AnswerMismatch,
                       "the stream went on at an event that was passed on");
  }
  aProgress.m_lastEvent = aEvent.m_id;
}

} // namespace

ResponsePass::ResponsePass(ResponsePassOptions aOptions)
  : m_options(std::move(aOptions))
{
}

void
ResponsePass::Begin()
{
  if (!std::exchange(m_hasBegun, true) && m_options.m_onBegin) {
    m_options.m_onBegin();
  }
}

Task<void>
ResponsePass::Run(UpstreamExchange& aExchange, ResponseHead aHead)
{
  if (IsSuccess(aHead) && HasMediaType(aHead.m_headers, kEventStream)) {
    co_await PassStream(aExchange, std::move(aHead));
  } else if (m_options.m_progress.m_hasHead) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "the stream was not resumed: status " +
                         std::to_string(aHead.m_status));
  } else if (aHead.m_contentLength &&
             *aHead.m_contentLength <= kHeldBackBytes) {
    co_await PassHeldBack(aExchange, std::move(aHead));
  } else {
    co_await PassPieces(aExchange, std::move(aHead));
  }
}

Task<void>
ResponsePass::PassStream(UpstreamExchange& aExchange, ResponseHead aHead)
{
  PassProgress& progress = m_options.m_progress;
  aHead.m_contentLength.reset();
  EventSplitter splitter;
  while (const auto piece = co_await aExchange.ReadChunk()) {
    Begin();
    std::string text;
    for (const StreamEvent& event : splitter.Add(*piece)) {
      CountEvent(event, progress);
      text += event.m_text;
    }
    if (text.empty()) {
      continue;
    }
    if (!std::exchange(progress.m_hasHead, true)) {
      co_await m_options.m_sink.WriteHead(aHead);
    }
    co_await m_options.m_sink.WriteChunk(std::move(text));
  }
  Begin();
  if (splitter.HasPending()) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "the stream ended within an event");
  }
  if (!std::exchange(progress.m_hasHead, true)) {
    co_await m_options.m_sink.WriteHead(aHead);
  }
  co_await m_options.m_sink.Finish();
}

Task<void>
ResponsePass::PassHeldBack(UpstreamExchange& aExchange, ResponseHead aHead)
{
  std::string body;
  while (const auto piece = co_await aExchange.ReadChunk()) {
    body += *piece;
  }
  Begin();
  m_options.m_progress.m_hasHead = true;
  co_await m_options.m_sink.WriteHead(std::move(aHead));
  if (!body.empty()) {
    co_await m_options.m_sink.WriteChunk(std::move(body));
  }
  co_await m_options.m_sink.Finish();
}

Task<void>
ResponsePass::PassPieces(UpstreamExchange& aExchange, ResponseHead aHead)
{
  auto piece = co_await aExchange.ReadChunk();
  Begin();
  m_options.m_progress.m_hasHead = true;
  co_await m_options.m_sink.WriteHead(std::move(aHead));
  while (piece) {
    co_await m_options.m_sink.WriteChunk(std::move(*piece));
    piece = co_await aExchange.ReadChunk();
  }
  co_await m_options.m_sink.Finish();
}

} // namespace rattanweir
