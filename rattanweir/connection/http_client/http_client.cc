#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/http_client/internal/client_stream.h"
#include "rattanweir/connection/http_client/internal/connection_pool.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::nanoseconds;

class HttpExchange final : public UpstreamExchange
{
public:
  HttpExchange(const HttpUpstreamOptions& aOptions,
               std::weak_ptr<ConnectionPool> aPool,
               Endpoint aEndpoint,
               OutboundRequest aRequest,
               CancelSource& aCancel)
    : m_options(aOptions)
    , m_pool(std::move(aPool))
    , m_endpoint(std::move(aEndpoint))
    , m_request(std::move(aRequest))
    , m_cancel(aCancel)
    , m_registration(aCancel.OnCancel([this] { InterruptWait(); }))
  {
  }

  Task<void> Send();
  Task<ResponseHead> ReadHead() override;
  Task<std::optional<std::string>> ReadChunk() override;

private:
  void InterruptWait()
  {
    if (m_stream) {
      m_stream->Socket().Interrupt();
    }
  }
  nanoseconds TimeLeft() const
  {
    return m_request.m_deadline - m_options.m_clock.SteadyNow();
  }
  std::string Peer() const { return m_endpoint.ToString(); }

  Task<void> Connect();
  void ReportConnect(bool aIsOpen) const
  {
    if (m_options.m_onConnect) {
      m_options.m_onConnect(m_endpoint, aIsOpen);
    }
  }
  Task<bool> Write();
  // Throws if the exchange was cancelled or its deadline has passed. Called
  // before each wait as well, because either may happen between two waits.
  void ThrowIfEnded() const;
  [[noreturn]] void Fail(ResultCode aCode, const std::string& aWhat) const;

  HttpUpstreamOptions m_options;
  std::weak_ptr<ConnectionPool> m_pool;
  Endpoint m_endpoint;
  OutboundRequest m_request;
  std::unique_ptr<ClientStream> m_stream;
  bool m_isReused = false;
  bool m_hasSent = false;
  // Error received together with the last piece of the body; the next call of
  // ReadChunk throws it.
  ErrorCode m_deferredError;
  CancelSource& m_cancel;
  // Declared last, so that it is unregistered first.
  CancelSource::Registration m_registration;
};

void
HttpExchange::Fail(ResultCode aCode, const std::string& aWhat) const
{
  const std::string text = aWhat + " (" + Peer() + ")";
  if (!m_hasSent) {
    throw RequestError(aCode, text, Ran::No);
  }
  // The reason of a cancellation may stand for requests that were not sent.
  throw RequestError(aCode, text, std::max(InfoOf(aCode).m_ran, Ran::Maybe));
}

void
HttpExchange::ThrowIfEnded() const
{
  if (const auto reason = m_cancel.Reason()) {
    Fail(*reason, "the request was cancelled");
  }
  if (TimeLeft() <= nanoseconds::zero()) {
    Fail(ResultCode::DeadlineExceeded, "the deadline has passed");
  }
}

Task<void>
HttpExchange::Connect()
{
  ThrowIfEnded();
  m_isReused = false;
  m_stream = std::make_unique<ClientStream>(m_options);
  m_stream->Socket().ExpireAfter(
    std::min(TimeLeft(), m_options.m_connectTimeout));
  const ErrorCode error = co_await m_stream->Connect(m_endpoint);
  if (error) {
    ThrowIfEnded();
    if (m_stream->Socket().HasExpired() || IsConnectionFailure(error)) {
      ReportConnect(false);
    }
    if (error == asio::error::connection_refused) {
      throw ConnectionRefused(error.message() + " (" + Peer() + ")");
    }
    Fail(ResultCode::BackendConnectFailed,
         m_stream->Socket().HasExpired() ? "the connection attempt timed out"
                                         : error.message());
  }
  ReportConnect(true);
}

// Returns false if the connection broke before a byte was sent.
Task<bool>
HttpExchange::Write()
{
  m_cancel.CheckNow();
  ThrowIfEnded();
  // The timer also covers the reads of the response.
  m_stream->Socket().ExpireAfter(TimeLeft());
  const WriteOutcome outcome =
    co_await m_stream->WriteRequest(m_endpoint, m_request);
  m_hasSent = outcome.m_bytesSent > 0;
  if (!outcome.m_error) {
    co_return true;
  }
  ThrowIfEnded();
  // A server may respond and close before it has read the entire body. ReadHead
  // then reads the response or throws BackendReset.
  co_return m_hasSent;
}

Task<void>
HttpExchange::Send()
{
  if (const auto pool = m_pool.lock();
      pool && !m_request.m_needsFreshConnection) {
    m_stream = pool->Acquire(m_endpoint);
    m_isReused = m_stream != nullptr;
  }
  if (!m_isReused) {
    co_await Connect();
  }
  bool isSent = co_await Write();
  if (!isSent && m_isReused) {
    co_await Connect();
    isSent = co_await Write();
  }
  if (!isSent) {
    Fail(ResultCode::BackendConnectFailed,
         "the connection closed before a byte was sent");
  }
}

Task<ResponseHead>
HttpExchange::ReadHead()
{
  ThrowIfEnded();
  HeadOutcome outcome = co_await m_stream->ReadHead();
  if (!outcome.m_fault.empty()) {
    Fail(ResultCode::AnswerIncomplete, "invalid response: " + outcome.m_fault);
  }
  if (outcome.m_error) {
    ThrowIfEnded();
    Fail(ResultCode::BackendReset,
         "connection closed before a response head: " +
           outcome.m_error.message());
  }
  m_request.m_body.reset();
  co_return std::move(outcome.m_head);
}

Task<std::optional<std::string>>
HttpExchange::ReadChunk()
{
  if (!m_stream) {
    co_return std::nullopt;
  }
  ChunkOutcome outcome;
  outcome.m_error = std::exchange(m_deferredError, {});
  if (!outcome.m_error) {
    ThrowIfEnded();
    outcome = co_await m_stream->ReadChunk();
  }
  if (!outcome.m_chunk.empty()) {
    m_deferredError = outcome.m_error;
    co_return std::move(outcome.m_chunk);
  }
  if (!m_stream->IsComplete()) {
    ThrowIfEnded();
    Fail(ResultCode::AnswerIncomplete,
         "the response body is truncated: " + outcome.m_error.message());
  }
  std::unique_ptr<ClientStream> stream = std::move(m_stream);
  if (const auto pool = m_pool.lock(); pool && stream->IsReusable()) {
    pool->Release(m_endpoint, std::move(stream));
  }
  co_return std::nullopt;
}

} // namespace

HttpUpstream::HttpUpstream(const HttpUpstreamOptions& aOptions)
  : m_options(aOptions)
  , m_pool(std::make_shared<ConnectionPool>(aOptions))
{
}

HttpUpstream::~HttpUpstream() = default;

Task<std::unique_ptr<UpstreamExchange>>
HttpUpstream::Send(Endpoint aEndpoint,
                   OutboundRequest aRequest,
                   CancelSource& aCancel)
{
  auto exchange = std::make_unique<HttpExchange>(
    m_options, m_pool, std::move(aEndpoint), std::move(aRequest), aCancel);
  co_await exchange->Send();
  co_return exchange;
}

std::size_t
HttpUpstream::IdleConnections() const
{
  return m_pool->Size();
}

} // namespace rattanweir
