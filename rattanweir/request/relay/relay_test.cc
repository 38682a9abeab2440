#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/relay/event_splitter.h"
#include "rattanweir/request/relay/response_relay.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <exception>

namespace rattanweir {
namespace {

// Returns a response in the given chunks, then ends it as complete or as
// truncated.
class ChunkedExchange final : public UpstreamExchange
{
public:
  ChunkedExchange(std::deque<std::string> aChunks, bool aIsComplete)
    : m_chunks(std::move(aChunks))
    , m_isComplete(aIsComplete)
  {
  }

  Task<ResponseHead> ReadHead() override { co_return ResponseHead{}; }
  Task<std::optional<std::string>> ReadChunk() override
  {
    if (m_chunks.empty()) {
      if (!m_isComplete) {
        throw RequestError(ResultCode::AnswerIncomplete,
                           "response was truncated");
      }
      co_return std::nullopt;
    }
    std::optional<std::string> chunk = std::move(m_chunks.front());
    m_chunks.pop_front();
    co_return chunk;
  }

private:
  std::deque<std::string> m_chunks;
  bool m_isComplete;
};

class RecordingSink final : public ResponseSink
{
public:
  Task<void> WriteHead(ResponseHead aHead) override
  {
    REQUIRE_FALSE(m_head);
    m_head = std::move(aHead);
    co_return;
  }
  Task<void> WriteChunk(std::string aChunk) override
  {
    m_body += aChunk;
    co_return;
  }
  Task<void> Finish() override
  {
    m_isFinished = true;
    co_return;
  }
  bool HasHead() const override { return m_head.has_value(); }

