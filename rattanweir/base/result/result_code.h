// Numbered result codes: the possible outcomes of a request and what its caller
// may conclude from each.
//
//   const ResultInfo& info = InfoOf(ResultCode::RateExceeded);
//   // info.m_httpStatus == 429, info.m_ran == Ran::No
//   throw RequestError(ResultCode::RateExceeded, "bucket empty", 2s);
//
// docs/RESULT_CODES.md documents the same table for callers and operators; a
// test verifies that the two agree. Numbers are never reused for another
// meaning.

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
  // No byte was sent to a backend server, or the server reported that the
  // request did not run.
  No,
  // The request was sent; whether it ran is unknown.
  Maybe,
  // The request ran to completion.
  Yes,
};

enum class ResultCode : std::uint16_t
{
  Ok = 0,

  // The request is invalid or not permitted.
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
  PromptQuarantined = 112,
  RequestQuarantined = 113,
  ResidencyConflict = 114,

  // The request is valid but cannot be served at this time.
  RateExceeded = 200,
  TooManyConnections = 201,
  TooManyRequests = 202,
  DeadlineTooShort = 203,
  InstanceDraining = 204,
  InstanceNotReady = 205,
  InstancePaused = 206,

  // No destination is available.
  ResidencyUnavailable = 300,
  ResidencyRefused = 301,
  NoBackendServer = 302,
  LoopRefused = 303,
  PeerUnreachable = 304,
  StreamNotResumable = 305,
  ServersUnreachable = 306,

  // An attempt was made and failed.
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

// Properties of one result code.
struct ResultInfo
{
  ResultCode m_code;
  std::string_view m_name;
  unsigned m_httpStatus;
  // The weakest value that holds wherever the code is used. Code that knows
  // more passes a stronger one to RequestError.
  Ran m_ran;
  // Default delay before a retry. Unset if the same request can never be
  // accepted.
  std::optional<std::chrono::milliseconds> m_retryAfter;
};

// Returns all result codes, in ascending order of their numbers.
std::span<const ResultInfo>
AllResults();

// Returns the properties of a code.
const ResultInfo&
InfoOf(ResultCode aCode);

// Returns the code with this number, or nullopt if none exists.
std::optional<ResultCode>
ResultCodeFromNumber(unsigned aNumber);

// Returns `no`, `maybe` or `yes`.
std::string_view
RanText(Ran aRan);

// Parses the output of RanText. Returns nullopt for any other text.
std::optional<Ran>
RanFromText(std::string_view aText);

// Thrown when a request ends without a complete response.
class RequestError : public std::runtime_error
{
public:
  // Uses the table's defaults for HasRun and RetryAfter.
  RequestError(ResultCode aCode, const std::string& aDetail);

  // `aRetryAfter` overrides the table's default.
  RequestError(ResultCode aCode,
               const std::string& aDetail,
               std::chrono::milliseconds aRetryAfter);

  // `aRan` overrides the table's default.
  RequestError(ResultCode aCode, const std::string& aDetail, Ran aRan);

  // For an error received from another process. If `aRetryAfter` is unset, the
  // table's default applies.
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

// BackendConnectFailed because the other end refused the connection: no process
// listens at its address.
class ConnectionRefused : public RequestError
{
public:
  explicit ConnectionRefused(const std::string& aDetail)
    : RequestError(ResultCode::BackendConnectFailed, aDetail, Ran::No)
  {
  }
};

} // namespace rattanweir
