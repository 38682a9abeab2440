#include "rattanweir/base/asio/asio.h"

#include "rattanweir/base/random/random.h"
#include "rattanweir/connection/http_server/internal/caller_disconnect_monitor.h"
#include "rattanweir/connection/http_server/internal/server_connection.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/refusal/refusal.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRequestIdBytes = 12;
// The first request on a connection accepted while draining, or shortly before,
// may be on its way.
constexpr auto kDrainingFirstRequestTimeout = std::chrono::seconds(1);

RequestId
NewRequestId()
{
  return RequestId(RandomHex(kRequestIdBytes));
}

RequestId
RequestIdOf(const HeaderFields& aFields, bool aIsTrusted)
{
  const std::string* named = FindHeader(aFields, "rattanweir-request");
  return aIsTrusted && named && !named->empty() ? RequestId(*named)
                                                : NewRequestId();
}

// Increments a counter for the lifetime of the object.
class ScopedCount
{
public:
  explicit ScopedCount(std::uint32_t& aCount)
    : m_count(aCount)
  {
    ++m_count;
  }
  ~ScopedCount() { --m_count; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

private:
  std::uint32_t& m_count;
};

// Reserves bytes from the limit on all bodies for the lifetime of the object.
class BodyReservation
{
public:
  BodyReservation(ServerState& aState, std::uint64_t aBytes)
    : m_state(aState)
    , m_bytes(aState.Reserve(aBytes) ? aBytes : 0)
    , m_isGranted(m_bytes == aBytes)
  {
  }
  ~BodyReservation() { m_state.Release(m_bytes); }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  bool IsGranted() const { return m_isGranted; }

  void ShrinkTo(std::uint64_t aBytes)
  {
    m_state.Release(m_bytes - aBytes);
    m_bytes = aBytes;
  }

private:
  ServerState& m_state;
  std::uint64_t m_bytes;
  bool m_isGranted;
};

// Returns the result code for a request that could not be read. `aTooLarge` is
// the code for a header or body over its limit.
ResultCode
CodeOf(ReadResult aResult, ResultCode aTooLarge)
{
  switch (aResult) {
    case ReadResult::TooSlow:
      return ResultCode::RequestTooSlow;
    case ReadResult::TooLarge:
      return aTooLarge;
    default:
      return ResultCode::MalformedRequest;
  }
}

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> aState,
                                   asio::ip::tcp::socket aSocket)
  : m_server(std::move(aState))
  , m_stream(std::move(aSocket), m_server->m_options.m_limits)
  , m_acceptedAt(m_server->m_options.m_clock.SteadyNow())
{
  m_server->m_connections.insert(this);
  if (m_server->m_handsOverResponses) {
    HandOverResponse();
  }
}

ServerConnection::~ServerConnection()
{
  m_server->m_connections.erase(this);
  m_server->m_changed.cancel();
}

void
ServerConnection::CloseIfIdle()
{
  if (!m_isIdle) {
    return;
  }
  const auto left = m_acceptedAt + kDrainingFirstRequestTimeout -
                    m_server->m_options.m_clock.SteadyNow();
  if (m_isWaitingForFirst && left > left.zero()) {
    m_stream.Socket().ExpireAfter(left);
    return;
  }
  m_stream.Socket().Interrupt();
}

void
ServerConnection::HandOverResponse()
{
  m_stream.LiftUnsentLimit();
}

void
ServerConnection::CancelRequest()
{
  if (m_cancel) {
    m_cancel->Cancel(ResultCode::InstanceDraining);
  } else if (m_isReading) {
    m_isReadCancelled = true;
    m_stream.Socket().Interrupt();
  }
}

void
ServerConnection::Abort()
{
  CancelRequest();
  m_stream.Socket().Interrupt();
}

void
ServerConnection::Report(const RequestError& aError) const
{
  if (m_server->m_options.m_onError) {
    m_server->m_options.m_onError(aError);
  }
}

Task<void>
ServerConnection::Run()
{
  Next next = Next::Request;
  while (next == Next::Request) {
    const bool hasRequest = co_await WaitForRequest();
    next = Next::Close;
    if (hasRequest) {
      next = co_await ServeRequest();
    }
  }
  if (next == Next::Linger) {
    co_await m_stream.Linger();
  }
}

