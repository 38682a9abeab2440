// Forwards a backend server's response to the caller unmodified, and reports it
// complete only if it is. Used on the users' platform (settings with `fleet`).
//
//   ResponseForwarder forwarder({ .m_sink = sink, .m_progress = progress });
//   co_await forwarder.Run(exchange, std::move(head));
//
// An event stream is forwarded in complete events. If the route resumes
// streams, the next attempt continues after the last event that the caller has
// received, under the head of the first attempt. A response that is not an
// event stream and declares a length of at most 64 KiB is buffered until it is
// complete, so that the request can be retried if the response breaks off. An
// instance that is stopping holds back the first 64 KiB of any other response
// too: if it has to cut the request, its caller still gets an answer.
//
// What was forwarded decides what may follow (ForwardedPart): after events of a
// stream, only later events of a stream with the same status; after the head of
// any other response, only the rest of that response.

#pragma once

#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/request/relay/buffer_budget.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace rattanweir {

// Nothing has been forwarded: any response may follow.
struct NothingForwarded
{};

// The head and events of a stream have been forwarded.
struct StreamForwarded
{
  unsigned m_status = 0;
  // The id of the last event that was forwarded.
  std::optional<std::uint64_t> m_lastEventId;
  // An event without an id was forwarded, so the stream cannot be resumed.
  bool m_hasEventWithoutId = false;
};

// The head of a response that is not an event stream has been forwarded.
struct ResponseForwarded
{};

using ForwardedPart =
  std::variant<NothingForwarded, StreamForwarded, ResponseForwarded>;

// How much of the response has been forwarded, over all attempts of a request.
struct ForwardProgress
{
  ForwardedPart m_forwarded;
  // Number of events received in the current attempt.
  std::size_t m_eventsInAttempt = 0;

  // Returns the id of the last event that was forwarded, if any.
  std::optional<std::uint64_t> LastEventId() const;
  // Returns whether the response of another attempt may complete what was
  // forwarded. `aResumesStreams`: the route permits that for streams.
  bool MayGoOn(bool aResumesStreams) const;
};

struct ResponseForwarderOptions
{
  ResponseSink& m_sink;
  ForwardProgress& m_progress;
  // Limits what the streams of all requests buffer; nullptr stands for no
  // limit.
  BufferBudget* m_buffers = nullptr;
  // Hold back the start of responses of unknown length.
  bool m_holdsBack = false;
  // Called once, when the first chunk of the body or its end is received. May
  // be empty.
  std::function<void()> m_onFirstByte;
  // Called once, before the first event of the attempt is forwarded; throws
  // RequestError if it must not be. May be empty.
  std::function<void()> m_onFirstEvent;
  // Called once the server is past the start of its answer: after the third
  // event of a stream, or when the response is complete. May be empty.
  std::function<void()> m_onAnswered;
};

class ResponseForwarder
{
public:
  explicit ResponseForwarder(ResponseForwarderOptions aOptions);

  // Throws RequestError with AnswerIncomplete, AnswerMismatch or, for a body
  // that ends with its connection and for incomplete events that exceed the
  // budget, AnswerTooLarge. Rethrows what the exchange
  // and the sink throw.
  Task<void> Run(UpstreamExchange& aExchange, ResponseHead aHead);

private:
  // Each handles the response according to what was forwarded before.
  Task<void> Forward(NothingForwarded aNothing,
                     UpstreamExchange& aExchange,
                     ResponseHead aHead);
  Task<void> Forward(const StreamForwarded& aStream,
                     UpstreamExchange& aExchange,
                     ResponseHead aHead);
  Task<void> Forward(ResponseForwarded aResponse,
                     UpstreamExchange& aExchange,
                     ResponseHead aHead);
  Task<void> ForwardStream(UpstreamExchange& aExchange, ResponseHead aHead);
  Task<void> ForwardBuffered(UpstreamExchange& aExchange, ResponseHead aHead);
  Task<void> ForwardChunks(UpstreamExchange& aExchange, ResponseHead aHead);
  void ReportFirstByte();
  void ReportAnswered();

  ResponseForwarderOptions m_options;
  bool m_hasReportedFirstByte = false;
  bool m_hasReportedAnswered = false;
};

} // namespace rattanweir
