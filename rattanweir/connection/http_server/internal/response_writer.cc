#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_fields/http_fields.h"
#include "rattanweir/connection/http_server/internal/response_writer.h"
#include "rattanweir/request/exchange/header_fields.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

constexpr std::string_view kRequestField = "rattanweir-request";
constexpr std::string_view kEventEnd = "\n\n";

bool
IsEventStream(const ResponseHead& aHead)
{
  return HasMediaType(aHead.m_headers, "text/event-stream");
}

Framing
FramingOf(const ResponseHead& aHead, bool aIsHead)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  if (aIsHead || aHead.m_status == kNoContent ||
      aHead.m_status == kNotModified) {
    return Framing::None;
  }
  return aHead.m_contentLength ? Framing::Length : Framing::Chunked;
}

} // namespace

ResponseWriter::ResponseWriter(const ResponseWriterOptions& aOptions)
  : m_options(aOptions)
{
}

Task<void>
ResponseWriter::Write(Buffers aBuffers)
{
  if (m_isBroken || m_options.m_cancel.Reason() == ResultCode::CallerGone) {
    m_isBroken = true;
    throw RequestError(ResultCode::CallerGone, "the caller disconnected");
  }
  const ErrorCode error =
    co_await m_options.m_stream.Write(std::move(aBuffers));
  if (!error) {
    co_return;
  }
  m_isBroken = true;
  if (m_options.m_stream.Socket().HasExpired() &&
      !m_options.m_cancel.Reason()) {
    throw RequestError(ResultCode::CallerTooSlow,
                       "the caller reads no bytes: write timed out");
  }
  throw RequestError(ResultCode::CallerGone, error.message());
}

Task<void>
ResponseWriter::WriteHead(ResponseHead aHead)
{
  if (std::exchange(m_hasHead, true)) {
    throw std::logic_error("the response head was already written");
  }
  DropConnectionFields(aHead.m_headers);
  if (m_options.m_style.m_addsRequestIdHeader &&
      !FindHeader(aHead.m_headers, kRequestField)) {
    aHead.m_headers.push_back(
      { std::string(kRequestField), m_options.m_request.Value() });
  }
  m_framing = FramingOf(aHead, m_options.m_isHead);
  m_bytesLeft = aHead.m_contentLength.value_or(0);
  m_isEventStream = IsEventStream(aHead);
  m_keepsAlive = m_options.m_keepsAlive();
  const std::string text = FormatResponseHead(aHead, m_framing, m_keepsAlive);
  const Buffers buffers = { asio::buffer(text) };
  co_await Write(buffers);
}

void
ResponseWriter::UpdateTail(const std::string& aChunk)
{
  const std::size_t maxTailBytes = kEventEnd.size();
  m_tail +=
    aChunk.substr(aChunk.size() - std::min(aChunk.size(), maxTailBytes));
  m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), maxTailBytes));
}

Task<void>
ResponseWriter::WriteChunk(std::string aChunk)
{
  if (aChunk.empty() || m_framing == Framing::None) {
    co_return;
  }
  UpdateTail(aChunk);
  if (m_framing == Framing::Chunked) {
    const std::string start = ChunkStart(aChunk.size());
    const std::string end = ChunkEnd();
    const Buffers buffers = { asio::buffer(start),
                              asio::buffer(aChunk),
                              asio::buffer(end) };
    co_await Write(buffers);
    co_return;
  }
  if (aChunk.size() > m_bytesLeft) {
    throw std::logic_error("the response body exceeds its Content-Length");
  }
  m_bytesLeft -= aChunk.size();
  const Buffers buffers = { asio::buffer(aChunk) };
  co_await Write(buffers);
}

Task<void>
ResponseWriter::Finish()
{
  if (m_framing == Framing::Chunked) {
    const std::string last = LastChunk();
    const Buffers buffers = { asio::buffer(last) };
    co_await Write(buffers);
  }
  if (m_framing == Framing::Length && m_bytesLeft > 0) {
    throw std::logic_error(
      "the response body is shorter than its Content-Length");
  }
  m_isComplete = true;
}

Task<void>
ResponseWriter::WriteRefusal(Refusal aRefusal)
{
  co_await WriteHead(std::move(aRefusal.m_head));
  co_await WriteChunk(std::move(aRefusal.m_body));
  co_await Finish();
}

Task<void>
ResponseWriter::WriteErrorEvent(std::string aEvent)
{
  if (!m_options.m_style.m_sendsErrorEvents) {
    co_return;
  }
  const bool isBetweenEvents = m_tail.empty() || m_tail == kEventEnd;
  if (m_isEventStream && m_framing == Framing::Chunked && isBetweenEvents) {
    co_await WriteChunk(std::move(aEvent));
  }
}

} // namespace rattanweir