Task<bool>
ServerConnection::WaitForRequest()
{
  m_isWaitingForFirst = std::exchange(m_isFirst, false);
  const CallerLimits& limits = m_server->m_options.m_limits;
  std::chrono::nanoseconds timeout = limits.m_idleTimeout;
  if (m_server->m_isDraining) {
    timeout = std::chrono::nanoseconds::zero();
    if (m_isWaitingForFirst) {
      timeout = kDrainingFirstRequestTimeout;
    }
  }
  m_isIdle = true;
  bool hasRequest = co_await m_stream.WaitForRequest(timeout);
  m_isIdle = false;
  if (!hasRequest && m_stream.Socket().IsReadable() &&
      !m_stream.Socket().IsClosedByPeer()) {
    // The request arrived just as the wait was interrupted.
    hasRequest = co_await m_stream.WaitForRequest(limits.m_idleTimeout);
  }
  co_return hasRequest;
}

Task<ServerConnection::Next>
ServerConnection::ServeRequest()
{
  m_request = NewRequestId();
  m_begunAt = m_server->m_options.m_clock.SteadyNow();
  const ScopedCount unanswered(m_server->m_unanswered);
  m_isReading = true;
  RequestFrame frame;
  const ReadResult result = co_await m_stream.ReadHeader(frame);
  if (result == ReadResult::CallerDisconnected) {
    co_return Next::Close;
  }
  if (m_isReadCancelled) {
    co_return co_await RefuseUnread();
  }
  if (result != ReadResult::Complete) {
    const ResultCode code = CodeOf(result, ResultCode::HeaderTooLarge);
    co_return co_await Refuse(
      code, "the request header is malformed, too large or too slow");
  }
  m_request =
    RequestIdOf(frame.m_headers, m_server->m_options.m_trustsRequestId);
  co_return co_await ReadAndRespond(std::move(frame));
}

Task<ServerConnection::Next>
ServerConnection::ReadAndRespond(RequestFrame aFrame)
{
  const CallerLimits& limits = m_server->m_options.m_limits;
  if (aFrame.m_expectsOther) {
    co_return co_await Refuse(ResultCode::MalformedRequest,
                              "unsupported Expect header field");
  }
  if (aFrame.m_bodyBytes > limits.m_bodyBytes.Value()) {
    co_return co_await Refuse(ResultCode::BodyTooLarge,
                              "the request body exceeds the limit");
  }
  const std::uint64_t reserved =
    aFrame.m_isLengthUnknown ? m_server->m_options.m_unknownLengthReservation
                                 .value_or(limits.m_bodyBytes)
                                 .Value()
                             : aFrame.m_bodyBytes;
  BodyReservation reservation(*m_server, reserved);
  if (!reservation.IsGranted()) {
    co_return co_await Refuse(
      ResultCode::TooManyRequests,
      "the request bodies in flight exceed the total limit");
  }
  if (aFrame.m_expectsContinue) {
    const ResponseHead head{ .m_status = 100 };
    const std::string text = FormatResponseHead(head, Framing::None, true);
    const Buffers buffers = { asio::buffer(text) };
    co_await m_stream.Write(buffers);
  }
  InboundRequest request{ .m_method = std::move(aFrame.m_method),
                          .m_target = std::move(aFrame.m_target),
                          .m_headers = std::move(aFrame.m_headers) };
  const ReadResult result = co_await m_stream.ReadBody(request.m_body);
  if (result == ReadResult::CallerDisconnected) {
    co_return Next::Close;
  }
  if (m_isReadCancelled) {
    co_return co_await RefuseUnread();
  }
  if (result != ReadResult::Complete) {
    const ResultCode code = CodeOf(result, ResultCode::BodyTooLarge);
    co_return co_await Refuse(
      code, "the request body is malformed, too large or too slow");
  }
  reservation.ShrinkTo(request.m_body.size());
  request.m_unreadFor = m_stream.Socket().TimeSinceLastBytes();
  request.m_receivedAt =
    m_server->m_options.m_clock.SteadyNow() - request.m_unreadFor.value_or(0ms);
  // An instance that is late notices the first bytes after the last arrived.
  request.m_begunAt = std::min(m_begunAt, request.m_receivedAt);
  request.m_id = m_request;
  co_return co_await Respond(std::move(request), aFrame.m_keepsAlive);
}

