#include "rattanweir/base/result/result_code.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

constexpr auto kNever = std::nullopt;

constexpr ResultInfo kResults[] = {
  { ResultCode::Ok, "ok", 200, Ran::Yes, kNever },
  { ResultCode::MalformedRequest, "malformed_request", 400, Ran::No, kNever },
  { ResultCode::HeaderTooLarge, "header_too_large", 431, Ran::No, kNever },
  { ResultCode::BodyTooLarge, "body_too_large", 413, Ran::No, kNever },
  { ResultCode::RequestTooSlow,
    "request_too_slow",
    408,
    Ran::No,
    milliseconds(0) },
  { ResultCode::UnknownRoute, "unknown_route", 404, Ran::No, kNever },
  { ResultCode::KeyMissing, "key_missing", 401, Ran::No, kNever },
  { ResultCode::KeyNotGranted, "key_not_granted", 401, Ran::No, kNever },
  { ResultCode::ClientAccountUnknown,
    "client_account_unknown",
    403,
    Ran::No,
    milliseconds(10000) },
  { ResultCode::RequestExceedsBurst,
    "request_exceeds_burst",
    422,
    Ran::No,
    kNever },
  { ResultCode::IdempotencyKeyMalformed,
    "idempotency_key_malformed",
    400,
    Ran::No,
    kNever },
  { ResultCode::IdempotencyKeyExpired,
    "idempotency_key_expired",
    410,
    Ran::Maybe,
    kNever },
  { ResultCode::IdempotencyKeyMismatch,
    "idempotency_key_mismatch",
    409,
    Ran::Maybe,
    kNever },
  { ResultCode::PromptQuarantined, "prompt_quarantined", 422, Ran::No, kNever },
  { ResultCode::RequestQuarantined,
    "request_quarantined",
    422,
    Ran::No,
    kNever },
  { ResultCode::ResidencyConflict,
    "residency_conflict",
    403,
    Ran::No,
    milliseconds(10000) },
  { ResultCode::RateExceeded,
    "rate_exceeded",
    429,
    Ran::No,
    milliseconds(1000) },
  { ResultCode::TooManyConnections,
    "too_many_connections",
    503,
    Ran::No,
    milliseconds(1000) },
  { ResultCode::TooManyRequests,
    "too_many_requests",
    503,
    Ran::No,
    milliseconds(1000) },
  { ResultCode::DeadlineTooShort,
    "deadline_too_short",
    504,
    Ran::No,
    milliseconds(1000) },
  { ResultCode::InstanceDraining,
    "instance_draining",
    503,
    Ran::No,
    milliseconds(0) },
  { ResultCode::InstanceNotReady,
    "instance_not_ready",
    503,
    Ran::No,
    milliseconds(1000) },
  { ResultCode::InstancePaused,
    "instance_paused",
    503,
    Ran::No,
    milliseconds(1000) },
  { ResultCode::ResidencyUnavailable,
    "residency_unavailable",
    503,
    Ran::No,
    milliseconds(2000) },
  { ResultCode::ResidencyRefused,
    "residency_refused",
    421,
    Ran::No,
    milliseconds(2000) },
  { ResultCode::NoBackendServer,
    "no_backend_server",
    503,
    Ran::No,
    milliseconds(2000) },
  { ResultCode::LoopRefused, "loop_refused", 508, Ran::No, milliseconds(2000) },
  { ResultCode::PeerUnreachable,
    "peer_unreachable",
    503,
    Ran::No,
    milliseconds(1000) },
  { ResultCode::StreamNotResumable,
    "stream_not_resumable",
    503,
    Ran::No,
    kNever },
  { ResultCode::ServersUnreachable,
    "servers_unreachable",
    503,
    Ran::No,
    milliseconds(500) },
  { ResultCode::BackendConnectFailed,
    "backend_connect_failed",
    503,
    Ran::No,
    milliseconds(1000) },
  { ResultCode::BackendRefused,
    "backend_refused",
    503,
    Ran::No,
    milliseconds(1000) },
  { ResultCode::BackendReset,
    "backend_reset",
    502,
    Ran::Maybe,
    milliseconds(1000) },
  { ResultCode::AnswerIncomplete,
    "answer_incomplete",
    502,
    Ran::Maybe,
    milliseconds(1000) },
  { ResultCode::AnswerMismatch,
    "answer_mismatch",
    502,
    Ran::Maybe,
    milliseconds(1000) },
  { ResultCode::DeadlineExceeded,
    "deadline_exceeded",
    504,
    Ran::Maybe,
    milliseconds(1000) },
  { ResultCode::IdempotencyOutcomeUnknown,
    "idempotency_outcome_unknown",
    409,
    Ran::Maybe,
    kNever },
  { ResultCode::KeyWithdrawn, "key_withdrawn", 401, Ran::Maybe, kNever },
  { ResultCode::CallerGone, "caller_gone", 499, Ran::Maybe, kNever },
  { ResultCode::CallerTooSlow,
    "caller_too_slow",
    408,
    Ran::Maybe,
    milliseconds(1000) },
  { ResultCode::PeerLost, "peer_lost", 502, Ran::Maybe, milliseconds(1000) },
  { ResultCode::AnswerTooLarge, "answer_too_large", 502, Ran::Maybe, kNever },
  { ResultCode::BackendFailed,
    "backend_failed",
    502,
    Ran::Yes,
    milliseconds(1000) },
  { ResultCode::InternalError,
    "internal_error",
    500,
    Ran::Maybe,
    milliseconds(1000) },
};

} // namespace

