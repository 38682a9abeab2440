// Numbered result codes: how a request can end, and what its caller may
// conclude from that.
//
//   const ResultInfo& info = InfoOf(ResultCode::RateExceeded);
//   // info.m_httpStatus == 429, info.m_ran == Ran::No
//   throw RequestError(ResultCode::RateExceeded, "bucket empty", 2s);
//
// docs/RESULT_CODES.md lists the same table for callers and operators; a test
// holds the two together. Numbers are never used again for another meaning.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace rattanweir {

// Whether the request may have had an effect at a backend server.
enum class Ran
{
  // No byte went to a backend server, or that server said so itself.
  No,
  // It was sent; whether it ran is not known.
  Maybe,
  // It ran to its end.
  Yes,
};

enum class ResultCode : std::uint16_t
{
  Ok = 0,

  // The caller's request cannot be taken as it is.
  MalformedRequest = 100,
  HeaderTooLarge = 101,
  BodyTooLarge = 102,
  RequestTooSlow = 103,
  UnknownRoute = 104,
  KeyMissing = 105,
  KeyNotGranted = 106,
  ClientAccountUnknown = 107,
  RequestExceedsBurst = 108,
  IdempotencyKeyMalformed = 109,
  IdempotencyKeyExpired = 110,
  IdempotencyKeyMismatch = 111,

  // The request is fine, but not now.
  RateExceeded = 200,
  TooManyConnections = 201,
  TooManyRequests = 202,
  DeadlineTooShort = 203,
  InstanceDraining = 204,
  InstanceNotReady = 205,
  InstancePaused = 206,

  // There is nowhere to send it.
  ResidencyUnavailable = 300,
  ResidencyRefused = 301,
  NoBackendServer = 302,
  LoopRefused = 303,
  PeerUnreachable = 304,

  // It was sent, and the attempt did not end well.
  BackendConnectFailed = 400,
  BackendRefused = 401,
  BackendReset = 402,
  AnswerIncomplete = 403,
  AnswerMismatch = 404,
  DeadlineExceeded = 405,
  IdempotencyOutcomeUnknown = 406,
  KeyWithdrawn = 407,
  CallerGone = 408,
  CallerTooSlow = 409,
  PeerLost = 410,
  AnswerTooLarge = 411,
  BackendFailed = 412,

  InternalError = 500,
};

// What is known of one result code.
struct ResultInfo
{
  ResultCode m_code;
  std::string_view m_name;
  unsigned m_httpStatus;
  // The weakest claim that holds wherever the code is used; a refusal site
  // that knows more says more.
  Ran m_ran;
  // When to come back if the site knows no better; nothing where the same
  // request will never be taken.
  std::optional<std::chrono::milliseconds> m_retryAfter;
};

// All codes, in the order of their numbers.
std::span<const ResultInfo>
AllResults();

// The table's row of a code.
const ResultInfo&
InfoOf(ResultCode aCode);

// The code of a number, or nothing if there is no such code.
std::optional<ResultCode>
ResultCodeFromNumber(unsigned aNumber);

// `no`, `maybe` or `yes`.
std::string_view
RanText(Ran aRan);

// The reverse of RanText, or nothing.
std::optional<Ran>
RanFromText(std::string_view aText);

// A request that ends without its answer.
class RequestError : public std::runtime_error
{
public:
  // Takes `ran` and the time to come back from the table.
  RequestError(ResultCode aCode, const std::string& aDetail);

  // `aRetryAfter` goes before the table's.
  RequestError(ResultCode aCode,
               const std::string& aDetail,
               std::chrono::milliseconds aRetryAfter);

  // For a site that knows more about whether the request ran.
  RequestError(ResultCode aCode, const std::string& aDetail, Ran aRan);

  // For an error passed on from elsewhere; nothing there keeps the table's
  // time to come back.
  RequestError(ResultCode aCode,
               const std::string& aDetail,
               Ran aRan,
               std::optional<std::chrono::milliseconds> aRetryAfter);

  ResultCode Code() const { return m_code; }
  Ran HasRun() const { return m_ran; }
  std::optional<std::chrono::milliseconds> RetryAfter() const
  {
    return m_retryAfter;
  }

private:
  ResultCode m_code;
  Ran m_ran;
  std::optional<std::chrono::milliseconds> m_retryAfter;
};

} // namespace rattanweir