Task<ServerConnection::Next>
ServerConnection::Respond(InboundRequest aRequest, bool aKeepsAlive)
{
  m_isReading = false;
  m_cancel.emplace();
  const ResponseWriterOptions options{
    .m_stream = m_stream,
    .m_cancel = *m_cancel,
    .m_request = m_request,
    .m_isHead = aRequest.m_method == "HEAD",
    .m_style = m_server->m_options.m_responses,
    .m_keepsAlive =
      [this, aKeepsAlive] {
        return aKeepsAlive && !m_server->m_isDraining &&
               !m_server->m_closesAfterResponses;
      },
  };
  ResponseWriter writer(options);
  std::optional<RequestError> error;
  if (m_server->m_requests >= m_server->m_options.m_limits.m_requests) {
    error.emplace(ResultCode::TooManyRequests, "too many requests in flight");
  } else {
    const ScopedCount counted(m_server->m_requests);
    const CallerDisconnectMonitor monitor(m_stream.Socket(), *m_cancel);
    if (const auto reason = m_cancel->CheckNow()) {
      error.emplace(
        *reason, "the caller left before its request was read", Ran::No);
    } else {
      error = co_await RunHandler(std::move(aRequest), writer);
    }
  }
  const Next next = co_await FinishResponse(writer, std::move(error));
  m_cancel.reset();
  co_return next;
}

Task<std::optional<RequestError>>
ServerConnection::RunHandler(InboundRequest aRequest, ResponseWriter& aWriter)
{
  std::optional<RequestError> failure;
  try {
    co_await m_server->m_options.m_handler.Handle(
      std::move(aRequest), aWriter, *m_cancel);
  } catch (const RequestError& error) {
    failure = error;
  } catch (const std::exception& error) {
    failure.emplace(ResultCode::InternalError, error.what());
  }
  if (!failure && !aWriter.IsComplete()) {
    failure.emplace(ResultCode::InternalError,
                    "the handler returned without a complete response");
  }
  co_return failure;
}

Task<ServerConnection::Next>
ServerConnection::FinishResponse(ResponseWriter& aWriter,
                                 std::optional<RequestError> aError)
{
  if (aError) {
    Report(*aError);
    try {
      if (!aWriter.HasHead()) {
        co_await aWriter.WriteRefusal(
          m_server->m_options.m_responses.m_formatRefusal(*aError, m_request));
      } else if (!aWriter.IsComplete()) {
        co_await aWriter.WriteErrorEvent(RefusalEvent(*aError));
      }
    } catch (const RequestError&) {
      // The caller disconnected; the first error was reported already.
    }
  }
  if (aWriter.IsBroken()) {
    co_return Next::Close;
  }
  co_return aWriter.KeepsAlive() ? Next::Request : Next::Linger;
}

Task<ServerConnection::Next>
ServerConnection::RefuseUnread()
{
  return Refuse(ResultCode::InstanceDraining,
                "the instance stops before it has read the request");
}

Task<ServerConnection::Next>
ServerConnection::Refuse(ResultCode aCode, std::string aDetail)
{
  m_isReading = false;
  const RequestError error(aCode, aDetail);
  Report(error);
  const CancelSource cancel;
  const ResponseWriterOptions options{ .m_stream = m_stream,
                                       .m_cancel = cancel,
                                       .m_request = m_request,
                                       .m_style =
                                         m_server->m_options.m_responses,
                                       .m_keepsAlive = [] { return false; } };
  ResponseWriter writer(options);
  Refusal refusal =
    m_server->m_options.m_responses.m_formatRefusal(error, m_request);
  try {
    co_await writer.WriteRefusal(std::move(refusal));
  } catch (const RequestError&) {
    co_return Next::Close;
  }
  co_return Next::Linger;
}

Task<void>
RefuseConnection(std::shared_ptr<ServerState> aState,
                 asio::ip::tcp::socket aSocket)
{
  const ScopedCount counted(aState->m_refusalsInProgress);
  ServerStream stream(std::move(aSocket), aState->m_options.m_limits);
  const RequestError error(ResultCode::TooManyConnections,
                           "too many connections");
  if (aState->m_options.m_onError) {
    aState->m_options.m_onError(error);
  }
  const Refusal refusal =
    aState->m_options.m_responses.m_formatRefusal(error, NewRequestId());
  const std::string head =
    FormatResponseHead(refusal.m_head, Framing::Length, false);
  const Buffers buffers = { asio::buffer(head), asio::buffer(refusal.m_body) };
  co_await stream.Write(buffers);
  co_await stream.Linger();
}

} // namespace rattanweir
