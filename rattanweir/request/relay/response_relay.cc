#include "rattanweir/request/relay/response_relay.h"

#include "rattanweir/base/json/json.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/refusal/parse_refusal.h"
#include "rattanweir/request/relay/event_splitter.h"

#include <array>
#include <memory>
#include <string_view>

namespace rattanweir {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kDoneEventData = "[DONE]";
constexpr unsigned kServiceUnavailable = 503;
// A response up to this length is buffered and forwarded only when complete, so
// that a truncated one can still be retried on another server.
constexpr std::uint64_t kMaxBufferedResponseBytes = std::uint64_t{ 64 } * 1024;
// Reading a refusal stops beyond this size.
constexpr std::size_t kMaxRefusalBytes = std::size_t{ 16 } * 1024;

// Fields that apply to one connection only, and fields between backend servers
// and instances.
constexpr std::array<std::string_view, 8> kStrippedFields = {
  "connection", "keep-alive",   "transfer-encoding", "content-length",
  "x-load",     "x-attempt-id", "x-draining",        "x-not-run",
};

bool
IsStripped(const std::string& aName)
{
  if (HeaderNameStartsWith(aName, "rattanweir-")) {
    return true;
  }
  for (const std::string_view stripped : kStrippedFields) {
    if (IsSameHeaderName(aName, stripped)) {
      return true;
    }
  }
  return false;
}

ResponseHead
ForwardedHead(const ResponseHead& aHead, const RelayOptions& aOptions)
{
  ResponseHead forwarded{ .m_status = aHead.m_status,
                          .m_headers = aOptions.m_addedFields,
                          .m_contentLength = aHead.m_contentLength };
  for (const HeaderField& field : aHead.m_headers) {
    if (!IsStripped(field.m_name)) {
      forwarded.m_headers.push_back(field);
    }
  }
  return forwarded;
}

struct MismatchVisitor
{
  const HeaderFields& m_headers;

  bool operator()(const BackendServerOrigin& aOrigin) const
  {
    const std::string* attempt = FindHeader(m_headers, "x-attempt-id");
    return attempt == nullptr ? aOrigin.m_echoesAttemptId
                              : *attempt != aOrigin.m_attempt.Value();
  }
  bool operator()(const PeerOrigin& aOrigin) const
  {
    const std::string* request = FindHeader(m_headers, kRequestField);
    return request == nullptr ? FindHeader(m_headers, kResultField) == nullptr
                              : *request != aOrigin.m_request.Value();
  }
};

struct HasOffsetsVisitor
{
  const HeaderFields& m_headers;

  bool operator()(const BackendServerOrigin& aOrigin) const
  {
    return aOrigin.m_kind == BackendServerKind::ModelEngine;
  }
  bool operator()(const PeerOrigin&) const
  {
    return FindHeader(m_headers, kOffsetsField) != nullptr;
  }
};

bool
HasEventOffsets(const ResponseHead& aHead, const ResponseOrigin& aOrigin)
{
  const bool isSuccess = aHead.m_status >= 200 && aHead.m_status < 300;
  return isSuccess && HasMediaType(aHead.m_headers, kEventStream) &&
         std::visit(HasOffsetsVisitor{ aHead.m_headers }, aOrigin);
}

std::optional<std::int64_t>
ReadGeneratedTokens(const std::string& aBody)
{
  const std::optional<Json::Value> value = ParseJson(aBody);
  if (!value || !value->isObject() || !(*value)["tokens"].isInt64()) {
    return std::nullopt;
  }
  return (*value)["tokens"].asInt64();
}

[[noreturn]] void
ThrowMismatch(const char* aDetail)
{
  throw RequestError(ResultCode::AnswerMismatch, aDetail);
}

// Checks that the event has the next offset and advances the offset. Clears
// `m_hasOffsets` if the first event has no offset.
void
AdvanceOffset(const StreamEvent& aEvent, ResponseProgress& aProgress)
{
  if (!aEvent.m_id) {
    if (aProgress.m_nextOffset > 0 && aProgress.m_hasOffsets) {
      ThrowMismatch("event in a stream with offsets has no offset");
    }
    aProgress.m_hasOffsets = false;
    return;
  }
  if (*aEvent.m_id != aProgress.m_nextOffset) {
    ThrowMismatch("event in the stream has an unexpected offset");
  }
  ++aProgress.m_nextOffset;
}

Task<void>
RelayStreamWithOffsets(UpstreamExchange& aExchange,
                       ResponseHead aHead,
                       ResponseSink& aSink,
                       ResponseProgress& aProgress)
{
  const bool isFirstAttempt = !aProgress.m_hasHead;
  if (isFirstAttempt) {
    aProgress.m_hasOffsets = true;
  } else if (!aProgress.m_hasOffsets) {
    ThrowMismatch("event stream follows a response without offsets");
  }
  EventSplitter splitter;
  bool isDone = false;
  while (!isDone) {
    const auto chunk = co_await aExchange.ReadChunk();
    if (!chunk) {
      break;
    }
    for (const StreamEvent& event : splitter.Add(*chunk)) {
      if (event.m_type == "error") {
        throw ParseRefusal(event.m_data, ResultCode::AnswerIncomplete);
      }
      isDone = event.m_data == kDoneEventData;
      if (!isDone) {
        AdvanceOffset(event, aProgress);
      }
      if (!aProgress.m_hasHead) {
        aProgress.m_hasHead = true;
        co_await aSink.WriteHead(aHead);
      }
      co_await aSink.WriteChunk(event.m_text);
      if (isDone) {
        break;
      }
    }
  }
  if (!isDone) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "stream ended before its [DONE] event");
  }
  if (aProgress.m_hasOffsets) {
    aProgress.m_generatedTokens =
      static_cast<std::int64_t>(aProgress.m_nextOffset);
  }
  co_await aSink.Finish();
}

