// Relays one upstream response to the caller. Belongs to the pipeline, the path
// of the product's own interface.
//
//   ResponseProgress progress;
//   ResponseHead head = co_await exchange->ReadHead();
//   co_await CheckResponseHead(*exchange, head, origin);
//   co_await RelayResponse(*exchange, head, options, sink, progress);
//
// In event streams of model engines each event has an offset, starting at 0.
// Only complete events are forwarded, and a stream is complete only after its
// `[DONE]` event. After a failure the same ResponseProgress is passed to the
// next attempt, which resumes at the next offset that the caller needs. The
// sink's Finish is never called for a truncated response.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/version/section/section.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace rattanweir {

// The response comes from a backend server.
struct BackendServerOrigin
{
  AttemptId m_attempt;
  BackendServerKind m_kind = BackendServerKind::PlainService;
  // Whether every response of the server carries the attempt ID.
  bool m_echoesAttemptId = false;
};

// The response comes from an instance of another region.
struct PeerOrigin
{
  RequestId m_request;
};

using ResponseOrigin = std::variant<BackendServerOrigin, PeerOrigin>;

// Names of header fields in requests and responses between instances, and in
// responses to callers.
inline constexpr const char* kRequestField = "rattanweir-request";
inline constexpr const char* kResultField = "rattanweir-result";
// Set on an event stream whose events have offsets, so that the stream can be
// resumed.
inline constexpr const char* kOffsetsField = "rattanweir-offsets";
inline constexpr const char* kResumeOffsetField = "rattanweir-resume-offset";

// How much of the response to one request was forwarded, over all attempts.
struct ResponseProgress
{
  // The head was forwarded.
  bool m_hasHead = false;
  // The response is an event stream that can be resumed by offset.
  bool m_hasOffsets = false;
  // The offset of the next event that the caller needs.
  std::uint64_t m_nextOffset = 0;
  // The number of generated tokens: the event count of a stream with offsets,
  // or the `tokens` field of a buffered JSON response.
  std::optional<std::int64_t> m_generatedTokens;
};

// State that a backend server reports in the head of its response.
struct BackendSignals
{
  // The `x-load` field.
  std::optional<std::uint64_t> m_load;
  // The `x-draining` field.
  bool m_isDraining = false;
};

// Parses the backend server's state from the head; an absent or malformed
// `x-load` gives no load.
BackendSignals
ReadBackendSignals(const ResponseHead& aHead);

// Returns whether the response belongs to another attempt or request: it names
// another one, or names none although `aOrigin` requires one.
bool
IsMismatched(const ResponseHead& aHead, const ResponseOrigin& aOrigin);

// Checks that the head starts a response to this attempt. Throws RequestError
// with AnswerMismatch if IsMismatched, with BackendRefused if the server
// reports that it did not run the request, or with the refusal that a peer
// sent, which is read from `aExchange`.
Task<void>
CheckResponseHead(UpstreamExchange& aExchange,
                  const ResponseHead& aHead,
                  const ResponseOrigin& aOrigin);

struct RelayOptions
{
  ResponseOrigin m_origin;
  // Added to the forwarded head.
  HeaderFields m_addedFields;
  // Adds kOffsetsField to the head of a stream whose events have offsets, for
  // the instance that receives the stream.
  bool m_addsOffsetsField = false;
};

// Forwards the response to `aSink` and finishes it. Throws RequestError with
// AnswerIncomplete, AnswerMismatch or the error that an `error` event of the
// stream carries, and rethrows the errors of the exchange and the sink.
Task<void>
RelayResponse(UpstreamExchange& aExchange,
              ResponseHead aHead,
              RelayOptions aOptions,
              ResponseSink& aSink,
              ResponseProgress& aProgress);

} // namespace rattanweir
