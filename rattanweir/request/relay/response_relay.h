// Passes one answer on from where it comes to the caller, whole or not at all.
//
//   ResponseProgress progress;
//   ResponseHead head = co_await exchange->ReadHead();
//   co_await CheckResponseHead(*exchange, head, origin);
//   co_await RelayResponse(*exchange, head, options, sink, progress);
//
// The event streams of model engines are counted event by event: only whole
// events pass, and a stream is whole only with its `[DONE]`. After a failure
// the same progress goes to the next attempt, which goes on at the offset that
// the caller has. A short answer is never finished as whole.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/version/section/section.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace rattanweir {

// The answer comes from a backend server.
struct BackendServerOrigin
{
  AttemptId m_attempt;
  BackendServerKind m_kind = BackendServerKind::PlainService;
  bool m_echoesAttemptId = false;
};

// The answer comes from an instance of another region.
struct PeerOrigin
{
  RequestId m_request;
};

using ResponseOrigin = std::variant<BackendServerOrigin, PeerOrigin>;

// Header fields between instances and of the answers to callers.
inline constexpr const char* kRequestField = "rattanweir-request";
inline constexpr const char* kResultField = "rattanweir-result";
// Marks a stream whose events are counted, so that it can be resumed.
inline constexpr const char* kOffsetsField = "rattanweir-offsets";
inline constexpr const char* kResumeOffsetField = "rattanweir-resume-offset";

// How far the answer to one request has come, over all its attempts.
struct ResponseProgress
{
  // The head was passed on.
  bool m_hasHead = false;
  // A stream whose events are counted and can be resumed by offset.
  bool m_hasOffsets = false;
  // The event that the caller needs next.
  std::uint64_t m_nextOffset = 0;
  // Tokens that the answer says it generated.
  std::optional<std::int64_t> m_generatedTokens;
};

// What a backend server says of itself beside its answer.
struct BackendSignals
{
  std::optional<std::uint64_t> m_load;
  bool m_isDraining = false;
};

BackendSignals
ReadBackendSignals(const ResponseHead& aHead);

// Whether the answer names another attempt or request than this origin's.
bool
IsMismatched(const ResponseHead& aHead, const ResponseOrigin& aOrigin);

// Throws RequestError if the head is no answer: AnswerMismatch if it is
// crossed, BackendRefused if the server did not run the request, or the
// refusal that a peer wrote.
Task<void>
CheckResponseHead(UpstreamExchange& aExchange,
                  const ResponseHead& aHead,
                  const ResponseOrigin& aOrigin);

struct RelayOptions
{
  ResponseOrigin m_origin;
  // Added to the head that is passed on.
  HeaderFields m_addedFields;
  // Tells the next instance that the events are counted.
  bool m_addsOffsetsField = false;
};

// Passes the answer on and finishes it. Throws RequestError: AnswerIncomplete,
// AnswerMismatch, what the exchange throws, or what the sink throws.
Task<void>
RelayResponse(UpstreamExchange& aExchange,
              ResponseHead aHead,
              RelayOptions aOptions,
              ResponseSink& aSink,
              ResponseProgress& aProgress);

} // namespace rattanweir