std::span<const ResultInfo>
AllResults()
{
  return kResults;
}

const ResultInfo&
InfoOf(ResultCode aCode)
{
  const auto* found = std::ranges::find(kResults, aCode, &ResultInfo::m_code);
  if (found == std::end(kResults)) {
    throw std::logic_error("result code is missing from the table");
  }
  return *found;
}

std::optional<ResultCode>
ResultCodeFromNumber(unsigned aNumber)
{
  for (const ResultInfo& info : kResults) {
    if (static_cast<unsigned>(info.m_code) == aNumber) {
      return info.m_code;
    }
  }
  return std::nullopt;
}

std::string_view
RanText(Ran aRan)
{
  switch (aRan) {
    case Ran::No:
      return "no";
    case Ran::Maybe:
      return "maybe";
    case Ran::Yes:
      return "yes";
  }
  throw std::logic_error("invalid value of enum Ran");
}

std::optional<Ran>
RanFromText(std::string_view aText)
{
  for (const Ran ran : { Ran::No, Ran::Maybe, Ran::Yes }) {
    if (RanText(ran) == aText) {
      return ran;
    }
  }
  return std::nullopt;
}

RequestError::RequestError(ResultCode aCode, const std::string& aDetail)
  : std::runtime_error(aDetail)
  , m_code(aCode)
  , m_ran(InfoOf(aCode).m_ran)
  , m_retryAfter(InfoOf(aCode).m_retryAfter)
{
}

RequestError::RequestError(ResultCode aCode,
                           const std::string& aDetail,
                           milliseconds aRetryAfter)
  : RequestError(aCode, aDetail)
{
  m_retryAfter = aRetryAfter;
}

RequestError::RequestError(ResultCode aCode,
                           const std::string& aDetail,
                           Ran aRan)
  : RequestError(aCode, aDetail)
{
  m_ran = aRan;
}

RequestError::RequestError(ResultCode aCode,
                           const std::string& aDetail,
                           Ran aRan,
                           std::optional<milliseconds> aRetryAfter)
  : RequestError(aCode, aDetail, aRan)
{
  if (aRetryAfter) {
    m_retryAfter = aRetryAfter;
  }
}

} // namespace rattanweir