void
CheckLength(const std::optional<std::uint64_t>& aExpected,
            std::uint64_t aReceived)
{
  if (aExpected && *aExpected != aReceived) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "response length differs from its Content-Length");
  }
}

Task<void>
RelayBuffered(UpstreamExchange& aExchange,
              ResponseHead aHead,
              ResponseSink& aSink,
              ResponseProgress& aProgress)
{
  std::string body;
  while (const auto chunk = co_await aExchange.ReadChunk()) {
    body += *chunk;
  }
  CheckLength(aHead.m_contentLength, body.size());
  aProgress.m_generatedTokens = ReadGeneratedTokens(body);
  aProgress.m_hasHead = true;
  aProgress.m_hasOffsets = false;
  co_await aSink.WriteHead(std::move(aHead));
  if (!body.empty()) {
    co_await aSink.WriteChunk(std::move(body));
  }
  co_await aSink.Finish();
}

Task<void>
RelayUnbuffered(UpstreamExchange& aExchange,
                ResponseHead aHead,
                ResponseSink& aSink,
                ResponseProgress& aProgress)
{
  const auto length = aHead.m_contentLength;
  aProgress.m_hasHead = true;
  // An earlier attempt may have begun a stream and forwarded none of it.
  aProgress.m_hasOffsets = false;
  co_await aSink.WriteHead(std::move(aHead));
  std::uint64_t received = 0;
  while (auto chunk = co_await aExchange.ReadChunk()) {
    received += chunk->size();
    co_await aSink.WriteChunk(std::move(*chunk));
  }
  CheckLength(length, received);
  co_await aSink.Finish();
}

} // namespace

BackendSignals
ReadBackendSignals(const ResponseHead& aHead)
{
  BackendSignals signals;
  if (const std::string* load = FindHeader(aHead.m_headers, "x-load")) {
    signals.m_load = ParseDecimal(*load);
  }
  const std::string* draining = FindHeader(aHead.m_headers, "x-draining");
  signals.m_isDraining = draining != nullptr && *draining == "1";
  return signals;
}

bool
IsMismatched(const ResponseHead& aHead, const ResponseOrigin& aOrigin)
{
  return std::visit(MismatchVisitor{ aHead.m_headers }, aOrigin);
}

Task<void>
CheckResponseHead(UpstreamExchange& aExchange,
                  const ResponseHead& aHead,
                  const ResponseOrigin& aOrigin)
{
  if (IsMismatched(aHead, aOrigin)) {
    ThrowMismatch("response belongs to another attempt or request");
  }
  if (std::holds_alternative<BackendServerOrigin>(aOrigin)) {
    const std::string* notRun = FindHeader(aHead.m_headers, "x-not-run");
    if (aHead.m_status == kServiceUnavailable && notRun != nullptr &&
        *notRun == "1") {
      throw RequestError(
        ResultCode::BackendRefused,
        "backend server reported that it did not run the request");
    }
    co_return;
  }
  if (FindHeader(aHead.m_headers, kResultField) == nullptr) {
    co_return;
  }
  std::string refusal;
  while (const auto chunk = co_await aExchange.ReadChunk()) {
    refusal += *chunk;
    if (refusal.size() > kMaxRefusalBytes) {
      break;
    }
  }
  throw ParseRefusal(refusal, ResultCode::PeerLost);
}

Task<void>
RelayResponse(UpstreamExchange& aExchange,
              ResponseHead aHead,
              RelayOptions aOptions,
              ResponseSink& aSink,
              ResponseProgress& aProgress)
{
  const bool hasOffsets = HasEventOffsets(aHead, aOptions.m_origin);
  if (hasOffsets && aOptions.m_addsOffsetsField) {
    aOptions.m_addedFields.push_back({ kOffsetsField, "1" });
  }
  ResponseHead forwarded = ForwardedHead(aHead, aOptions);
  if (hasOffsets) {
    forwarded.m_contentLength.reset();
    co_await RelayStreamWithOffsets(
      aExchange, std::move(forwarded), aSink, aProgress);
    co_return;
  }
  if (aProgress.m_hasHead) {
    ThrowMismatch("response does not continue the event stream");
  }
  const auto length = forwarded.m_contentLength;
  if (length && *length <= kMaxBufferedResponseBytes) {
    co_await RelayBuffered(aExchange, std::move(forwarded), aSink, aProgress);
    co_return;
  }
  co_await RelayUnbuffered(aExchange, std::move(forwarded), aSink, aProgress);
}

} // namespace rattanweir
