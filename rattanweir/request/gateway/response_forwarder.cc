#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/response_forwarder.h"

#include "rattanweir/base/result/result_code.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/relay/event_splitter.h"

#include <utility>

namespace rattanweir {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
// A response up to this length is forwarded only once it is complete.
constexpr std::uint64_t kMaxBufferedBytes = std::uint64_t{ 64 } * 1024;
constexpr std::size_t kEventsToCountAsAnswered = 3;
// Limit on a body that ends with its connection.
constexpr std::uint64_t kMaxCloseDelimitedBytes =
  std::uint64_t{ 32 } * 1024 * 1024;

bool
IsSuccess(const ResponseHead& aHead)
{
  return aHead.m_status >= 200 && aHead.m_status < 300;
}

// Records the event's id as the last one forwarded. Throws AnswerMismatch if
// the caller has received the event already.
void
RecordEvent(const StreamEvent& aEvent, ForwardProgress& aProgress)
{
  if (!aEvent.m_id) {
    const bool isFirst = aProgress.m_eventsInAttempt == 0;
    if (isFirst && aProgress.m_lastEventId) {
      throw RequestError(ResultCode::AnswerMismatch,
                         "the stream does not go on with a numbered event");
    }
    aProgress.m_hasEventWithoutId = true;
    return;
  }
  if (aProgress.m_lastEventId && *aEvent.m_id <= *aProgress.m_lastEventId) {
    throw RequestError(
      ResultCode::AnswerMismatch,
      "an event id is not higher than that of the last forwarded event");
  }
  aProgress.m_lastEventId = aEvent.m_id;
}

} // namespace

ResponseForwarder::ResponseForwarder(ResponseForwarderOptions aOptions)
  : m_options(std::move(aOptions))
{
}

void
ResponseForwarder::ReportFirstByte()
{
  if (!std::exchange(m_hasReportedFirstByte, true) && m_options.m_onFirstByte) {
    m_options.m_onFirstByte();
  }
}

void
ResponseForwarder::ReportAnswered()
{
  if (!std::exchange(m_hasReportedAnswered, true) && m_options.m_onAnswered) {
    m_options.m_onAnswered();
  }
}

Task<void>
ResponseForwarder::Run(UpstreamExchange& aExchange, ResponseHead aHead)
{
  if (IsSuccess(aHead) && HasMediaType(aHead.m_headers, kEventStream)) {
    co_await ForwardStream(aExchange, std::move(aHead));
  } else if (m_options.m_progress.m_hasForwardedHead) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "the stream could not be resumed: status " +
                         std::to_string(aHead.m_status));
  } else if (aHead.m_contentLength &&
             *aHead.m_contentLength <= kMaxBufferedBytes) {
    co_await ForwardBuffered(aExchange, std::move(aHead));
  } else {
    co_await ForwardChunks(aExchange, std::move(aHead));
  }
  ReportAnswered();
}

Task<void>
ResponseForwarder::ForwardStream(UpstreamExchange& aExchange,
                                 ResponseHead aHead)
{
  ForwardProgress& progress = m_options.m_progress;
  aHead.m_contentLength.reset();
  EventSplitter splitter;
  while (const auto chunk = co_await aExchange.ReadChunk()) {
    ReportFirstByte();
    std::string text;
    const std::vector<StreamEvent> events = splitter.Add(*chunk);
    if (!events.empty() && progress.m_eventsInAttempt == 0 &&
        m_options.m_onFirstEvent) {
      m_options.m_onFirstEvent();
    }
    for (const StreamEvent& event : events) {
      RecordEvent(event, progress);
      text += event.m_text;
      if (++progress.m_eventsInAttempt == kEventsToCountAsAnswered) {
        ReportAnswered();
      }
    }
    if (text.empty()) {
      continue;
    }
    if (!std::exchange(progress.m_hasForwardedHead, true)) {
      co_await m_options.m_sink.WriteHead(aHead);
    }
    co_await m_options.m_sink.WriteChunk(std::move(text));
  }
  ReportFirstByte();
  if (splitter.HasPartialEvent()) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "the stream ended within an event");
  }
  if (aHead.m_isCloseDelimited && !progress.m_lastEventId &&
      !progress.m_hasEventWithoutId) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "the connection was closed before the first event");
  }
  if (!std::exchange(progress.m_hasForwardedHead, true)) {
    co_await m_options.m_sink.WriteHead(aHead);
  }
  co_await m_options.m_sink.Finish();
}

Task<void>
ResponseForwarder::ForwardBuffered(UpstreamExchange& aExchange,
                                   ResponseHead aHead)
{
  std::string body;
  while (const auto chunk = co_await aExchange.ReadChunk()) {
    body += *chunk;
  }
  ReportFirstByte();
  m_options.m_progress.m_hasForwardedHead = true;
  co_await m_options.m_sink.WriteHead(std::move(aHead));
  if (!body.empty()) {
    co_await m_options.m_sink.WriteChunk(std::move(body));
  }
  co_await m_options.m_sink.Finish();
}

Task<void>
ResponseForwarder::ForwardChunks(UpstreamExchange& aExchange,
                                 ResponseHead aHead)
{
  const bool isCloseDelimited = aHead.m_isCloseDelimited;
  std::uint64_t received = 0;
  auto chunk = co_await aExchange.ReadChunk();
  ReportFirstByte();
  m_options.m_progress.m_hasForwardedHead = true;
  co_await m_options.m_sink.WriteHead(std::move(aHead));
  while (chunk) {
    received += chunk->size();
    if (isCloseDelimited && received > kMaxCloseDelimitedBytes) {
      throw RequestError(ResultCode::AnswerTooLarge,
                         "a body without length or chunks exceeds 32 MiB");
    }
    co_await m_options.m_sink.WriteChunk(std::move(*chunk));
    chunk = co_await aExchange.ReadChunk();
  }
  co_await m_options.m_sink.Finish();
}

} // namespace rattanweir
