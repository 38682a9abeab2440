#include "rattanweir/base/asio/asio.h"

#include "rattanweir/base/result/result_code.h"
#include "rattanweir/request/gateway/response_forwarder.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>

namespace rattanweir {
namespace {

constexpr std::size_t kChunkBytes = 16UL * 1024;
constexpr std::size_t kStreams = 200;
constexpr std::size_t kBudget = 16UL * 1024 * 1024;

// Bytes that the exchanges of streams in progress have delivered and that were
// not forwarded.
struct Held
{
  std::size_t m_now = 0;
  std::size_t m_most = 0;
};

// A server that sends one event without end.
class EndlessEvent final : public UpstreamExchange
{
public:
  EndlessEvent(asio::io_context& aContext, Held& aHeld)
    : m_context(aContext)
    , m_held(aHeld)
  {
  }
  ~EndlessEvent() override { m_held.m_now -= m_delivered; }

  Task<ResponseHead> ReadHead() override { co_return ResponseHead(); }
  Task<std::optional<std::string>> ReadChunk() override
  {
    co_await asio::post(m_context, asio::use_awaitable);
    m_delivered += kChunkBytes;
    m_held.m_now += kChunkBytes;
    m_held.m_most = std::max(m_held.m_most, m_held.m_now);
    co_return std::string(kChunkBytes, 'x');
  }

private:
  asio::io_context& m_context;
  Held& m_held;
  std::size_t m_delivered = 0;
};

// A server that sends events of moderate size.
class SoundStream final : public UpstreamExchange
{
public:
  explicit SoundStream(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  Task<ResponseHead> ReadHead() override { co_return ResponseHead(); }
  Task<std::optional<std::string>> ReadChunk() override
  {
    co_await asio::post(m_context, asio::use_awaitable);
    if (m_left == 0) {
      co_return std::nullopt;
    }
    --m_left;
    co_return "data: " + std::string(kChunkBytes, 'y') +
      (m_left % 2 == 0 ? "\n\n" : "\n");
  }

private:
  asio::io_context& m_context;
  int m_left = 60;
};

class CountingSink final : public ResponseSink
{
public:
  Task<void> WriteHead(ResponseHead /*aHead*/) override
  {
    m_hasHead = true;
    co_return;
  }
  Task<void> WriteChunk(std::string aChunk) override
  {
    m_bytes += aChunk.size();
    co_return;
  }
  Task<void> Finish() override
  {
    m_isComplete = true;
    co_return;
  }
  bool HasHead() const override { return m_hasHead; }

  bool m_hasHead = false;
  bool m_isComplete = false;
  std::size_t m_bytes = 0;
};

struct Stream
{
  CountingSink m_sink;
  ForwardProgress m_progress;
  std::optional<ResultCode> m_code;
};

Task<void>
Forward(Stream& aStream,
        BufferBudget& aBudget,
        std::unique_ptr<UpstreamExchange> aExchange)
{
  ResponseForwarder forwarder({ .m_sink = aStream.m_sink,
                                .m_progress = aStream.m_progress,
                                .m_buffers = &aBudget });
  ResponseHead head{ .m_status = 200,
                     .m_headers = { { "content-type", "text/event-stream" } } };
  try {
    co_await forwarder.Run(*aExchange, std::move(head));
    aStream.m_code = ResultCode::Ok;
  } catch (const RequestError& error) {
    aStream.m_code = error.Code();
  }
}

// Guards against faulty servers that send events without end, exhaust the
// memory of an instance, and end the requests of other callers with it.
TEST_CASE("events without end use no more than a fixed amount of memory, and "
          "other streams go on")
{
  asio::io_context context;
  BufferBudget budget{ ByteCount(kBudget) };
  Held held;
  std::vector<Stream> faulty(kStreams);
  std::vector<Stream> sound(kStreams / 10);
  for (Stream& stream : faulty) {
    asio::co_spawn(
      context,
      Forward(stream, budget, std::make_unique<EndlessEvent>(context, held)),
      asio::detached);
  }
  for (Stream& stream : sound) {
    asio::co_spawn(
      context,
      Forward(stream, budget, std::make_unique<SoundStream>(context)),
      asio::detached);
  }
  context.run();
  // Each stream may hold some bytes besides the budget, and the chunk that
  // exceeds its part.
  CHECK(held.m_most <=
        kBudget + kStreams * (BufferShare::kFreeBytes + kChunkBytes));
  CHECK(budget.Used() == 0);
  for (const Stream& stream : faulty) {
    CHECK((stream.m_code == ResultCode::AnswerTooLarge ||
           stream.m_code == ResultCode::AnswerIncomplete));
    CHECK_FALSE(stream.m_sink.m_hasHead);
  }
  for (const Stream& stream : sound) {
    CHECK(stream.m_code == ResultCode::Ok);
    CHECK(stream.m_sink.m_isComplete);
  }
}

} // namespace
} // namespace rattanweir
