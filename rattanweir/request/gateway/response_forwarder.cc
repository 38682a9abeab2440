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

bool
IsEventStream(const ResponseHead& aHead)
{
  return IsSuccess(aHead) && HasMediaType(aHead.m_headers, kEventStream);
}

// Records the event's id as the last one forwarded. Throws AnswerMismatch if
// the caller has received the event already.
void
RecordEvent(const StreamEvent& aEvent, bool aIsFirst, StreamForwarded& aStream)
{
  if (!aEvent.m_id) {
    if (aIsFirst && aStream.m_lastEventId) {
      throw RequestError(ResultCode::AnswerMismatch,
                         "the stream does not go on with a numbered event");
    }
    aStream.m_hasEventWithoutId = true;
    return;
  }
  if (aStream.m_lastEventId && *aEvent.m_id <= *aStream.m_lastEventId) {
    throw RequestError(
      ResultCode::AnswerMismatch,
      "an event id is not higher than that of the last forwarded event");
  }
  aStream.m_lastEventId = aEvent.m_id;
}

struct MayGoOnVisitor
{
  bool m_resumesStreams;

  bool operator()(const NothingForwarded&) const { return true; }
  bool operator()(const StreamForwarded& aStream) const
  {
    return m_resumesStreams && !aStream.m_hasEventWithoutId;
  }
  bool operator()(const ResponseForwarded&) const { return false; }
};

} // namespace

std::optional<std::uint64_t>
ForwardProgress::LastEventId() const
{
  const auto* stream = std::get_if<StreamForwarded>(&m_forwarded);
  return stream == nullptr ? std::nullopt : stream->m_lastEventId;
}

bool
ForwardProgress::MayGoOn(bool aResumesStreams) const
{
  return std::visit(MayGoOnVisitor{ aResumesStreams }, m_forwarded);
}

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
  // Copied, since the forwarded part changes while the task runs.
  const ForwardedPart forwarded = m_options.m_progress.m_forwarded;
  Task<void> task = std::visit(
    [&](const auto& aPart) {
      return Forward(aPart, aExchange, std::move(aHead));
    },
    forwarded);
  co_await std::move(task);
  ReportAnswered();
}

Task<void>
ResponseForwarder::Forward(NothingForwarded /*aNothing*/,
                           UpstreamExchange& aExchange,
                           ResponseHead aHead)
{
  if (IsEventStream(aHead)) {
    co_await ForwardStream(aExchange, std::move(aHead));
  } else if (aHead.m_contentLength &&
             *aHead.m_contentLength <= kMaxBufferedBytes) {
    co_await ForwardBuffered(aExchange, std::move(aHead));
  } else {
    co_await ForwardChunks(aExchange, std::move(aHead));
  }
}

Task<void>
ResponseForwarder::Forward(const StreamForwarded& aStream,
                           UpstreamExchange& aExchange,
                           ResponseHead aHead)
{
  if (!IsEventStream(aHead) || aHead.m_status != aStream.m_status) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "the stream could not be resumed: status " +
                         std::to_string(aHead.m_status));
  }
  co_await ForwardStream(aExchange, std::move(aHead));
}

Task<void>
ResponseForwarder::Forward(ResponseForwarded /*aResponse*/,
                           UpstreamExchange& /*aExchange*/,
                           ResponseHead /*aHead*/)
{
  throw RequestError(ResultCode::AnswerIncomplete,
                     "the response cannot be completed by another one");
  co_return;
}

Task<void>
ResponseForwarder::ForwardStream(UpstreamExchange& aExchange,
                                 ResponseHead aHead)
{
  ForwardProgress& progress = m_options.m_progress;
  const auto* before = std::get_if<StreamForwarded>(&progress.m_forwarded);
  StreamForwarded stream =
    before != nullptr ? *before : StreamForwarded{ .m_status = aHead.m_status };
  bool hasHead = before != nullptr;
  aHead.m_contentLength.reset();
  EventSplitter splitter(m_options.m_buffers);
  while (const auto chunk = co_await aExchange.ReadChunk()) {
    ReportFirstByte();
    std::string text;
    const std::vector<StreamEvent> events = splitter.Add(*chunk);
    if (!events.empty() && progress.m_eventsInAttempt == 0 &&
        m_options.m_onFirstEvent) {
      m_options.m_onFirstEvent();
    }
    for (const StreamEvent& event : events) {
      RecordEvent(event, progress.m_eventsInAttempt == 0, stream);
      text += event.m_text;
      if (++progress.m_eventsInAttempt == kEventsToCountAsAnswered) {
        ReportAnswered();
      }
    }
    if (text.empty()) {
      continue;
    }
    progress.m_forwarded = stream;
    if (!std::exchange(hasHead, true)) {
      co_await m_options.m_sink.WriteHead(aHead);
    }
    co_await m_options.m_sink.WriteChunk(std::move(text));
  }
  ReportFirstByte();
  if (splitter.HasPartialEvent()) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "the stream ended within an event");
  }
  if (aHead.m_isCloseDelimited && progress.m_eventsInAttempt == 0) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "the connection was closed before an event");
  }
  progress.m_forwarded = stream;
  if (!hasHead) {
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
  m_options.m_progress.m_forwarded = ResponseForwarded();
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
  std::string heldBack;
  auto chunk = co_await aExchange.ReadChunk();
  ReportFirstByte();
  while (m_options.m_holdsBack && chunk &&
         heldBack.size() + chunk->size() <= kMaxBufferedBytes) {
    heldBack += *chunk;
    chunk = co_await aExchange.ReadChunk();
  }
  std::uint64_t received = heldBack.size();
  m_options.m_progress.m_forwarded = ResponseForwarded();
  co_await m_options.m_sink.WriteHead(std::move(aHead));
  co_await m_options.m_sink.WriteChunk(std::move(heldBack));
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