  std::optional<ResponseHead> m_head;
  std::string m_body;
  bool m_isFinished = false;
};

// Runs the task to completion. Returns the code of its error, or Ok.
ResultCode
RunToCode(Task<void> aTask)
{
  asio::io_context context;
  ResultCode code = ResultCode::Ok;
  asio::co_spawn(
    context, std::move(aTask), [&](const std::exception_ptr& aError) {
      try {
        if (aError) {
          std::rethrow_exception(aError);
        }
      } catch (const RequestError& error) {
        code = error.Code();
      }
    });
  context.run();
  return code;
}

std::string
Event(int aOffset)
{
  const std::string offset = std::to_string(aOffset);
  return "id: " + offset + "\ndata: {\"offset\":" + offset + "}\n\n";
}

constexpr const char* kDone = "data: [DONE]\n\n";

ResponseHead
StreamHead()
{
  return { .m_status = 200,
           .m_headers = { { "Content-Type", "text/event-stream" } } };
}

RelayOptions
EngineOptions()
{
  return { .m_origin =
             BackendServerOrigin{ .m_kind = BackendServerKind::ModelEngine } };
}

ResultCode
Relay(std::deque<std::string> aChunks,
      bool aIsComplete,
      const ResponseHead& aHead,
      RecordingSink& aSink,
      ResponseProgress& aProgress)
{
  ChunkedExchange exchange(std::move(aChunks), aIsComplete);
  return RunToCode(
    RelayResponse(exchange, aHead, EngineOptions(), aSink, aProgress));
}

TEST_CASE("events are complete wherever the stream is split into chunks")
{
  const std::string text = "id: 0\ndata: a\n\nevent: x\r\ndata: b\r\ndata: c"
                           "\r\n\r\ndata: rest";
  for (std::size_t size = 1; size <= text.size(); ++size) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (std::size_t at = 0; at < text.size(); at += size) {
      for (auto& event : splitter.Add(text.substr(at, size))) {
        events.push_back(std::move(event));
      }
    }
    REQUIRE(events.size() == 2);
    REQUIRE(events[0].m_text == "id: 0\ndata: a\n\n");
    REQUIRE(events[0].m_id == 0);
    REQUIRE(events[0].m_data == "a");
    REQUIRE(events[1].m_type == "x");
    REQUIRE(events[1].m_data == "b\nc");
    REQUIRE_FALSE(events[1].m_id);
  }
  EventSplitter splitter;
  REQUIRE_THROWS_AS(splitter.Add(std::string(kMaxEventBytes + 1, 'x')),
                    RequestError);
}

TEST_CASE(
  "only complete events are forwarded, and only [DONE] completes a stream")
{
  const std::string two = Event(0) + Event(1);
  struct Row
  {
    std::deque<std::string> m_chunks;
    bool m_isComplete;
    ResultCode m_code;
    std::string m_body;
    std::uint64_t m_nextOffset;
  };
  const Row rows[] = {
    { { two, kDone }, true, ResultCode::Ok, two + kDone, 2 },
    // After [DONE] the stream is complete; later data and errors are ignored.
    { { two + kDone }, false, ResultCode::Ok, two + kDone, 2 },
    { { two + kDone + Event(2) }, true, ResultCode::Ok, two + kDone, 2 },
    { { two }, true, ResultCode::AnswerIncomplete, two, 2 },
    { { two, "id: 2\nda" }, false, ResultCode::AnswerIncomplete, two, 2 },
    { { two, "data: [DONE]\n" }, true, ResultCode::AnswerIncomplete, two, 2 },
    { {}, true, ResultCode::AnswerIncomplete, "", 0 },
    { { Event(0) + Event(2) }, true, ResultCode::AnswerMismatch, Event(0), 1 },
    { { Event(1), kDone }, true, ResultCode::AnswerMismatch, "", 0 },
    { { Event(0), R"(event: error
data: {"code":407,"ran":"maybe"}

)" },
      false,
      ResultCode::KeyWithdrawn,
      Event(0),
      1 },
  };
  for (const Row& row : rows) {
    RecordingSink sink;
    ResponseProgress progress;
    const auto code =
      Relay(row.m_chunks, row.m_isComplete, StreamHead(), sink, progress);
    REQUIRE(code == row.m_code);
    REQUIRE(sink.m_body == row.m_body);
    REQUIRE(sink.HasHead() == !row.m_body.empty());
    REQUIRE(sink.m_isFinished == (code == ResultCode::Ok));
    REQUIRE(progress.m_nextOffset == row.m_nextOffset);
  }
}

TEST_CASE("a truncated stream resumes at its next offset and at no other")
{
  struct Row
  {
    ResponseHead m_head;
    std::string m_rest;
    ResultCode m_code;
  };
  const ResponseHead plain{ .m_status = 200 };
  const Row rows[] = {
    { StreamHead(), Event(2) + kDone, ResultCode::Ok },
    { StreamHead(), Event(0) + Event(1) + kDone, ResultCode::AnswerMismatch },
    { StreamHead(), "data: {}\n\n", ResultCode::AnswerMismatch },
    { plain, "{}", ResultCode::AnswerMismatch },
  };
  const std::string delivered = Event(0) + Event(1);
  for (const Row& row : rows) {
    RecordingSink sink;
    ResponseProgress progress;
    REQUIRE(Relay({ delivered }, false, StreamHead(), sink, progress) ==
            ResultCode::AnswerIncomplete);
    REQUIRE(progress.m_hasOffsets);
    REQUIRE(Relay({ row.m_rest }, true, row.m_head, sink, progress) ==
            row.m_code);
    const bool isComplete = row.m_code == ResultCode::Ok;
    REQUIRE(sink.m_isFinished == isComplete);
    REQUIRE(sink.m_body == delivered + (isComplete ? row.m_rest : ""));
  }
}

// Guards against responses that are joined from two runs.
TEST_CASE("a response without offsets is not continued, whatever came before")
{
  const ResponseHead plain{ .m_status = 404 };
  for (const bool hasEarlierStream : { false, true }) {
    RecordingSink sink;
    ResponseProgress progress;
    if (hasEarlierStream) {
      REQUIRE(Relay({}, false, StreamHead(), sink, progress) ==
              ResultCode::AnswerIncomplete);
      REQUIRE_FALSE(sink.HasHead());
    }
    REQUIRE(Relay({ "{\"error\":" }, false, plain, sink, progress) ==
            ResultCode::AnswerIncomplete);
    REQUIRE(sink.HasHead());
    CHECK_FALSE(progress.m_hasOffsets);
    CHECK(Relay({ Event(0) + kDone }, true, StreamHead(), sink, progress) ==
          ResultCode::AnswerMismatch);
    CHECK(sink.m_body == "{\"error\":");
    CHECK_FALSE(sink.m_isFinished);
  }
}

TEST_CASE("a truncated response is never finished, and not forwarded if small")
{
  struct Row
  {
    std::optional<std::uint64_t> m_length;
    bool m_isComplete;
    ResultCode m_code;
    bool m_hasHead;
  };
  const Row rows[] = {
    { 10, true, ResultCode::Ok, true },
    { 11, true, ResultCode::AnswerIncomplete, false },
    { 10, false, ResultCode::AnswerIncomplete, false },
    { {}, true, ResultCode::Ok, true },
    { {}, false, ResultCode::AnswerIncomplete, true },
    { 1 << 20, true, ResultCode::AnswerIncomplete, true },
  };
  for (const Row& row : rows) {
    const ResponseHead head{ .m_status = 200, .m_contentLength = row.m_length };
    RecordingSink sink;
    ResponseProgress progress;
    REQUIRE(
      Relay(
        { R"({"toke)", R"(n":})" }, row.m_isComplete, head, sink, progress) ==
      row.m_code);
    REQUIRE(sink.HasHead() == row.m_hasHead);
    REQUIRE(sink.m_isFinished == (row.m_code == ResultCode::Ok));
    REQUIRE_FALSE(progress.m_hasOffsets);
  }
}

TEST_CASE("generated tokens are read from a complete engine response")
{
  const std::string body = R"({"text":"a","tokens":12})";
  const ResponseHead head{ .m_status = 200, .m_contentLength = body.size() };
  RecordingSink sink;
  ResponseProgress progress;
  REQUIRE(Relay({ body }, true, head, sink, progress) == ResultCode::Ok);
  REQUIRE(progress.m_generatedTokens == 12);
}

TEST_CASE("internal header fields are not forwarded to the caller")
{
  ResponseHead head = StreamHead();
  for (const char* const name : { "x-attempt-id",
                                  "X-Load",
                                  "x-draining",
                                  "Rattanweir-Ran",
                                  "Connection",
                                  "Content-Length" }) {
    head.m_headers.push_back({ name, "1" });
  }
  ChunkedExchange exchange({ kDone }, true);
  RecordingSink sink;
  ResponseProgress progress;
  RelayOptions options = EngineOptions();
  options.m_addedFields = { { kRequestField, "r" } };
  options.m_addsOffsetsField = true;
  REQUIRE(RunToCode(RelayResponse(exchange, head, options, sink, progress)) ==
          ResultCode::Ok);
  REQUIRE(sink.m_head->m_headers.size() == 3);
  REQUIRE(*FindHeader(sink.m_head->m_headers, kRequestField) == "r");
  REQUIRE(*FindHeader(sink.m_head->m_headers, kOffsetsField) == "1");
}

TEST_CASE("a response head that does not belong to the attempt is rejected")
{
  const ResponseOrigin echoing =
    BackendServerOrigin{ .m_attempt = AttemptId("a"),
                         .m_echoesAttemptId = true };
  const ResponseOrigin nonEchoing =
    BackendServerOrigin{ .m_attempt = AttemptId("a") };
  const ResponseOrigin peer = PeerOrigin{ .m_request = RequestId("r") };
  struct Row
  {
    ResponseOrigin m_origin;
    unsigned m_status;
    HeaderFields m_headers;
    ResultCode m_code;
  };
  const Row rows[] = {
    { echoing, 200, { { "X-Attempt-Id", "a" } }, ResultCode::Ok },
    { echoing, 200, { { "X-Attempt-Id", "b" } }, ResultCode::AnswerMismatch },
    { echoing, 200, {}, ResultCode::AnswerMismatch },
    { nonEchoing, 200, {}, ResultCode::Ok },
    { nonEchoing,
      200,
      { { "x-attempt-id", "b" } },
      ResultCode::AnswerMismatch },
    { nonEchoing, 503, { { "x-not-run", "1" } }, ResultCode::BackendRefused },
    // x-not-run is ignored unless the status is 503.
    { nonEchoing, 500, { { "x-not-run", "1" } }, ResultCode::Ok },
    { nonEchoing, 503, {}, ResultCode::Ok },
    { peer, 200, { { kRequestField, "r" } }, ResultCode::Ok },
    { peer, 200, { { kRequestField, "s" } }, ResultCode::AnswerMismatch },
    { peer, 200, {}, ResultCode::AnswerMismatch },
    { peer, 503, { { kResultField, "302" } }, ResultCode::NoBackendServer },
  };
  for (const Row& row : rows) {
    ChunkedExchange exchange({ R"({"code":302,"ran":"no"})" }, true);
    const ResponseHead head{ .m_status = row.m_status,
                             .m_headers = row.m_headers };
    REQUIRE(RunToCode(CheckResponseHead(exchange, head, row.m_origin)) ==
            row.m_code);
  }
}

} // namespace
} // namespace rattanweir
