#include "testing/pipeline_fixture/scripted_upstream.h"

#include "rattanweir/request/exchange/header_fields.h"

#include <chrono>
#include <utility>

namespace rattanweir {
namespace {

constexpr std::chrono::seconds kMaxHold(30);

} // namespace

std::string
StreamEventText(int aOffset)
{
  const std::string offset = std::to_string(aOffset);
  return "id: " + offset + "\ndata: {\"offset\":" + offset + "}\n\n";
}

ScriptedResponse
ScriptedStream(int aFirst, int aCount, bool aHasEnd)
{
  ScriptedResponse response{
    .m_headers = { { "content-type", "text/event-stream" } }, .m_pieces = {}
  };
  for (int offset = aFirst; offset < aFirst + aCount; ++offset) {
    response.m_pieces.push_back(StreamEventText(offset));
  }
  if (aHasEnd) {
    response.m_pieces.emplace_back(kStreamEnd);
  }
  return response;
}

class ScriptedUpstream::Exchange final : public UpstreamExchange
{
public:
  Exchange(ScriptedResponse aResponse,
           std::string aAttemptId,
           std::shared_ptr<WakeableTimer> aHold,
           CancelSource& aCancel)
    : m_response(std::move(aResponse))
    , m_attemptId(std::move(aAttemptId))
    , m_hold(std::move(aHold))
    , m_cancel(aCancel)
  {
  }

  Task<ResponseHead> ReadHead() override
  {
    if (m_response.m_kind == ResponseKind::Holds) {
      co_await Hold();
    }
    if (m_response.m_kind == ResponseKind::Resets) {
      throw RequestError(ResultCode::BackendReset, "connection reset");
    }
    if (m_response.m_kind == ResponseKind::DeadlinePasses) {
      throw RequestError(ResultCode::DeadlineExceeded, "deadline exceeded");
    }
    ResponseHead head{ .m_status = m_response.m_status,
                       .m_headers = m_response.m_headers,
                       .m_isCloseDelimited = m_response.m_isCloseDelimited };
    if (!m_attemptId.empty()) {
      head.m_headers.push_back({ "x-attempt-id", m_attemptId });
    }
    if (m_response.m_isComplete && !m_response.m_holdsAfterPieces &&
        !HasMediaType(head.m_headers, "text/event-stream")) {
      head.m_contentLength = 0;
      for (const std::string& piece : m_response.m_pieces) {
        *head.m_contentLength += piece.size();
      }
    }
    co_return head;
  }

  Task<std::optional<std::string>> ReadChunk() override
  {
    ThrowIfCancelled();
    if (m_next < m_response.m_pieces.size()) {
      co_return m_response.m_pieces[m_next++];
    }
    if (std::exchange(m_response.m_holdsAfterPieces, false)) {
      co_await Hold();
    }
    if (!m_response.m_isComplete) {
      throw RequestError(ResultCode::AnswerIncomplete, "response truncated");
    }
    co_return std::nullopt;
  }

private:
  Task<void> Hold()
  {
    co_await m_hold->WaitFor(kMaxHold, m_cancel);
    ThrowIfCancelled();
  }
  void ThrowIfCancelled()
  {
    if (const auto reason = m_cancel.Reason()) {
      throw RequestError(*reason, "request cancelled");
    }
  }

  ScriptedResponse m_response;
  std::string m_attemptId;
  std::shared_ptr<WakeableTimer> m_hold;
  CancelSource& m_cancel;
  std::size_t m_next = 0;
};

ScriptedUpstream::ScriptedUpstream(asio::io_context& aContext)
  : m_context(aContext)
{
}

Task<std::unique_ptr<UpstreamExchange>>
ScriptedUpstream::Send(Endpoint aEndpoint,
                       OutboundRequest aRequest,
                       CancelSource& aCancel)
{
  ++m_connects;
  const std::string endpoint = aEndpoint.ToString();
  ScriptedResponse response;
  auto& script = m_scripts[endpoint];
  if (!script.empty()) {
    response = std::move(script.front());
    script.pop_front();
  }
  if (response.m_kind == ResponseKind::ConnectFails) {
    throw RequestError(
      ResultCode::BackendConnectFailed, "connection failed", Ran::No);
  }
  if (response.m_kind == ResponseKind::RefusesConnection) {
    throw ConnectionRefused("connection refused");
  }
  std::string attemptId = response.m_attemptId;
  const std::string* sent = FindHeader(aRequest.m_headers, "x-attempt-id");
  if (attemptId.empty() && sent != nullptr) {
    attemptId = *sent;
  }
  const std::string* request =
    FindHeader(aRequest.m_headers, "rattanweir-request");
  if (request != nullptr) {
    response.m_headers.push_back({ "rattanweir-request", *request });
  }
  const std::string* id = FindHeader(aRequest.m_headers, "id");
  if (response.m_namesRequest && id != nullptr &&
      FindHeader(response.m_headers, "id") == nullptr) {
    response.m_headers.push_back({ "id", *id });
  }
  m_sent.push_back({ endpoint, std::move(aRequest) });
  auto hold = std::make_shared<WakeableTimer>(m_context.get_executor());
  m_held.push_back(hold);
  co_return std::make_unique<Exchange>(
    std::move(response), std::move(attemptId), std::move(hold), aCancel);
}

void
ScriptedUpstream::ReleaseHeld()
{
  for (const auto& held : std::exchange(m_held, {})) {
    if (const auto hold = held.lock()) {
      hold->Wake();
    }
  }
}

} // namespace rattanweir
